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
	"basillift.dev/basillift/bladvisory"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blpool"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

const (
	// sweepInterval is how often unused connections are closed, and targets are removed whose registry entries did
	// not return in time.
	sweepInterval = 500 * time.Millisecond
	// forgetAfter is how long the load report of an unused target is kept.
	forgetAfter = time.Minute
)

// Forwarder is the request proxy of one daemon.
type Forwarder struct {
	settings  Settings
	tables    *bltable.Holder
	fleet     *blfleet.Fleet
	splitter  *bltable.Splitter
	balancer  *blbalance.Balancer
	allowance *blretry.Allowance
	pools     *blpool.Set
	admission *admission
	// advisories is what the targets say about themselves.
	advisories *bladvisory.Tracker
	// cold limits the requests to the VM's own target while that is cold.
	cold *coldTarget
	// evacuations says which failure domains are evacuated.
	evacuations evacuations
	crashes     *crashDetector
	quarantine  *quarantine
	announcer   *suspicionAnnouncer
	// transfers is nil unless the VM's link is slow.
	transfers    *transferQueue
	answerSizes  *answerSizes
	routeStats   *routeStats
	elapsedWaits *bladmit.ElapsedWaitEstimator
	log          *bllog.Logger
	requestLog   *requestLog
	counters     *counters
	gossip       basillift.RevisionGossip
	feedServer   basillift.FeedServer
	// feedContext is canceled when a stop begins. That ends all pending feed requests of daemons that wait for a
	// newer routing table.
	feedContext   context.Context
	cancelFeeds   context.CancelFunc
	targetSide    *targetSide
	callerServer  *server
	meshServer    *server
	readyServer   *fasthttp.Server
	readyListener net.Listener
	// startedAt is when the daemon started. A target that started before may have named a request limit already.
	startedAt time.Time
	stopping  atomic.Bool
	// refusesRequests is set once a stop refuses new requests of callers and of other daemons.
	refusesRequests atomic.Bool
	// callerContext is canceled when the answers to callers are needed at once, at the end of a stop.
	callerContext context.Context
	endCallers    context.CancelCauseFunc
	peers         *peerBudget
	bodyBudget    *bodyBudget
	// accepted are the requests at the target side.
	accepted        *acceptedRequests
	answerDeadlines *answerDeadlines
	// drainPeriod is how long a leaving target may be used, in nanoseconds.
	drainPeriod atomic.Int64
	// failedReadyChecks counts the readiness checks answered with 503 since the stop began.
	failedReadyChecks atomic.Int32
	tasks             sync.WaitGroup
}

// New returns a forwarder that routes by the holder's table to the targets of the fleet.
func New(s Settings, tables *bltable.Holder, fleet *blfleet.Fleet, log *bllog.Logger, rnd *rand.Rand) *Forwarder {
	advisories := bladvisory.New()
	peers := newPeerBudget(s.limits)
	poolLimits := func(address string) blpool.Limits { return s.poolLimits(address, peers.connections) }
	f := &Forwarder{
		settings: s, tables: tables, fleet: fleet, startedAt: time.Now(), evacuations: fleet, peers: peers, bodyBudget: peers.memory,
		splitter: bltable.NewSplitter(rnd), balancer: blbalance.New(s.domain, advisories, rand.New(rand.NewSource(rnd.Int63()))),
		allowance: blretry.NewAllowance(s.retryRatio, s.fixedRetries, rand.New(rand.NewSource(rnd.Int63()))), pools: blpool.NewSet(poolLimits), admission: newAdmission(), advisories: advisories, log: log, answerSizes: newAnswerSizes(), routeStats: newRouteStats(), elapsedWaits: bladmit.NewElapsedWaitEstimator(), requestLog: newRequestLog(log),
	}
	f.crashes = newCrashDetector(f.pools.Of(s.targetAddress))
	f.cold = newColdTarget(f)
	f.balancer.SetColdStarts(f.coldStart, func(d basillift.FailureDomain) (time.Time, bool) { return f.evacuations.EvacuationEnded(d) })
	f.quarantine = newQuarantine(f.crashes.fingerprints)
	f.announcer = newSuspicionAnnouncer(f, rand.New(rand.NewSource(rnd.Int63())))
	f.drainPeriod.Store(int64(s.drainPeriod))
	f.feedContext, f.cancelFeeds = context.WithCancel(context.Background())
	f.callerContext, f.endCallers = context.WithCancelCause(context.Background())
	f.accepted, f.answerDeadlines = newAcceptedRequests(), newAnswerDeadlines(f)
	if s.slowLink {
		f.transfers = newTransferQueue()
	}
	f.counters = newCounters(f)
	f.targetSide = &targetSide{forwarder: f}
	f.callerServer = newServer(s.callerAddress, &callerSide{forwarder: f}, blbudget.ClassCaller, peers)
	f.meshServer = newServer(s.meshAddress, f.targetSide, blbudget.ClassDaemon, peers)
	peers.servers = []*server{f.callerServer, f.meshServer}
	f.readyServer = &fasthttp.Server{Handler: f.serveReady, NoDefaultServerHeader: true}
	return f
}

// SetRevisionGossip sets what compares this daemon's registry revision with that of other daemons. It must be called
// before Run.
func (f *Forwarder) SetRevisionGossip(g basillift.RevisionGossip) { f.gossip = g }

// SetFeedServer sets what answers daemons that ask for a newer routing table. Without a feed server they get the
// status 400. It must be called before Run.
func (f *Forwarder) SetFeedServer(s basillift.FeedServer) { f.feedServer = s }

// Listen opens the addresses for daemons, callers and readiness checks. The error names the address that failed.
func (f *Forwarder) Listen() error {
	if err := f.meshServer.listen(); err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	if err := f.callerServer.listen(); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	l, err := net.Listen("tcp", f.settings.readyAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	f.readyListener = l
	return nil
}

// Run serves until ctx ends, then closes all connections. Call Drain first to let requests finish.
func (f *Forwarder) Run(ctx context.Context) error {
	f.tasks.Go(func() { f.meshServer.loop(ctx) })
	f.tasks.Go(func() { f.callerServer.loop(f.callerContext) })
	f.announcer.resync(time.Now())
	f.tasks.Go(func() { f.announcer.loop(ctx) })
	f.tasks.Go(func() { f.cold.loop(ctx) })
	f.tasks.Go(func() { _ = f.readyServer.Serve(f.readyListener) })
	f.loop(ctx)
	f.cancelFeeds()
	f.endCallers(errStopping)
	f.callerServer.stop()
	f.meshServer.stop()
	err := f.readyServer.Shutdown()
	// Shutdown does not close the listener if Serve has not been called yet, and Serve would then start afterwards.
	_ = f.readyListener.Close()
	f.pools.Close()
	f.tasks.Wait()
	if err != nil {
		return fmt.Errorf("stop readiness server: %w", err)
	}
	return nil
}

// loop runs periodic maintenance until ctx ends.
func (f *Forwarder) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.pools.Sweep(now)
			f.fleet.Tick(now)
			f.balancer.Forget(now, forgetAfter)
			f.advisories.Forget(now)
		}
	}
}

// SetLimits changes how long a leaving target may be used and how many retries the mesh allows. It may be called
// while the forwarder runs.
func (f *Forwarder) SetLimits(drainPeriod time.Duration, retryRatio float64, fixedRetries int) {
	f.drainPeriod.Store(int64(drainPeriod))
	f.allowance.SetLimits(retryRatio, fixedRetries)
}

// Reconnected must be called when the daemon may have been cut off from other daemons, and so may lack what they have learned
// about requests that crash targets.
func (f *Forwarder) Reconnected(now time.Time) { f.announcer.resync(now) }

// TargetsChanged must be called after the routing table or the fleet has changed.
func (f *Forwarder) TargetsChanged(now time.Time) {
	if e, _, known := f.fleet.EndpointAt(f.settings.targetAddress); known {
		if e.StartedAt().After(f.startedAt) {
			f.admission.setLimitKnown(now)
		}
		if e.Slots() > 0 {
			f.admission.setSlots(now, e.Slots())
		}
		f.applyRequestLimit(now, e)
	}
	f.cold.targetsChanged(now)
	f.accepted.lowerInstances(f.instanceLimits)
	if t := f.tables.Current(); t != nil {
		f.splitter.Retain(t)
	}
}

// Ready reports whether callers may send requests: a routing table is in force and no stop has begun.
func (f *Forwarder) Ready() bool { return !f.stopping.Load() && f.tables.Current() != nil }

func (f *Forwarder) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != f.settings.headerNames.ReadyPath():
		ctx.SetStatusCode(http.StatusNotFound)
	case !f.Ready():
		if f.stopping.Load() {
			f.failedReadyChecks.Add(1)
		}
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// connLimits returns the limits for callers from the routing table in force, or the defaults without one.
func (f *Forwarder) connLimits() connLimits {
	limits := connLimits{
		headerBytes: blpool.BufferBytes, bodyBytes: defaultMaxBodyBytes,
		headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout,
	}
	table := f.tables.Current()
	if table == nil {
		return limits
	}
	configured := table.Limits()
	limits.headerBytes = positiveOr(configured.HeaderBytes(), limits.headerBytes)
	limits.bodyBytes = positiveOr(configured.BodyBytes(), limits.bodyBytes)
	limits.headerTimeout = positiveOr(configured.HeaderTimeout(), limits.headerTimeout)
	limits.idleTimeout = positiveOr(configured.IdleTimeout(), limits.idleTimeout)
	return limits
}

// slotsWanted reports whether requests wait for a slot of the VM's target or for a turn on its slow link, or were refused a slot
// lately.
func (f *Forwarder) slotsWanted(now time.Time) bool {
	return f.peers.refusedSlot(now) || f.admission.load().Queued() > 0 || f.transfers != nil && f.transfers.load().Queued() > 0
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
