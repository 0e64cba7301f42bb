package bltarget

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

const (
	// believeCalls is how long an answered call counts for more than a failing health endpoint.
	believeCalls = 2 * time.Second
	// failedPolls is the number of failed health checks in a row after which a
	// target without calls counts as not ready. One alone may be a lost packet.
	failedPolls = 2
	// brokenCalls and slowCalls are how many calls in a row must break, or miss
	// their deadline, before the target is held back.
	brokenCalls = 3
	slowCalls   = 10
	// holdMin and holdMax bound the time for which a target with broken calls is
	// held back; it doubles with each time in a row.
	holdMin = time.Second
	holdMax = 30 * time.Second
	// trustAfter is how long a target must do well after a hold to start again at holdMin.
	trustAfter = 10 * time.Second
	// pauseLimit is the time between two events after which the daemon was paused.
	// Polls come every 500 ms.
	pauseLimit = 3 * time.Second
)

// ReportedLoad is what the load endpoint reports.
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

// Slots is how many calls the target runs at once.
func (l ReportedLoad) Slots() int { return l.slots }

// Used is how many calls it runs now.
func (l ReportedLoad) Used() int { return l.used }

// Queue is how many calls wait inside the target.
func (l ReportedLoad) Queue() int { return l.queue }

// State is the state that the target reports.
func (l ReportedLoad) State() basillift.TargetState { return l.state }

// HealthTracker joins the endpoints' reports with the results of calls. It is not safe
// for concurrent use.
type HealthTracker struct {
	load        ReportedLoad
	healthy     bool
	failed      int
	broken      int
	slow        int
	hold        time.Duration
	holdUntil   time.Time
	lastSuccess time.Time
	lastEvent   time.Time
	draining    bool
}

// NewHealthTracker returns a tracker of a target that has not been asked yet.
func NewHealthTracker() *HealthTracker { return &HealthTracker{hold: holdMin} }

// Health takes the result of a health check and returns the target's state.
func (j *HealthTracker) Health(now time.Time, ok bool) basillift.TargetState {
	j.notice(now)
	if !ok {
		j.failed++
		return j.State(now)
	}
	j.failed = 0
	if !now.Before(j.holdUntil) {
		j.healthy = true
	}
	return j.State(now)
}

// Load takes a report of the load endpoint. A missing report leaves the last one
// out of account, because it may be of a process that is gone.
func (j *HealthTracker) Load(now time.Time, l ReportedLoad) basillift.TargetState {
	j.notice(now)
	j.load = l
	return j.State(now)
}

// Call takes the result of a call to the target.
func (j *HealthTracker) Call(now time.Time, r blroute.Result) basillift.TargetState {
	switch r {
	case blroute.ResultConnectFailed, blroute.ResultCrashed:
		j.broken++
	case blroute.ResultSlow:
		j.slow++
	default:
		j.succeed(now)
	}
	if j.broken >= brokenCalls || j.slow >= slowCalls {
		j.holdBack(now)
	}
	return j.State(now)
}

// Drain ends the target's willingness for good.
func (j *HealthTracker) Drain() basillift.TargetState {
	j.draining = true
	return basillift.TargetDraining
}

// State is the target's state by everything that is known.
func (j *HealthTracker) State(now time.Time) basillift.TargetState {
	switch {
	case j.draining, j.load.state == basillift.TargetDraining:
		return basillift.TargetDraining
	case !j.healthy, now.Before(j.holdUntil):
		return basillift.TargetStarting
	case j.failed >= failedPolls && now.Sub(j.lastSuccess) > believeCalls:
		return basillift.TargetStarting
	case j.load.state == basillift.TargetShedding:
		return basillift.TargetShedding
	case j.load.state == basillift.TargetStarting && now.Sub(j.lastSuccess) > believeCalls:
		return basillift.TargetStarting
	default:
		return basillift.TargetReady
	}
}

// succeed counts any answer, also an error that the target itself reports.
func (j *HealthTracker) succeed(now time.Time) {
	j.broken, j.slow = 0, 0
	j.lastSuccess = now
	if now.Sub(j.holdUntil) > trustAfter {
		j.hold = holdMin
	}
}

// holdBack stops calls for a time and asks for a fresh health check after it.
// Results of calls that were sent before do not prolong it.
func (j *HealthTracker) holdBack(now time.Time) {
	j.broken, j.slow = 0, 0
	if now.Before(j.holdUntil) {
		return
	}
	j.healthy = false
	j.lastSuccess = time.Time{}
	j.holdUntil = now.Add(j.hold)
	j.hold = min(2*j.hold, holdMax)
}

// notice asks for a fresh health check after a pause, in which the target may
// have changed unseen.
func (j *HealthTracker) notice(now time.Time) {
	if !j.lastEvent.IsZero() && now.Sub(j.lastEvent) > pauseLimit {
		j.healthy = false
		j.lastSuccess = time.Time{}
	}
	j.lastEvent = now
}
