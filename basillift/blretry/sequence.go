package blretry

import "time"

// maxRefusals is how many targets may refuse a request before the caller gets the refusal. Each refusal costs a round
// trip, but the request does not run.
const maxRefusals = 4

// AttemptResult is the result of an attempt at one target, on which the next action depends.
type AttemptResult string

// Results of an attempt.
const (
	// AttemptAnswered means that a target sent an answer, which is forwarded to the caller.
	AttemptAnswered AttemptResult = "answered"
	// AttemptRefused means that a daemon refused the request before a target saw it.
	AttemptRefused AttemptResult = "refused"
	// AttemptShed means that a target received the request and reported that it did not run it.
	AttemptShed AttemptResult = "shed"
	// AttemptUnreachable means that no byte of the request was sent.
	AttemptUnreachable AttemptResult = "unreachable"
	// AttemptFailed means that a target ran the request and answered with a failure.
	AttemptFailed AttemptResult = "failed"
	// AttemptBroken means that the result is unknown: the request may have run.
	AttemptBroken AttemptResult = "broken"
	// AttemptNoTarget means that there was no target left to try.
	AttemptNoTarget AttemptResult = "no-target"
)

// MayHaveRun reports whether the request may have run in this attempt.
func (r AttemptResult) MayHaveRun() bool {
	return r == AttemptAnswered || r == AttemptFailed || r == AttemptBroken
}

// MayHaveReachedTarget reports whether the target may have received the request.
func (r AttemptResult) MayHaveReachedTarget() bool { return r.MayHaveRun() || r == AttemptShed }

// NextAction is the action after an attempt.
type NextAction string

// Actions after an attempt.
const (
	// ActionRetry sends the request to another target.
	ActionRetry NextAction = "again"
	// ActionForwardAnswer forwards the target's answer to the caller.
	ActionForwardAnswer NextAction = "answer"
	// ActionReportNotRun reports to the caller that the request did not run.
	ActionReportNotRun NextAction = "not-run"
	// ActionReportUnknown reports to the caller that the outcome is unknown.
	ActionReportUnknown NextAction = "unknown"
)

// AttemptSequence tracks the attempts of one request and decides on retries. It is not safe for concurrent use.
type AttemptSequence struct {
	repeatable     bool
	maxAttempts    int
	deadline       time.Time
	targetsReached int
	refusals       int
	mayHaveRun     bool
}

// NewAttemptSequence returns the sequence of a request that may reach up to maxAttempts targets until the deadline.
// A repeatable request may run more than once.
func NewAttemptSequence(repeatable bool, maxAttempts int, deadline time.Time) *AttemptSequence {
	return &AttemptSequence{repeatable: repeatable, maxAttempts: maxAttempts, deadline: deadline}
}

// MayHaveRun reports whether the request may have run in any attempt so far.
func (s *AttemptSequence) MayHaveRun() bool { return s.mayHaveRun }

// MayAskLate reports whether the request may make one more attempt, which asks for a late place: no target has received it, and
// there is time left.
func (s *AttemptSequence) MayAskLate(now time.Time) bool {
	return s.targetsReached == 0 && !now.Add(minRemaining).After(s.deadline)
}

// Next decides on the action after an attempt. canResend is false if the body cannot be sent again. takeRetry takes a
// retry from the allowance; it is called only if nothing else rules out a retry and a target may have received the
// request.
func (s *AttemptSequence) Next(now time.Time, result AttemptResult, canResend bool, takeRetry func() bool) NextAction {
	if result.MayHaveReachedTarget() {
		s.targetsReached++
	}
	s.mayHaveRun = s.mayHaveRun || result.MayHaveRun()
	if result == AttemptAnswered {
		return ActionForwardAnswer
	}
	if result == AttemptRefused || result == AttemptUnreachable {
		s.refusals++
	}
	if canResend && result != AttemptNoTarget && s.retryAllowed(now, result) && (s.targetsReached == 0 || takeRetry()) {
		return ActionRetry
	}
	switch {
	case result == AttemptFailed:
		return ActionForwardAnswer
	case s.mayHaveRun:
		return ActionReportUnknown
	default:
		return ActionReportNotRun
	}
}

// retryAllowed reports whether another attempt is allowed, regardless of the allowance.
func (s *AttemptSequence) retryAllowed(now time.Time, result AttemptResult) bool {
	switch {
	case s.mayHaveRun && !s.repeatable:
		return false
	case s.targetsReached >= s.maxAttempts || s.refusals >= maxRefusals:
		return false
	default:
		return !now.Add(minRemaining).After(s.deadline)
	}
}
