package blproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
	"basillift.dev/basillift/blpool"
	"basillift.dev/basillift/blroute"
)

// Proxy serves callers and other daemons. Its methods are safe for concurrent use.
type Proxy struct {
	settings     Settings
	source       basillift.ConfigurationSource
	directory    basillift.Directory
	target       basillift.LocalTarget
	observer     basillift.VersionObserver
	recorder     basillift.Recorder
	peers        basillift.Peers
	callObserver CallObserver

	pools          *blpool.Set
	selection      *targetSelection
	admission      *admissionQueue
	keys           *keyStore
	quarantine     *quarantine
	quota          *quota
	metrics        *proxyMetrics
	disconnects    *disconnectWatcher
	callerServer   *fasthttp.Server
	meshServer     *fasthttp.Server
	callerListener net.Listener
	meshListener   net.Listener

	// background tracks goroutines that outlive their call; Run waits for them.
	background sync.WaitGroup

	draining   atomic.Bool
	closed     atomic.Bool
	inFlight   atomic.Int64
	lastCallID atomic.Uint64
}

// CallObserver receives the results of the calls to the VM's own target. It must not block.
type CallObserver interface {
	ObserveCall(now time.Time, r blroute.Result)
}

// SetCallObserver sets the observer of the calls to the target. It must be called before Run.
func (p *Proxy) SetCallObserver(o CallObserver) { p.callObserver = o }

// New returns a proxy that is not listening yet.
func New(s Settings, source basillift.ConfigurationSource, directory basillift.Directory,
	target basillift.LocalTarget, observer basillift.VersionObserver, recorder basillift.Recorder,
	peers basillift.Peers,
) (*Proxy, error) {
	w, err := newDisconnectWatcher()
	if err != nil {
		return nil, fmt.Errorf("create proxy: %w", err)
	}
	p := &Proxy{
		settings: s, source: source, directory: directory, target: target,
		observer: observer, recorder: recorder, peers: peers,
		pools: blpool.NewSet(s.limits), disconnects: w, selection: newTargetSelection(directory.Self()),
		keys: newKeyStore(directory.Self()), quarantine: newQuarantine(), quota: newQuota(s.domains),
		admission: newAdmissionQueue(bladmit.NewQueueSettings(s.slots, s.maxTargetConnections, s.maxQueuedCalls)),
	}
	p.metrics = newProxyMetrics(p)
	p.callerServer = p.newServer(p.serveCaller, p.expectCaller)
	p.meshServer = p.newServer(p.serveMesh, p.expectMesh)
	return p, nil
}

// newServer returns a server that leaves requests and responses unchanged.
func (p *Proxy) newServer(handle fasthttp.RequestHandler, expect func(*fasthttp.RequestCtx) int) *fasthttp.Server {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.HandleOPTIONS = false
	// A single catch-all route: two parameters cost the router 6 allocations per call, and
	// serviceOf has to parse the raw path anyway.
	r.ANY("/{path:*}", handle)
	r.NotFound = handle
	return &fasthttp.Server{
		Handler:                      r.Handler,
		ExpectHandler:                expect,
		ErrorHandler:                 refuseMalformed,
		IdleTimeout:                  90 * time.Second,
		ReadTimeout:                  p.settings.maxTimeout + 15*time.Second,
		WriteTimeout:                 p.settings.maxTimeout,
		ReadBufferSize:               blpool.BufferBytes,
		WriteBufferSize:              blpool.BufferBytes,
		MaxRequestBodySize:           fasthttp.DefaultMaxRequestBodySize,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
		Concurrency:                  64 << 10,
	}
}

// discardLogger drops the log lines of fasthttp: each concerns a single connection, and calls are
// counted in the metrics instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Listen opens the caller address and the mesh address.
func (p *Proxy) Listen() error {
	callerListener, err := net.Listen("tcp", p.settings.callerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	meshListener, err := net.Listen("tcp", p.settings.meshAddress)
	if err != nil {
		_ = callerListener.Close()
		return fmt.Errorf("listen for daemons: %w", err)
	}
	p.callerListener = &listener{Listener: callerListener, watcher: p.disconnects}
	p.meshListener = &listener{Listener: meshListener, watcher: p.disconnects}
	return nil
}

// CallerAddress returns the address on which callers connect. It is valid after Listen.
func (p *Proxy) CallerAddress() string { return p.callerListener.Addr().String() }

// MeshAddress returns the address on which other daemons connect. It is valid after Listen.
func (p *Proxy) MeshAddress() string { return p.meshListener.Addr().String() }

// Run serves until ctx ends and then closes all connections. Call Drain first for a stop that
// interrupts no call.
func (p *Proxy) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	var group sync.WaitGroup
	group.Go(p.disconnects.loop)
	group.Go(func() { failed <- p.callerServer.Serve(p.callerListener) })
	group.Go(func() { failed <- p.meshServer.Serve(p.meshListener) })
	group.Go(func() { p.loop(ctx) })
	group.Go(func() { p.admission.loop(ctx) })
	group.Go(func() { p.quotaLoop(ctx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	err = errors.Join(err, p.stop())
	group.Wait()
	p.background.Wait()
	if err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	return nil
}

// loop closes idle connections and updates the owners of keys once a second.
func (p *Proxy) loop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.pools.Sweep(now)
			p.updateOwnerList(ctx, now)
		}
	}
}

// updateOwnerList updates the list of key owners. A daemon without one asks its peers first.
func (p *Proxy) updateOwnerList(ctx context.Context, now time.Time) {
	if p.keys.ownerList() == nil {
		p.fetchOwnerList(ctx)
	}
	p.keys.observe(now, p.directory)
}

// stop closes all listeners and connections; it cancels the calls in flight first.
func (p *Proxy) stop() error {
	for _, k := range p.disconnects.calls() {
		k.cancel()
	}
	err := errors.Join(p.callerServer.Shutdown(), p.meshServer.Shutdown())
	// A server that was not serving yet does not know its listener, so Shutdown does not close it.
	_ = p.callerListener.Close()
	_ = p.meshListener.Close()
	p.pools.Close()
	return errors.Join(err, p.disconnects.close())
}

// drainCheckInterval is how often Drain checks whether calls are still in flight.
const drainCheckInterval = 5 * time.Millisecond

// callerGracePeriod is how long callers on this VM are still served after a drain starts. Without
// this limit, a busy caller would delay Drain until ctx ends.
const callerGracePeriod = 2 * time.Second

// Drain refuses new calls from other daemons at once, and new calls from callers after a grace
// period. It returns when no call is in flight and the linger time or, if that is shorter, the
// grace period has passed. If ctx ends first, it cancels the remaining calls and returns their
// number.
func (p *Proxy) Drain(ctx context.Context) int {
	p.draining.Store(true)
	p.admission.drain(time.Now())
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return p.cancelCalls()
		case now := <-ticker.C:
			idle := now.Sub(begun) >= p.settings.drainLinger && p.inFlight.Load() == 0
			if !idle && now.Sub(begun) <= callerGracePeriod {
				continue
			}
			// A call that starts after this check counts as in flight before it reads closed. So
			// it is either refused or waited for.
			p.closed.Store(true)
			if p.inFlight.Load() == 0 {
				return 0
			}
		}
	}
}

func (p *Proxy) cancelCalls() int {
	calls := p.disconnects.calls()
	now := time.Now()
	for _, k := range calls {
		if p.records(RecordRefused) {
			p.recorder.Record(k.event(now, basillift.EventCallTruncated))
		}
		k.cancel()
	}
	return len(calls)
}

// InFlight returns the number of calls that this daemon is handling, on both sides.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// callID returns an id that is unique in the mesh.
func (p *Proxy) callID(self basillift.Member) string {
	n := p.lastCallID.Add(1)
	id := append([]byte(self.ID()), '-')
	id = strconv.AppendUint(id, self.Incarnation(), 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, n, 36))
}
