package blwarmup

import (
	"time"

	"basillift.dev/basillift"
)

// entryLag is how old the content of a registry entry may be when it arrives. Targets write every 1.5 s, and the registry shows a
// write after up to 0.8 s. It has to be less than a usual warm-up of 3 s, so that a whole further one is noticed in any case.
const entryLag = 2300 * time.Millisecond

// Cause says why the state of a target is unknown.
type Cause string

// The causes of an unknown state.
const (
	// CauseNone means that the state is known.
	CauseNone Cause = "none"
	// CauseStart means that the daemon has started, or that the service has got a cold start.
	CauseStart Cause = "start"
	// CauseRefused means that the target refused a connection.
	CauseRefused Cause = "connection-refused"
	// CauseBroken means that a connection to the target broke before an answer. The target may have ended.
	CauseBroken Cause = "connection-broken"
	// CauseNewRun means that the registry has an entry of a new run of the target.
	CauseNewRun Cause = "new-run"
	// CauseEvacuation means that an evacuation of the failure domain has ended.
	CauseEvacuation Cause = "evacuation-ended"
)

// State is what is known of the VM's own target.
type State struct {
	warmup    time.Duration
	perSecond float64
	limited   bool
	// checkable is set if the service has a path for health checks.
	checkable bool

	// cause is CauseNone while the state is known.
	cause        Cause
	unknownSince time.Time
	// brokenSince is the earliest time at which one of the broken connections had been used before, if cause is CauseBroken.
	brokenSince time.Time
	// olderConnectionsAsked is set once it was found that no idle connection has outlived the broken one. One that was in use may still do so.
	olderConnectionsAsked bool
	// reachableSince is when the target was first reachable since the state became unknown; zero if it was not.
	reachableSince time.Time
	// coldUntil is the end of the last known cold phase.
	coldUntil time.Time
	// fromEntry is set if coldUntil comes from an entry, which is inexact, and not from a health answer.
	fromEntry bool
	// describedAt is a time at which the target ran whose state was last known, and describedInstance its instance, or empty.
	describedAt       time.Time
	describedInstance string

	// entry is the last entry of the target, if entryKnown is set.
	entry      basillift.Endpoint
	entryKnown bool
	// restartExpected is set if the target may have started since the entry was written.
	restartExpected bool

	checks        checkSchedule
	evacuated     bool
	evacuationEnd time.Time
}

// New returns the state for a daemon that has just started. It doesn't know its target.
func New(now time.Time) *State {
	s := &State{cause: CauseStart, unknownSince: now, restartExpected: true}
	s.checks.restart(now)
	return s
}

// Limit is the rate limit of a target that is or may be cold.
type Limit struct {
	perSecond float64
	until     time.Time
	cause     Cause
}

// Active reports whether there is a limit.
func (l Limit) Active() bool { return l.perSecond > 0 }

// PerSecond is how many requests per second the target may get.
func (l Limit) PerSecond() float64 { return l.perSecond }

// Until is when the limit ends unless an observation changes that.
func (l Limit) Until() time.Time { return l.until }

// Cause says why it is not known whether the target is cold; CauseNone if it is known to be cold.
func (l Limit) Cause() Cause { return l.cause }

// Limit returns the rate limit that holds now.
func (s *State) Limit(now time.Time) Limit {
	s.expire(now)
	switch {
	case !s.limited:
		return Limit{}
	case s.cause != CauseNone:
		return Limit{perSecond: s.perSecond, until: later(s.coldUntil, s.unknownUntil(now)), cause: s.cause}
	case now.Before(s.coldUntil):
		return Limit{perSecond: s.perSecond, until: s.coldUntil, cause: CauseNone}
	}
	return Limit{}
}

// NextChange returns when Limit or CheckDue changes unless there is an observation; false if they stay.
func (s *State) NextChange(now time.Time) (at time.Time, known bool) {
	limit := s.Limit(now)
	if !limit.Active() {
		return time.Time{}, false
	}
	at = limit.Until()
	if s.mayCheck() && s.checks.at.Before(at) {
		at = s.checks.at
	}
	if s.AwaitsOlderConnections() {
		at = s.unknownSince.Add(olderConnectionsDelay)
	}
	return at, true
}

// unknownUntil is when an unknown state ends without a health answer. A target that is reachable for a whole warm-up has
// started before.
func (s *State) unknownUntil(now time.Time) time.Time {
	if s.reachableSince.IsZero() {
		return now.Add(s.warmup)
	}
	return s.reachableSince.Add(s.warmup)
}

// expire ends an unknown state whose time is over.
func (s *State) expire(now time.Time) {
	if s.limited && s.cause != CauseNone && !s.reachableSince.IsZero() && !now.Before(s.unknownUntil(now)) {
		s.cause, s.describedAt, s.describedInstance = CauseNone, s.reachableSince, ""
	}
}

// becomeUnknown records that the target may have started again. Requests that are sent from now on tell whether it is reachable.
func (s *State) becomeUnknown(now time.Time, c Cause) {
	s.expire(now)
	previous := s.cause
	s.unknownSince, s.reachableSince, s.restartExpected, s.olderConnectionsAsked = now, time.Time{}, true, false
	switch {
	case c == CauseBroken && previous == CauseNone:
		s.cause = c
		s.checks.postpone(now, s.warmup)
	case c == CauseBroken:
		// The checks for the earlier cause go on.
	case c == CauseRefused && previous != CauseNone && previous != CauseBroken:
		// The delay between the checks goes on to grow.
	case c == CauseRefused:
		s.cause = c
		s.checks.restart(now.Add(minCheckDelay))
	default:
		s.cause = c
		s.checks.restart(now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
