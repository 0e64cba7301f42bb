package blrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sourcegraph/jsonrpc2"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blwait"
)

const (
	// callTimeout is the deadline for a call whose context has none.
	callTimeout = 5 * time.Second
	// idleTimeout is the time after which an unused connection is closed, unless KeepOpen
	// lists its peer.
	idleTimeout = 30 * time.Second
	// defaultMaxLinks is the maximum number of connections of a daemon. Each takes about 1 MB
	// for its encoder and decoder. At the limit, the least recently used connection is closed
	// before another is opened.
	defaultMaxLinks = 96
	// minEvictIdle is the time for which a connection must be unused before it may be closed
	// in favor of another. It allows a notification that was just written to leave the
	// socket.
	minEvictIdle = 200 * time.Millisecond
	// sweepInterval is the period of the search for idle connections.
	sweepInterval = 5 * time.Second
)

var errWrongPeer = eris.New("another VM answers at this address")

// Handler handles a call or a notification from a peer. The result is encoded as JSON, and an
// error reaches the caller as text; for a notification both are ignored.
type Handler func(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error)

// OrderedHandler handles a notification in the read loop of the connection. It must not block.
type OrderedHandler func(from basillift.VMID, params json.RawMessage)

// PeerObserver provides this daemon's hello and is notified when peers connect and disconnect. Its
// methods are called from several goroutines.
type PeerObserver interface {
	Hello() Hello
	// PeerConnected is called with the hello of a peer for each new connection.
	PeerConnected(hello Hello)
	// PeerDisconnected is called when the last connection to a peer has been closed.
	PeerDisconnected(peer basillift.VMID)
}

// Resolver returns the control address of a member, or false if it is not known.
type Resolver func(id basillift.VMID) (string, bool)

// Pool manages the control connections of one daemon. There are at most two for each peer: one
// that the daemon dialled and one that the peer dialled at the same time.
type Pool struct {
	self            basillift.VMID
	observer        PeerObserver
	resolve         Resolver
	maxLinks        int
	clock           func() time.Time
	handlers        map[string]Handler
	orderedHandlers map[string]OrderedHandler
	counters        Counters
	keepOpen        atomic.Pointer[map[basillift.VMID]bool]
	tasks           sync.WaitGroup
	unsent          atomic.Int64

	mutex   sync.Mutex
	ctx     context.Context
	stopped bool
	random  *rand.Rand
	peers   map[basillift.VMID]*peer
	links   map[*link]struct{}
}

// NewPool returns a pool that is inactive until Run. The seed determines the jitter of the
// backoff.
func NewPool(self basillift.VMID, o PeerObserver, r Resolver, seed int64) *Pool {
	return &Pool{
		self: self, observer: o, resolve: r, maxLinks: defaultMaxLinks, clock: time.Now, random: rand.New(rand.NewSource(seed)),
		handlers: map[string]Handler{}, orderedHandlers: map[string]OrderedHandler{},
		peers: map[basillift.VMID]*peer{}, links: map[*link]struct{}{},
	}
}

// Handle registers the handler of a method; the handler may block. Handle must be called
// before Run.
func (p *Pool) Handle(method string, h Handler) { p.handlers[method] = h }

// HandleInOrder registers the handler of a notification that is processed in order of
// arrival. It must be called before Run.
func (p *Pool) HandleInOrder(method string, h OrderedHandler) { p.orderedHandlers[method] = h }

// Counters returns the counters of all connections of the pool, open and closed.
func (p *Pool) Counters() *Counters { return &p.counters }

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

// Run accepts connections until ctx ends or the listener is closed. It then closes all
// connections and waits for their goroutines.
func (p *Pool) Run(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mutex.Lock()
	p.ctx = ctx
	for _, pr := range p.peers {
		p.tasks.Add(1)
		go pr.loop(ctx)
	}
	p.mutex.Unlock()
	p.tasks.Add(1)
	go p.sweepLoop(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	p.acceptLoop(ctx, listener)
	cancel()
	p.markStopped()
	for _, l := range p.allLinks() {
		l.close()
	}
	p.tasks.Wait()
}

// markStopped prevents later calls of track and peer from starting goroutines, for which Run
// would not wait.
func (p *Pool) markStopped() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = true
}

func (p *Pool) acceptLoop(ctx context.Context, listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil && (ctx.Err() != nil || errors.Is(err, net.ErrClosed)) {
			return
		}
		if err != nil {
			// Accept fails while no file descriptor is available. The pause avoids a busy loop.
			if !blwait.For(ctx, 100*time.Millisecond) {
				return
			}
			continue
		}
		if !p.evictIdleAtLimit(p.clock()) {
			_ = socket.Close()
			continue
		}
		l, err := p.newLink(ctx, socket, false)
		if err != nil {
			_ = socket.Close()
			continue
		}
		p.track(l)
	}
}

func (p *Pool) track(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopped {
		l.close()
		return
	}
	p.links[l] = struct{}{}
	p.tasks.Add(1)
	go p.runLink(l)
}

func (p *Pool) runLink(l *link) {
	defer p.tasks.Done()
	l.run()
}

func (p *Pool) untrack(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
}

func (p *Pool) allLinks() []*link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// evictIdleAtLimit closes the least recently used connection if the limit is reached. It
// returns false if no connection may be closed, because each is kept open, in use or was
// used within minEvictIdle.
func (p *Pool) evictIdleAtLimit(now time.Time) bool {
	links := p.allLinks()
	if len(links) < p.maxLinks {
		return true
	}
	keepOpen := p.keepOpen.Load()
	var oldest *link
	for _, l := range links {
		id := l.peer.Load()
		if id != nil && keepOpen != nil && (*keepOpen)[*id] || l.closed() || l.busy() {
			continue
		}
		if oldest == nil || l.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = l
		}
	}
	if oldest == nil || now.Sub(time.Unix(0, oldest.lastUsed.Load())) < minEvictIdle {
		return false
	}
	oldest.close()
	return true
}

// CloseUnused closes the connections to a peer on which no call is in progress. It does nothing
// if KeepOpen lists the peer.
func (p *Pool) CloseUnused(id basillift.VMID) {
	if keepOpen := p.keepOpen.Load(); keepOpen != nil && (*keepOpen)[id] {
		return
	}
	p.peer(id).closeUnused()
}

// KeepOpen sets the peers whose connections stay open while idle. It replaces the previous
// list.
func (p *Pool) KeepOpen(ids []basillift.VMID) {
	keepOpen := make(map[basillift.VMID]bool, len(ids))
	for _, id := range ids {
		keepOpen[id] = true
	}
	p.keepOpen.Store(&keepOpen)
}

func (p *Pool) sweepLoop(ctx context.Context) {
	defer p.tasks.Done()
	for blwait.For(ctx, sweepInterval) {
		p.sweep(p.clock())
	}
}

func (p *Pool) sweep(now time.Time) {
	keepOpen := p.keepOpen.Load()
	for _, l := range p.allLinks() {
		idle := now.Sub(time.Unix(0, l.lastUsed.Load()))
		id := l.peer.Load()
		unidentified := id == nil && idle > helloTimeout
		unused := idle > idleTimeout && (keepOpen == nil || id == nil || !(*keepOpen)[*id] || p.isRedundant(*id, l))
		if unidentified || unused {
			l.close()
		}
	}
}

// Call sends a request and decodes the result of its response into result. The deadline is
// that of ctx or, if it has none, 5 s. An error wraps basillift.ErrUnavailable if no
// connection could be opened because the address is unknown, the backoff lasts or the pool is
// not running or full.
func (p *Pool) Call(ctx context.Context, to basillift.VMID, method string, params, result any) error {
	if _, found := ctx.Deadline(); !found {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		ctx = callCtx
	}
	// When two daemons dial each other at the same time, one of the two connections is closed,
	// possibly during a call. A call may therefore be sent twice; all methods are idempotent.
	err := p.callOnce(ctx, to, method, params, result)
	for range maxClosedRetries {
		if !errors.Is(err, jsonrpc2.ErrClosed) {
			break
		}
		err = p.callOnce(ctx, to, method, params, result)
	}
	return err
}

// maxClosedRetries is the number of retries of a call whose connection was closed.
const maxClosedRetries = 2

func (p *Pool) callOnce(ctx context.Context, to basillift.VMID, method string, params, result any) error {
	l, err := p.peer(to).connect(ctx)
	if err != nil {
		return fmt.Errorf("call %s: %w", method, err)
	}
	l.calls.Add(1)
	defer l.calls.Add(-1)
	if err := l.conn.Call(ctx, method, params, result); err != nil {
		return fmt.Errorf("call %s at %s: %w", method, to, err)
	}
	return nil
}

// ConnectAddress connects to an address whose VM is not known yet, such as a seed, and returns
// the id of the VM.
func (p *Pool) ConnectAddress(ctx context.Context, address string) (basillift.VMID, error) {
	l, peerHello, err := p.dial(ctx, address)
	if err != nil {
		return "", fmt.Errorf("connect to %s: %w", address, err)
	}
	l.register(peerHello)
	return basillift.VMID(peerHello.Record.Name), nil
}

func (p *Pool) dial(ctx context.Context, address string) (*link, Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	runCtx := p.runContext()
	if runCtx == nil || runCtx.Err() != nil {
		return nil, Hello{}, fmt.Errorf("dial %s: pool is not running: %w", address, basillift.ErrUnavailable)
	}
	if !p.evictIdleAtLimit(p.clock()) {
		return nil, Hello{}, fmt.Errorf("dial %s: %d connections are busy: %w", address, p.maxLinks, basillift.ErrUnavailable)
	}
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Hello{}, fmt.Errorf("dial: %w", err)
	}
	l, err := p.newLink(runCtx, socket, true)
	if err != nil {
		_ = socket.Close()
		return nil, Hello{}, err
	}
	peerHello, err := l.hello(ctx)
	if err != nil {
		l.close()
		return nil, Hello{}, err
	}
	p.track(l)
	return l, peerHello, nil
}

func (p *Pool) runContext() context.Context {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ctx
}

func (p *Pool) peer(id basillift.VMID) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pr, found := p.peers[id]
	if !found {
		pr = newPeer(p, id)
		p.peers[id] = pr
		if p.ctx != nil && !p.stopped {
			p.tasks.Add(1)
			go pr.loop(p.ctx)
		}
	}
	return pr
}

func (p *Pool) add(id basillift.VMID, l *link) { p.peer(id).add(l) }

func (p *Pool) remove(id basillift.VMID, l *link) {
	if p.peer(id).remove(l) {
		p.observer.PeerDisconnected(id)
	}
}

// isRedundant reports whether the peer has another connection that is preferred to this one.
func (p *Pool) isRedundant(id basillift.VMID, l *link) bool {
	current := p.peer(id).current()
	return current != nil && current != l
}

func (p *Pool) jitter(wait time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return wait/2 + time.Duration(p.random.Int63n(int64(wait)))
}
