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
	// callTimeout bounds a call whose context has no deadline.
	callTimeout = 5 * time.Second
	// idleTime is how long an unused connection stays open unless Keep names its peer.
	idleTime = 30 * time.Second
	// maxLinks bounds the connections of a daemon, each of which takes about 1 MB for its
	// encoder and decoder. At the bound the one that is unused for longest makes room.
	maxLinks = 96
	// restTime is how long a connection without a running call is unused before it may make
	// room, so that a notification that was just written still leaves the socket.
	restTime = 200 * time.Millisecond
	// sweepInterval is the time between two searches for idle connections.
	sweepInterval = 5 * time.Second
)

var errIdentity = eris.New("another VM answers at this address")

// Handler answers a call or takes a notification, whose result is dropped.
type Handler func(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error)

// OrderedHandler takes a notification. It must not wait.
type OrderedHandler func(from basillift.VMID, params json.RawMessage)

// Greeter gives this daemon's hello and takes those of peers. Both are called from
// several goroutines.
type Greeter interface {
	Hello() Hello
	Met(theirs Hello)
	// Lost says that the last connection to a peer ended.
	Lost(peer basillift.VMID)
}

// Resolver returns the control address of a member.
type Resolver func(id basillift.VMID) (string, bool)

// Pool holds the connections of one daemon, at most two for each peer: one that it
// dialled and one that the peer dialled at the same moment.
type Pool struct {
	self     basillift.VMID
	greeter  Greeter
	resolve  Resolver
	limit    int
	clock    func() time.Time
	handlers map[string]Handler
	ordered  map[string]OrderedHandler
	counters Counters
	kept     atomic.Pointer[map[basillift.VMID]bool]
	tasks    sync.WaitGroup
	unsent   atomic.Int64

	mutex   sync.Mutex
	ctx     context.Context
	stopped bool
	random  *rand.Rand
	peers   map[basillift.VMID]*peer
	links   map[*link]struct{}
}

// NewPool returns a pool that does nothing until Run.
func NewPool(self basillift.VMID, g Greeter, r Resolver, seed int64) *Pool {
	return &Pool{
		self: self, greeter: g, resolve: r, limit: maxLinks, clock: time.Now, random: rand.New(rand.NewSource(seed)),
		handlers: map[string]Handler{}, ordered: map[string]OrderedHandler{},
		peers: map[basillift.VMID]*peer{}, links: map[*link]struct{}{},
	}
}

// Handle registers a method whose handler may wait. It must be called before Run.
func (p *Pool) Handle(method string, h Handler) { p.handlers[method] = h }

// HandleInOrder registers a notification that is taken in the order of arrival. It must
// be called before Run.
func (p *Pool) HandleInOrder(method string, h OrderedHandler) { p.ordered[method] = h }

// Counters returns the byte counts.
func (p *Pool) Counters() *Counters { return &p.counters }

// Connections is the number of open connections.
func (p *Pool) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

// Run accepts connections until ctx ends, then closes all and waits for their goroutines.
func (p *Pool) Run(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mutex.Lock()
	p.ctx = ctx
	for _, r := range p.peers {
		p.tasks.Add(1)
		go r.loop(ctx)
	}
	p.mutex.Unlock()
	p.tasks.Add(1)
	go p.sweepLoop(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	p.acceptLoop(ctx, listener)
	cancel()
	p.stop()
	for _, l := range p.allLinks() {
		l.close()
	}
	p.tasks.Wait()
}

// stop makes later calls of track and peer start no goroutine, which Run would not wait for.
func (p *Pool) stop() {
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
			// Accept fails for want of file descriptors; accepting again at once would spin.
			if !blwait.For(ctx, 100*time.Millisecond) {
				return
			}
			continue
		}
		if !p.makeRoom(p.clock()) {
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

func (p *Pool) forget(l *link) {
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

// makeRoom closes the connection that is unused for longest when the bound is reached. It
// reports false when all others are kept or busy.
func (p *Pool) makeRoom(now time.Time) bool {
	links := p.allLinks()
	if len(links) < p.limit {
		return true
	}
	kept := p.kept.Load()
	var oldest *link
	for _, l := range links {
		id := l.peer.Load()
		if id != nil && kept != nil && (*kept)[*id] || l.closed() || l.busy() {
			continue
		}
		if oldest == nil || l.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = l
		}
	}
	if oldest == nil || now.Sub(time.Unix(0, oldest.lastUsed.Load())) < restTime {
		return false
	}
	oldest.close()
	return true
}

// Release closes the connections to a peer that Keep does not name, unless a call runs on them.
func (p *Pool) Release(id basillift.VMID) {
	if kept := p.kept.Load(); kept != nil && (*kept)[id] {
		return
	}
	p.peer(id).closeUnused()
}

// Keep names the peers whose connections stay open while idle.
func (p *Pool) Keep(ids []basillift.VMID) {
	kept := make(map[basillift.VMID]bool, len(ids))
	for _, id := range ids {
		kept[id] = true
	}
	p.kept.Store(&kept)
}

func (p *Pool) sweepLoop(ctx context.Context) {
	defer p.tasks.Done()
	for blwait.For(ctx, sweepInterval) {
		p.sweep(p.clock())
	}
}

func (p *Pool) sweep(now time.Time) {
	kept := p.kept.Load()
	for _, l := range p.allLinks() {
		idle := now.Sub(time.Unix(0, l.lastUsed.Load()))
		id := l.peer.Load()
		unnamed := id == nil && idle > helloTimeout
		unused := idle > idleTime && (kept == nil || id == nil || !(*kept)[*id] || p.second(*id, l))
		if unnamed || unused {
			l.close()
		}
	}
}

// Call sends a request and decodes the answer into result.
func (p *Pool) Call(ctx context.Context, to basillift.VMID, method string, params, result any) error {
	if _, found := ctx.Deadline(); !found {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		ctx = limited
	}
	// When two daemons dial each other at once, one of the two connections is closed, maybe
	// under a call. A call may therefore be sent twice; all methods are idempotent.
	err := p.callOnce(ctx, to, method, params, result)
	for range closedTries {
		if !errors.Is(err, jsonrpc2.ErrClosed) {
			break
		}
		err = p.callOnce(ctx, to, method, params, result)
	}
	return err
}

// closedTries is how often a call is sent again after its connection was closed.
const closedTries = 2

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

// Greet connects to an address whose VM is not known yet, such as a seed.
func (p *Pool) Greet(ctx context.Context, address string) (basillift.VMID, error) {
	l, theirs, err := p.dial(ctx, address)
	if err != nil {
		return "", fmt.Errorf("greet %s: %w", address, err)
	}
	l.register(theirs)
	return basillift.VMID(theirs.Record.Name), nil
}

func (p *Pool) dial(ctx context.Context, address string) (*link, Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	base := p.base()
	if base == nil || base.Err() != nil {
		return nil, Hello{}, fmt.Errorf("dial %s: pool is not running: %w", address, basillift.ErrUnavailable)
	}
	if !p.makeRoom(p.clock()) {
		return nil, Hello{}, fmt.Errorf("dial %s: %d connections are busy: %w", address, p.limit, basillift.ErrUnavailable)
	}
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Hello{}, fmt.Errorf("dial: %w", err)
	}
	l, err := p.newLink(base, socket, true)
	if err != nil {
		_ = socket.Close()
		return nil, Hello{}, err
	}
	theirs, err := l.hello(ctx)
	if err != nil {
		l.close()
		return nil, Hello{}, err
	}
	p.track(l)
	return l, theirs, nil
}

func (p *Pool) base() context.Context {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ctx
}

func (p *Pool) peer(id basillift.VMID) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r, found := p.peers[id]
	if !found {
		r = newPeer(p, id)
		p.peers[id] = r
		if p.ctx != nil && !p.stopped {
			p.tasks.Add(1)
			go r.loop(p.ctx)
		}
	}
	return r
}

func (p *Pool) add(id basillift.VMID, l *link) { p.peer(id).add(l) }

func (p *Pool) remove(id basillift.VMID, l *link) {
	if p.peer(id).remove(l) {
		p.greeter.Lost(id)
	}
}

// second reports whether the peer has another connection that is preferred to this one.
func (p *Pool) second(id basillift.VMID, l *link) bool {
	current := p.peer(id).current()
	return current != nil && current != l
}

func (p *Pool) jitter(base time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return base/2 + time.Duration(p.random.Int63n(int64(base)))
}
