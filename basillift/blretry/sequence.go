package blretry

import "time"

// refusalsMost is how many targets may refuse one request before it goes back to its caller. Each
// costs a round trip but no run.
const refusalsMost = 4

// AttemptResult says how an attempt at one target ended, for the decision what follows.
type AttemptResult string

// The endings.
const (
	// AttemptAnswered is an answer of a target that is passed on.
	AttemptAnswered AttemptResult = "answered"
	// AttemptRefused means that a daemon refused the request before a target saw it.
	AttemptRefused AttemptResult = "refused"
	// AttemptShed means that a target saw the request and said that it did not run it.
	AttemptShed AttemptResult = "shed"
	// AttemptUnreachable means that no byte of the request was sent.
	AttemptUnreachable AttemptResult = "unreachable"
	// AttemptFailed is a failure that a target answered after it ran the request.
	AttemptFailed AttemptResult = "failed"
	// AttemptBroken means that nothing is known: the request may have run.
	AttemptBroken AttemptResult = "broken"
	// AttemptNoTarget means that there was nobody left to try.
	AttemptNoTarget AttemptResult = "no-target"
)

// MayHaveRun reports whether the request may have run.
func (e AttemptResult) MayHaveRun() bool {
	return e == AttemptAnswered || e == AttemptFailed || e == AttemptBroken
}

// MayHaveReachedTarget reports whether the target may have seen the request.
func (e AttemptResult) MayHaveReachedTarget() bool { return e.MayHaveRun() || e == AttemptShed }

// NextAction is what follows an attempt.
type NextAction string

// What may follow.
const (
	// ActionRetry sends the request to another target.
	ActionRetry NextAction = "again"
	// ActionForwardAnswer passes on what the target answered.
	ActionForwardAnswer NextAction = "answer"
	// ActionReportNotRun tells the caller that the request did not run.
	ActionReportNotRun NextAction = "not-run"
	// ActionReportUnknown tells the caller that nothing is known.
	ActionReportUnknown NextAction = "unknown"
)

// AttemptSequence is the way of one request through its attempts. It is not safe for concurrent use.
type AttemptSequence struct {
	repeatable bool
	attempts   int
	deadline   time.Time
	arrivals   int
	refusals   int
	ran        bool
}

// NewAttemptSequence returns the attempt sequence of a request that may be sent to so many targets until the deadline.
func NewAttemptSequence(repeatable bool, attempts int, deadline time.Time) *AttemptSequence {
	return &AttemptSequence{repeatable: repeatable, attempts: attempts, deadline: deadline}
}

// MayHaveRun reports whether the request may have run in an attempt so far.
func (c *AttemptSequence) MayHaveRun() bool { return c.ran }

// Next decides what follows an attempt. resend is false when the body cannot be
// sent again; repeat takes a repeat from the allowance and is only asked if it matters.
func (c *AttemptSequence) Next(now time.Time, e AttemptResult, resend bool, repeat func() bool) NextAction {
	if e.MayHaveReachedTarget() {
		c.arrivals++
	}
	c.ran = c.ran || e.MayHaveRun()
	if e == AttemptAnswered {
		return ActionForwardAnswer
	}
	if e == AttemptRefused || e == AttemptUnreachable {
		c.refusals++
	}
	if resend && e != AttemptNoTarget && c.mayFollow(now, e) && (c.arrivals == 0 || repeat()) {
		return ActionRetry
	}
	switch {
	case e == AttemptFailed:
		return ActionForwardAnswer
	case c.ran:
		return ActionReportUnknown
	default:
		return ActionReportNotRun
	}
}

// mayFollow reports whether another attempt is allowed, whatever the allowance.
func (c *AttemptSequence) mayFollow(now time.Time, e AttemptResult) bool {
	switch {
	case c.ran && !c.repeatable:
		return false
	case c.arrivals >= c.attempts || c.refusals >= refusalsMost:
		return false
	default:
		return !now.Add(minRemaining).After(c.deadline)
	}
}
