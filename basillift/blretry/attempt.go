package blretry

import (
	"net/http"
	"time"

	"basillift.dev/basillift"
)

// Idempotent reports whether HTTP defines the method as idempotent, so that the request may run twice. It is false for
// TRACE, which HTTP defines as idempotent too.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// Attempt describes a failed attempt at a call, as the input of a retry decision.
type Attempt struct {
	number     int
	depth      int
	outcome    basillift.Outcome
	reason     basillift.Reason
	deadline   time.Time
	idempotent bool
	keyed      bool
	callerGone bool
	bodySent   bool
	retryAfter time.Duration
}

// NewAttempt returns an attempt. The number of the first attempt is 0. The depth is the position of this daemon in the
// call chain, 0 for the first caller's daemon.
func NewAttempt(number, depth int, o basillift.Outcome, r basillift.Reason, deadline time.Time) Attempt {
	return Attempt{number: number, depth: depth, outcome: o, reason: r, deadline: deadline}
}

// WithIdempotent returns a copy that says whether the request may run twice.
func (a Attempt) WithIdempotent(idempotent bool) Attempt {
	a.idempotent = idempotent
	return a
}

// WithKeyed returns a copy that says whether the request carries an idempotency key.
func (a Attempt) WithKeyed(keyed bool) Attempt {
	a.keyed = keyed
	return a
}

// WithCallerGone returns a copy that says whether the caller closed its connection.
func (a Attempt) WithCallerGone(gone bool) Attempt {
	a.callerGone = gone
	return a
}

// WithBodySent returns a copy that says whether a streamed body has been read, in part or whole, and can't be sent
// again.
func (a Attempt) WithBodySent(sent bool) Attempt {
	a.bodySent = sent
	return a
}

// WithRetryAfter returns a copy with the minimum delay that the target asked for.
func (a Attempt) WithRetryAfter(d time.Duration) Attempt {
	a.retryAfter = d
	return a
}

// safe reports whether a retry is safe: the request did not run, or it may run twice. A keyed request is retried only
// if it did not run.
func (a Attempt) safe() bool {
	if a.outcome == basillift.OutcomeNotRun {
		return true
	}
	return a.outcome == basillift.OutcomeUnknown && a.idempotent && !a.keyed
}

// transient reports whether another target may accept the request that this one refused.
func (a Attempt) transient() bool {
	switch a.reason {
	case basillift.ReasonOverload, basillift.ReasonDraining, basillift.ReasonTarget,
		basillift.ReasonConnectFailed, basillift.ReasonNoTarget, basillift.ReasonDeadline,
		basillift.ReasonNoVersion:
		return true
	default:
		return false
	}
}

// RetryReason is the reason for a Decision. Each reason except RetryReasonNone rules out a retry.
type RetryReason string

// Reasons for a decision.
const (
	RetryReasonNone       RetryReason = "retry"
	RetryReasonDepth      RetryReason = "depth"
	RetryReasonAttempts   RetryReason = "tries"
	RetryReasonCallerGone RetryReason = "caller-gone"
	RetryReasonUnsafe     RetryReason = "unsafe"
	RetryReasonBody       RetryReason = "body-sent"
	RetryReasonPermanent  RetryReason = "permanent"
	RetryReasonDeadline   RetryReason = "deadline"
	RetryReasonBudget     RetryReason = "budget"
)

// Decision says whether and when to retry.
type Decision struct {
	delay  time.Duration
	reason RetryReason
}

// Retry reports whether to send the request again.
func (d Decision) Retry() bool { return d.reason == RetryReasonNone }

// Delay is the backoff before the retry.
func (d Decision) Delay() time.Duration { return d.delay }

// Reason is RetryReasonNone for a retry and otherwise says why there is none.
func (d Decision) Reason() RetryReason { return d.reason }
