package blforwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blpool"
	"basillift.dev/basillift/blwarmup"
)

// maxUnknownReport bounds for how long callers' daemons count on the limit of a target that may be warm. A health answer usually ends
// such a limit within milliseconds, and a daemon that sends nothing meanwhile would not learn that.
const maxUnknownReport = time.Second

// evacuations says which failure domains are or were evacuated.
type evacuations interface {
	// Evacuated returns since when a failure domain is evacuated.
	Evacuated(basillift.FailureDomain) (since time.Time, evacuated bool)
	// EvacuationEnded returns when the last evacuation of a failure domain has ended.
	EvacuationEnded(basillift.FailureDomain) (at time.Time, known bool)
}

// coldTarget limits the requests to the VM's own target while that is or may be cold. blwarmup decides; this type passes
// observations to it, sends the health checks and makes the admission keep the limit.
type coldTarget struct {
	forwarder *Forwarder
	// active is set while the service of the target has a cold start. Otherwise nothing is observed.
	active atomic.Bool
	mutex  sync.Mutex
	state  *blwarmup.State
	// limit is the limit in force; nil for none.
	limit atomic.Pointer[blwarmup.Limit]
	// logged is set if the beginning of the limit in force was logged. The mutex guards it.
	logged bool
	// evacuationEnd is the last end of an evacuation that the state has observed; nil for none.
	evacuationEnd atomic.Pointer[time.Time]
	// wake makes loop ask the state once more.
	wake chan struct{}
}

func newColdTarget(f *Forwarder) *coldTarget {
	return &coldTarget{forwarder: f, state: blwarmup.New(f.startedAt), wake: make(chan struct{}, 1)}
}

// loop changes the limit when it is due, and sends the health checks, until ctx ends.
func (c *coldTarget) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		}
		now := time.Now()
		check, next := c.advance(now)
		if check != nil {
			c.forwarder.tasks.Go(func() { check.run(ctx) })
		}
		if !next.IsZero() {
			timer.Reset(next.Sub(now))
		}
	}
}

// advance returns the health check that is due, or nil, and when to call it again; zero for only after an observation.
func (c *coldTarget) advance(now time.Time) (due *healthCheck, next time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if openedBefore, asked := c.state.OlderConnectionsDue(now); asked {
		c.state.ObserveOlderConnections(c.forwarder.pools.Of(c.forwarder.settings.targetAddress).AnyIdle(openedBefore))
	}
	if c.state.CheckDue(now) {
		due = &healthCheck{target: c, check: c.state.StartCheck(now), path: c.service().HealthPath()}
	}
	c.apply(now)
	next, _ = c.state.NextChange(now)
	return due, next
}

// service returns the settings of the target's service; empty without a routing table. The service is the one by which others
// place requests, that of the target's entry, or that of the daemon's settings if there is no entry.
func (c *coldTarget) service() basillift.ServiceLimits {
	return c.forwarder.serviceLimits(c.forwarder.ownTarget("").Service())
}

// targetsChanged observes the settings of the service, the entry of the target and evacuations. It must be called after each
// change of these.
func (c *coldTarget) targetsChanged(now time.Time) {
	_, _, limited := c.service().ColdStart()
	if !limited && !c.active.Load() {
		return
	}
	c.active.Store(limited)
	f := c.forwarder
	c.observe(now, func(s *blwarmup.State) {
		s.ObserveService(now, c.service())
		if e, _, known := f.fleet.EndpointAt(f.settings.targetAddress); known {
			s.ObserveEntry(now, e)
		}
		domain := f.ownTarget("").Domain()
		_, evacuated := f.evacuations.Evacuated(domain)
		s.ObserveEvacuation(evacuated)
		if ended, known := f.evacuations.EvacuationEnded(domain); known {
			s.ObserveEvacuationEnd(now, ended)
			c.evacuationEnd.Store(&ended)
		}
	})
}

// requestArrived makes the limit begin that follows from the end of an evacuation, if a request arrives before targetsChanged is
// called: the fleet knows the end somewhat earlier.
func (c *coldTarget) requestArrived(now time.Time) {
	if !c.active.Load() {
		return
	}
	f := c.forwarder
	ended, known := f.evacuations.EvacuationEnded(f.ownTarget("").Domain())
	if observed := c.evacuationEnd.Load(); known && (observed == nil || !observed.Equal(ended)) {
		c.targetsChanged(now)
	}
}

// observeRefused records that the target refused a connection.
func (c *coldTarget) observeRefused(now time.Time) {
	if c.active.Load() {
		c.observe(now, func(s *blwarmup.State) { s.ObserveRefused(now) })
	}
}

// observeConnection records a connection to the target that a request will use. If the target had closed all idle ones, it may
// have started again.
func (c *coldTarget) observeConnection(conn *blpool.Conn) {
	if !c.active.Load() {
		return
	}
	if since, closed := conn.Replaces(); closed {
		now := time.Now()
		c.observe(now, func(s *blwarmup.State) { s.ObserveBroken(now, since) })
	}
}

// observeError records the failure of a request that was sent to the target on a connection.
func (c *coldTarget) observeError(now time.Time, conn *blpool.Conn, err error) {
	if c.active.Load() && isDisconnect(err) {
		c.observe(now, func(s *blwarmup.State) { s.ObserveBroken(now, conn.UsedBefore()) })
	}
}

// observeAnswer records an answer of the target to a request that was sent at the given time. It costs nothing while the state
// of the target is known.
func (c *coldTarget) observeAnswer(now, began time.Time, conn *blpool.Conn) {
	if limit := c.limit.Load(); limit != nil && limit.Cause() != blwarmup.CauseNone {
		c.observe(now, func(s *blwarmup.State) { s.ObserveAnswer(now, conn.Opened(), began) })
	}
}

// observe passes an observation to the state and applies what follows from it.
func (c *coldTarget) observe(now time.Time, observation func(*blwarmup.State)) {
	c.mutex.Lock()
	observation(c.state)
	c.apply(now)
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// apply makes the admission keep the limit, and logs when it begins and ends. A limit is not logged while a broken connection may
// still be explained, since that takes milliseconds. apply must be called with the mutex held.
func (c *coldTarget) apply(now time.Time) {
	before, limit := c.limit.Load(), c.state.Limit(now)
	c.forwarder.admission.setColdLimit(now, limit.PerSecond(), limit.Active())
	switch {
	case limit.Active():
		c.limit.Store(&limit)
	case before != nil:
		c.limit.Store(nil)
	}
	if limit.Active() != c.logged && !c.state.AwaitsOlderConnections() {
		c.logged = limit.Active()
		c.logChange(now, limit)
	}
}

func (c *coldTarget) logChange(now time.Time, limit blwarmup.Limit) {
	f := c.forwarder
	if f.log == nil {
		return
	}
	instance := f.ownTarget("").Instance()
	if !limit.Active() {
		f.log.Event(bllog.TargetWarm()).Str("instance", instance).Send()
		return
	}
	f.log.Event(bllog.TargetCold()).Str("instance", instance).Float64("requests_per_second", limit.PerSecond()).
		Int64("remaining_ms", limit.Until().Sub(now).Milliseconds()).Str("unknown_after", string(limit.Cause())).Send()
}

// report adds the limit to a load report.
func (c *coldTarget) report(now time.Time, l basillift.Load) basillift.Load {
	limit := c.limit.Load()
	if limit == nil {
		return l
	}
	remaining := max(0, limit.Until().Sub(now))
	if limit.Cause() != blwarmup.CauseNone {
		remaining = min(remaining, maxUnknownReport)
	}
	return l.WithColdLimit(limit.PerSecond(), remaining)
}

// explain describes the limit in one line; no line without a limit.
func (c *coldTarget) explain(now time.Time) []string {
	limit := c.limit.Load()
	if limit == nil {
		return nil
	}
	reason := "it is cold"
	if limit.Cause() != blwarmup.CauseNone {
		reason = "not known whether it is cold after " + string(limit.Cause())
	}
	return []string{fmt.Sprintf("target of this VM: gets %.3g requests per second for up to %s: %s",
		limit.PerSecond(), limit.Until().Sub(now).Round(time.Millisecond), reason)}
}

// coldStart returns the cold start of a service by the routing table in force.
func (f *Forwarder) coldStart(service string) (warmup time.Duration, perSecond float64, limited bool) {
	return f.serviceLimits(service).ColdStart()
}

// serviceLimits returns the settings of a service in the routing table in force; empty without one.
func (f *Forwarder) serviceLimits(service string) basillift.ServiceLimits {
	table := f.tables.Current()
	if table == nil {
		return basillift.ServiceLimits{}
	}
	s, _ := table.Service(service)
	return s
}

// isDisconnect reports whether an error means that the peer closed or reset the connection, as opposed to a timeout or a
// malformed answer.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
