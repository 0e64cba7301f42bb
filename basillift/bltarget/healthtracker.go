package bltarget

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

const (
	// successGracePeriod is how long after an answered call failed health checks, and
	// a load report of starting, are ignored.
	successGracePeriod = 2 * time.Second
	// unhealthyThreshold is the number of consecutive failed health checks after which
	// a target without answered calls is not ready. A single one may be a lost packet.
	unhealthyThreshold = 2
	// brokenCallThreshold and slowCallThreshold are the numbers of calls that break, or
	// miss their deadline, without an answered call in between, after which the target
	// is suspended.
	brokenCallThreshold = 3
	slowCallThreshold   = 10
	// minSuspension and maxSuspension limit the time for which a target is suspended.
	// It doubles with each consecutive suspension.
	minSuspension = time.Second
	maxSuspension = 30 * time.Second
	// suspensionResetTime is how long after a suspension an answered call resets the
	// next suspension to minSuspension.
	suspensionResetTime = 10 * time.Second
	// maxPollGap is the longest time between two polls. After a longer gap, the daemon
	// was paused: it polls every 500 ms.
	maxPollGap = 3 * time.Second
)

// ReportedLoad is a report of the load endpoint. The zero value stands for a missing
// report.
type ReportedLoad struct {
	slots int
	used  int
	queue int
	state basillift.TargetState
}

// NewReportedLoad returns a report. An empty state means ready.
func NewReportedLoad(slots, used, queue int, state basillift.TargetState) ReportedLoad {
	return ReportedLoad{slots: slots, used: used, queue: queue, state: state}
}

// Slots is the number of calls that the target can run at once.
func (l ReportedLoad) Slots() int { return l.slots }

// Used is the number of calls that the target is running.
func (l ReportedLoad) Used() int { return l.used }

// Queue is the number of calls that are queued inside the target.
func (l ReportedLoad) Queue() int { return l.queue }

// State is the state that the target reports. Empty means ready.
func (l ReportedLoad) State() basillift.TargetState { return l.state }

// HealthTracker derives the target's state from the results of health checks, load
// reports and calls. It is not safe for concurrent use.
type HealthTracker struct {
	load           ReportedLoad
	healthy        bool
	failedChecks   int
	brokenCalls    int
	slowCalls      int
	nextSuspension time.Duration
	suspendedUntil time.Time
	lastSuccess    time.Time
	lastPoll       time.Time
	draining       bool
}

// NewHealthTracker returns a tracker in state starting, until the first successful
// health check.
func NewHealthTracker() *HealthTracker { return &HealthTracker{nextSuspension: minSuspension} }

// ObserveHealth records the result of a health check and returns the target's state.
func (t *HealthTracker) ObserveHealth(now time.Time, ok bool) basillift.TargetState {
	t.detectPause(now)
	if !ok {
		t.failedChecks++
		return t.State(now)
	}
	t.failedChecks = 0
	if !now.Before(t.suspendedUntil) {
		t.healthy = true
	}
	return t.State(now)
}

// ObserveLoad records a report of the load endpoint and returns the target's state. A
// missing report (the zero value) also replaces the last one, which may come from a
// process that no longer runs.
func (t *HealthTracker) ObserveLoad(now time.Time, l ReportedLoad) basillift.TargetState {
	t.detectPause(now)
	t.load = l
	return t.State(now)
}

// ObserveCall records the result of a call to the target and returns the target's
// state.
func (t *HealthTracker) ObserveCall(now time.Time, r blroute.Result) basillift.TargetState {
	switch r {
	case blroute.ResultConnectFailed, blroute.ResultCrashed:
		t.brokenCalls++
	case blroute.ResultSlow:
		t.slowCalls++
	default:
		t.recordSuccess(now)
	}
	if t.brokenCalls >= brokenCallThreshold || t.slowCalls >= slowCallThreshold {
		t.suspend(now)
	}
	return t.State(now)
}

// Drain sets the state to draining permanently.
func (t *HealthTracker) Drain() basillift.TargetState {
	t.draining = true
	return basillift.TargetDraining
}

// State returns the target's state at the given time. Draining has priority, then a
// suspension or a missing health check, then failed health checks, then the load
// report.
func (t *HealthTracker) State(now time.Time) basillift.TargetState {
	switch {
	case t.draining, t.load.state == basillift.TargetDraining:
		return basillift.TargetDraining
	case !t.healthy, now.Before(t.suspendedUntil):
		return basillift.TargetStarting
	case t.failedChecks >= unhealthyThreshold && now.Sub(t.lastSuccess) > successGracePeriod:
		return basillift.TargetStarting
	case t.load.state == basillift.TargetShedding:
		return basillift.TargetShedding
	case t.load.state == basillift.TargetStarting && now.Sub(t.lastSuccess) > successGracePeriod:
		return basillift.TargetStarting
	default:
		return basillift.TargetReady
	}
}

// recordSuccess records an answered call. An error response of the target and a
// refusal are answers, too.
func (t *HealthTracker) recordSuccess(now time.Time) {
	t.brokenCalls, t.slowCalls = 0, 0
	t.lastSuccess = now
	if now.Sub(t.suspendedUntil) > suspensionResetTime {
		t.nextSuspension = minSuspension
	}
}

// suspend stops calls to the target for a time and requires a successful health check
// after it. Results of calls that were sent before the suspension do not prolong it.
func (t *HealthTracker) suspend(now time.Time) {
	t.brokenCalls, t.slowCalls = 0, 0
	if now.Before(t.suspendedUntil) {
		return
	}
	t.healthy = false
	t.lastSuccess = time.Time{}
	t.suspendedUntil = now.Add(t.nextSuspension)
	t.nextSuspension = min(2*t.nextSuspension, maxSuspension)
}

// detectPause requires a successful health check after the daemon was paused, since
// the target may have changed in the meantime.
func (t *HealthTracker) detectPause(now time.Time) {
	if !t.lastPoll.IsZero() && now.Sub(t.lastPoll) > maxPollGap {
		t.healthy = false
		t.lastSuccess = time.Time{}
	}
	t.lastPoll = now
}
