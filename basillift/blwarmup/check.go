package blwarmup

import "time"

// The delay between two health checks doubles with each failure, between these bounds. The least is a few answers of a fast
// target. The greatest leaves several checks within a usual warm-up.
const (
	minCheckDelay = 50 * time.Millisecond
	maxCheckDelay = time.Second
)

// HealthResult is the result of a health check.
type HealthResult string

// The results of a health check.
const (
	// HealthKnown means that the answer says how long the target stays cold.
	HealthKnown HealthResult = "known"
	// HealthNoHeader means that the answer is that of a healthy target, but names neither a valid time nor an instance.
	HealthNoHeader HealthResult = "no-header"
	// HealthOtherInstance means that another instance answered than the one of the registry's entry.
	HealthOtherInstance HealthResult = "other-instance"
	// HealthFailed means that the target was reached, and refused the check or did not answer it in time.
	HealthFailed HealthResult = "failed"
	// HealthUnreachable means that no connection to the target could be opened.
	HealthUnreachable HealthResult = "unreachable"
	// HealthRefused means that the target refused the connection.
	HealthRefused HealthResult = "refused"
	// HealthStale means that the state became unknown once more after the check had begun, so that its answer may come from
	// an earlier run.
	HealthStale HealthResult = "stale"
)

// HealthAnswer is the answer to a health check, or why there is none.
type HealthAnswer struct {
	result   HealthResult
	instance string
	coldFor  time.Duration
}

// NewHealthAnswer returns the answer of an instance that says how long it stays cold.
func NewHealthAnswer(instance string, coldFor time.Duration) HealthAnswer {
	return HealthAnswer{result: HealthKnown, instance: instance, coldFor: coldFor}
}

// NewHealthFailure returns the result of a check whose answer does not say how long the target stays cold.
func NewHealthFailure(r HealthResult) HealthAnswer { return HealthAnswer{result: r} }

// Check is a health check that was begun.
type Check struct{ startedAt time.Time }

// checkSchedule says when the next health check is due.
type checkSchedule struct {
	at       time.Time
	failures int
	pending  bool
	// lastForBroken is when a check was last begun because of a broken connection alone.
	lastForBroken time.Time
}

// restart makes a check due at a time, and later ones after the least delay again.
func (c *checkSchedule) restart(at time.Time) { c.at, c.failures = at, 0 }

// postpone makes a check due that is needed because of a broken connection: at most one within a warm-up.
func (c *checkSchedule) postpone(now time.Time, warmup time.Duration) {
	c.restart(now.Add(olderConnectionsDelay))
	if !c.lastForBroken.IsZero() {
		c.at = later(c.at, c.lastForBroken.Add(warmup))
	}
}

// fail makes the next check due after a delay.
func (c *checkSchedule) fail(now time.Time, leastDelay time.Duration) {
	c.at = now.Add(max(leastDelay, min(maxCheckDelay, minCheckDelay<<min(c.failures, 8))))
	c.failures++
}

// mayCheck reports whether health checks may be sent at all.
func (s *State) mayCheck() bool {
	return s.limited && s.checkable && s.cause != CauseNone && !s.evacuated && !s.checks.pending
}

// CheckDue reports whether a health check has to be sent now.
func (s *State) CheckDue(now time.Time) bool {
	s.expire(now)
	return s.mayCheck() && !now.Before(s.checks.at)
}

// StartCheck records that a health check is sent. EndCheck must follow.
func (s *State) StartCheck(now time.Time) Check {
	s.checks.pending, s.checks.at = true, now.Add(minCheckDelay)
	if s.cause == CauseBroken {
		s.checks.lastForBroken, s.checks.at = now, now.Add(s.warmup)
	}
	return Check{startedAt: now}
}

// EndCheck records the answer to a health check, and returns what it was worth.
func (s *State) EndCheck(now time.Time, c Check, a HealthAnswer) HealthResult {
	s.checks.pending = false
	s.expire(now)
	if s.cause == CauseNone || c.startedAt.Before(s.unknownSince) {
		return HealthStale
	}
	if a.result == HealthKnown && s.entryKnown && a.instance != s.entry.Instance() {
		a.result = HealthOtherInstance
	}
	switch a.result {
	case HealthKnown:
		s.cause, s.describedAt, s.describedInstance = CauseNone, c.startedAt, a.instance
		s.coldUntil, s.fromEntry = now.Add(a.coldFor), false
	case HealthRefused:
		s.becomeUnknown(now, CauseRefused)
		s.checks.fail(now, minCheckDelay)
	case HealthUnreachable:
		s.checks.fail(now, minCheckDelay)
	case HealthNoHeader, HealthOtherInstance:
		// The next answer will say the same.
		s.endFailedCheck(now, maxCheckDelay)
	default:
		s.endFailedCheck(now, minCheckDelay)
	}
	return a.result
}

// endFailedCheck records that the target was reached, and when the next check is due.
func (s *State) endFailedCheck(now time.Time, leastDelay time.Duration) {
	if s.reachableSince.IsZero() {
		s.reachableSince = now
	}
	if s.cause == CauseBroken {
		leastDelay = max(leastDelay, s.checks.lastForBroken.Add(s.warmup).Sub(now))
	}
	s.checks.fail(now, leastDelay)
}
