package blforwarder

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blpool"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

const (
	// sweepEvery is how often old connections are closed and the fleet is looked through.
	sweepEvery = 500 * time.Millisecond
	// forgetAfter is how long the load of an unused target is remembered.
	forgetAfter = time.Minute
	// newWorkEnds is how long after a stop began callers may still send requests: two missed readiness
	// checks, one a second.
	newWorkEnds = 2300 * time.Millisecond
	// deniedChecks is how many readiness checks in a row must fail until callers send no new requests.
	deniedChecks = 2
	// drainCheck is how often a stop looks whether requests are in flight.
	drainCheck = 10 * time.Millisecond
)

// Forwarder is the request path of one daemon.
type Forwarder struct {
	settings  Settings
	tables    *bltable.Holder
	fleet     *blfleet.Fleet
	dealer    *bltable.Splitter
	placer    *blbalance.Balancer
	allowance *blretry.Allowance
	pools     *blpool.Set
	desk      *desk
	// link is nil unless the VM's link is thin.
	link     *link
	sizes    *sizes
	outcomes *outcomes
	patience *bladmit.ElapsedWaitEstimator
	trail    *trail
	counters *counters
	news     basillift.RevisionGossip
	feed     basillift.FeedServer
	// feeding ends when a stop begins, with all answers to daemons that wait for a newer table.
	feeding    context.Context
	endFeeding context.CancelFunc
	targets    *targetSide
	callers    *server
	mesh       *server
	ready      *fasthttp.Server
	onReady    net.Listener
	stopping   atomic.Bool
	// closing is set once a stop takes no new requests of other daemons.
	closing atomic.Bool
	leaving atomic.Int64
	// denials counts the readiness checks that a stopping daemon has answered.
	denials atomic.Int32
	tasks   sync.WaitGroup
}

// New returns a courier that routes by the holder's table to the fleet's targets.
func New(s Settings, tables *bltable.Holder, fleet *blfleet.Fleet, log *bllog.Logger, rnd *rand.Rand) *Forwarder {
	c := &Forwarder{
		settings: s, tables: tables, fleet: fleet,
		dealer: bltable.NewSplitter(rnd), placer: blbalance.New(s.domain, rand.New(rand.NewSource(rnd.Int63()))),
		allowance: blretry.NewAllowance(s.ratio, s.fixed, rand.New(rand.NewSource(rnd.Int63()))), pools: blpool.NewSet(s.limits), desk: newDesk(), sizes: newSizes(), outcomes: newOutcomes(), patience: bladmit.NewElapsedWaitEstimator(), trail: newTrail(log),
	}
	c.leaving.Store(int64(s.leaving))
	c.feeding, c.endFeeding = context.WithCancel(context.Background())
	if s.thin {
		c.link = newLink()
	}
	c.counters = newCounters(c)
	c.targets = &targetSide{courier: c}
	c.callers = newServer(s.callers, &callerSide{courier: c})
	c.mesh = newServer(s.mesh, c.targets)
	c.ready = &fasthttp.Server{Handler: c.serveReady, NoDefaultServerHeader: true}
	return c
}

// SetRevisionGossip tells the forwarder what compares its knowledge of the registry with that of
// other daemons. It must be called before Run.
func (c *Forwarder) SetRevisionGossip(f basillift.RevisionGossip) { c.news = f }

// SetFeedServer tells the forwarder what answers daemons that ask for a newer routing table. It
// must be called before Run.
func (c *Forwarder) SetFeedServer(f basillift.FeedServer) { c.feed = f }

// Listen opens all addresses.
func (c *Forwarder) Listen() error {
	if err := c.mesh.listen(); err != nil {
		return fmt.Errorf("address for daemons: %w", err)
	}
	if err := c.callers.listen(); err != nil {
		return fmt.Errorf("address for callers: %w", err)
	}
	l, err := net.Listen("tcp", c.settings.ready)
	if err != nil {
		return fmt.Errorf("address for readiness: %w", err)
	}
	c.onReady = l
	return nil
}

// Run serves until ctx ends; Drain comes before that.
func (c *Forwarder) Run(ctx context.Context) error {
	c.tasks.Go(func() { c.mesh.loop(ctx) })
	c.tasks.Go(func() { c.callers.loop(ctx) })
	c.tasks.Go(func() { _ = c.ready.Serve(c.onReady) })
	c.loop(ctx)
	c.endFeeding()
	c.callers.stop()
	c.mesh.stop()
	err := c.ready.Shutdown()
	// A server that was not serving yet does not know its listener and would serve on.
	_ = c.onReady.Close()
	c.pools.Close()
	c.tasks.Wait()
	if err != nil {
		return fmt.Errorf("stop readiness: %w", err)
	}
	return nil
}

// loop does what is due from time to time.
func (c *Forwarder) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.pools.Sweep(now)
			c.fleet.Tick(now)
			c.placer.Forget(now, forgetAfter)
		}
	}
}

// SetRetryLimits changes how long a leaving target may be used and how many repeats the
// mesh allows, while the courier runs.
func (c *Forwarder) SetRetryLimits(leaving time.Duration, ratio float64, fixed int) {
	c.leaving.Store(int64(leaving))
	c.allowance.SetLimits(ratio, fixed)
}

// TargetsChanged tells that the routing table or the fleet has changed.
func (c *Forwarder) TargetsChanged(now time.Time) {
	if e, _, known := c.fleet.EndpointAt(c.settings.target); known && e.Slots() > 0 {
		c.desk.setSlots(now, e.Slots())
	}
	if t := c.tables.Current(); t != nil {
		c.dealer.Retain(t)
	}
}

// Drain says that the daemon is not ready, answers what is in flight and what callers
// still send, and returns when nothing is left or ctx ends.
func (c *Forwarder) Drain(ctx context.Context) {
	c.stopping.Store(true)
	c.endFeeding()
	c.callers.drain(false)
	c.mesh.drain(false)
	begun := time.Now()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(begun) < newWorkEnds && c.denials.Load() < deniedChecks {
				continue
			}
			c.closing.Store(true)
			// New connections are refused from here on, which tells callers that nothing was read.
			c.callers.closeListener()
			c.callers.drain(true)
			if !c.callers.busy() && !c.mesh.busy() {
				return
			}
		}
	}
}

// Ready reports whether callers may send requests.
func (c *Forwarder) Ready() bool { return !c.stopping.Load() && c.tables.Current() != nil }

func (c *Forwarder) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != c.settings.dialect.ReadyPath():
		ctx.SetStatusCode(http.StatusNotFound)
	case !c.Ready():
		if c.stopping.Load() {
			c.denials.Add(1)
		}
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// terms are the limits of callers by the routing table in force.
func (c *Forwarder) terms() terms {
	t := terms{
		headerBytes: blpool.BufferBytes, bodyBytes: defaultBodyBytes,
		headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout,
	}
	table := c.tables.Current()
	if table == nil {
		return t
	}
	l := table.Limits()
	t.headerBytes = positive(l.HeaderBytes(), t.headerBytes)
	t.bodyBytes = positive(l.BodyBytes(), t.bodyBytes)
	t.headerTimeout = positive(l.HeaderTimeout(), t.headerTimeout)
	t.idleTimeout = positive(l.IdleTimeout(), t.idleTimeout)
	return t
}

// positive returns the first value unless it is not set.
func positive[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
