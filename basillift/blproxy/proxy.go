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

// Proxy serves callers and other daemons. Its methods may be called concurrently.
type Proxy struct {
	settings  Settings
	source    basillift.ConfigurationSource
	directory basillift.Directory
	target    basillift.LocalTarget
	observer  basillift.VersionObserver
	recorder  basillift.Recorder
	peers     basillift.Peers
	calls     CallObserver

	pools    *blpool.Set
	routes   *routes
	gate     *gate
	keys     *keyLedger
	guard    *guard
	quota    *quota
	metrics  *counters
	watcher  *watcher
	caller   *fasthttp.Server
	mesh     *fasthttp.Server
	onCaller net.Listener
	onMesh   net.Listener

	// background runs what outlasts a call; Run waits for it.
	background sync.WaitGroup

	draining atomic.Bool
	closed   atomic.Bool
	inFlight atomic.Int64
	lastCall atomic.Uint64
}

// CallObserver is told how the calls to the VM's own target end. It must not block.
type CallObserver interface {
	ObserveCall(now time.Time, r blroute.Result)
}

// ObserveCalls sets who is told of calls to the target. It must come before Run.
func (p *Proxy) ObserveCalls(o CallObserver) { p.calls = o }

// New returns a proxy that is not listening yet.
func New(s Settings, source basillift.ConfigurationSource, directory basillift.Directory,
	target basillift.LocalTarget, observer basillift.VersionObserver, recorder basillift.Recorder,
	peers basillift.Peers,
) (*Proxy, error) {
	w, err := newWatcher()
	if err != nil {
		return nil, fmt.Errorf("make proxy: %w", err)
	}
	p := &Proxy{
		settings: s, source: source, directory: directory, target: target,
		observer: observer, recorder: recorder, peers: peers,
		pools: blpool.NewSet(s.limits), watcher: w, routes: newRoutes(directory.Self()),
		keys: newKeyLedger(directory.Self()), guard: newGuard(), quota: newQuota(s.domains),
		gate: newGate(bladmit.NewSettings(s.slots, s.targetLimit, s.queueLength)),
	}
	p.metrics = newCounters(p)
	p.caller = p.server(p.serveCaller, p.expectCaller)
	p.mesh = p.server(p.serveMesh, p.expectMesh)
	return p, nil
}

// server returns a server that leaves requests and responses as they are.
func (p *Proxy) server(handle fasthttp.RequestHandler, expect func(*fasthttp.RequestCtx) int) *fasthttp.Server {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleMethodNotAllowed = false
	r.HandleOPTIONS = false
	// One route for all: two parameters cost the router 6 allocations for each call,
	// and serviceOf has to look at the raw path anyway.
	r.ANY("/{path:*}", handle)
	r.NotFound = handle
	return &fasthttp.Server{
		Handler:                      r.Handler,
		ExpectHandler:                expect,
		ErrorHandler:                 refuseMalformed,
		IdleTimeout:                  90 * time.Second,
		ReadTimeout:                  p.settings.longestTimeout + 15*time.Second,
		WriteTimeout:                 p.settings.longestTimeout,
		ReadBufferSize:               blpool.BufferBytes,
		WriteBufferSize:              blpool.BufferBytes,
		MaxRequestBodySize:           fasthttp.DefaultMaxRequestBodySize,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       silent{},
		Concurrency:                  64 << 10,
	}
}

// silent drops fasthttp's log lines: each concerns one connection, and calls are counted instead.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Listen opens both addresses.
func (p *Proxy) Listen() error {
	onCaller, err := net.Listen("tcp", p.settings.callerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	onMesh, err := net.Listen("tcp", p.settings.meshAddress)
	if err != nil {
		_ = onCaller.Close()
		return fmt.Errorf("listen for daemons: %w", err)
	}
	p.onCaller = &listener{Listener: onCaller, watcher: p.watcher}
	p.onMesh = &listener{Listener: onMesh, watcher: p.watcher}
	return nil
}

// CallerAddress is where callers connect, after Listen.
func (p *Proxy) CallerAddress() string { return p.onCaller.Addr().String() }

// MeshAddress is where other daemons connect, after Listen.
func (p *Proxy) MeshAddress() string { return p.onMesh.Addr().String() }

// Run serves until ctx ends and then closes all connections. Drain must come
// first for a stop that interrupts nobody.
func (p *Proxy) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	var group sync.WaitGroup
	group.Go(p.watcher.loop)
	group.Go(func() { failed <- p.caller.Serve(p.onCaller) })
	group.Go(func() { failed <- p.mesh.Serve(p.onMesh) })
	group.Go(func() { p.loop(ctx) })
	group.Go(func() { p.gate.loop(ctx) })
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

// loop does what is due each second: it closes old connections and observes the owners of keys.
func (p *Proxy) loop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.pools.Sweep(now)
			p.observeRoster(ctx, now)
		}
	}
}

// observeRoster keeps the list of key owners current. A daemon without one asks its peers first.
func (p *Proxy) observeRoster(ctx context.Context, now time.Time) {
	if p.keys.snapshot() == nil {
		p.askRoster(ctx)
	}
	p.keys.observe(now, p.directory)
}

// stop closes everything; calls in flight are canceled first.
func (p *Proxy) stop() error {
	for _, k := range p.watcher.calls() {
		k.cancel()
	}
	err := errors.Join(p.caller.Shutdown(), p.mesh.Shutdown())
	// A server that was not serving yet does not know its listener and would serve on.
	_ = p.onCaller.Close()
	_ = p.onMesh.Close()
	p.pools.Close()
	return errors.Join(err, p.watcher.close())
}

// drainCheck is how often Drain looks whether calls are still in flight.
const drainCheck = 5 * time.Millisecond

// callerGrace is how long after the start of a drain callers of this VM are still
// served. Without an end, a busy caller would keep Drain waiting up to its bound.
const callerGrace = 2 * time.Second

// Drain refuses new calls from other daemons at once, and new calls from callers
// after a grace time. It returns when the linger time has passed and no call is in flight. When
// ctx ends first, the remaining calls are cut and their number returned.
func (p *Proxy) Drain(ctx context.Context) int {
	p.draining.Store(true)
	p.gate.drain(time.Now())
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return p.cut()
		case now := <-ticker.C:
			idle := now.Sub(begun) >= p.settings.lingerAfterDrain && p.inFlight.Load() == 0
			if !idle && now.Sub(begun) <= callerGrace {
				continue
			}
			// A call that began after the check counts as in flight before it looks at closed, so that
			// it is either refused or waited for.
			p.closed.Store(true)
			if p.inFlight.Load() == 0 {
				return 0
			}
		}
	}
}

func (p *Proxy) cut() int {
	calls := p.watcher.calls()
	now := time.Now()
	for _, k := range calls {
		if p.records(RecordRefused) {
			p.recorder.Record(k.event(now, basillift.EventCallTruncated))
		}
		k.cancel()
	}
	return len(calls)
}

// InFlight is the number of calls that this daemon handles at the moment, on both sides.
func (p *Proxy) InFlight() int { return int(p.inFlight.Load()) }

// callID returns an id that no other call of the mesh has.
func (p *Proxy) callID(self basillift.Member) string {
	n := p.lastCall.Add(1)
	id := append([]byte(self.ID()), '-')
	id = strconv.AppendUint(id, self.Incarnation(), 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, n, 36))
}
