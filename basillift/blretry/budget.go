package blretry

import (
	"math/rand"
	"time"
)

const (
	// maxRetries is the maximum number of attempts after the first.
	maxRetries = 2
	// retryRatio is the share of calls that may be retried.
	retryRatio = 0.1
	// maxTokens is the capacity of the token bucket. The bucket starts full, so that a daemon with little traffic
	// can retry too.
	maxTokens = 10
	// baseDelay and maxDelay bound the exponential backoff with full jitter. Its upper bound doubles with each attempt.
	baseDelay = 10 * time.Millisecond
	maxDelay  = 250 * time.Millisecond
	// minRemaining is the minimum time until the deadline for which a retry is still sent.
	minRemaining = 5 * time.Millisecond
)

// Budget is a token bucket of retries. Each call adds a tenth of a token and each retry takes one. It is not safe for
// concurrent use.
type Budget struct {
	rnd    *rand.Rand
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(rnd *rand.Rand) *Budget { return &Budget{rnd: rnd, tokens: maxTokens} }

// RecordCall adds the share of one call to the budget. Retries add nothing.
func (b *Budget) RecordCall(time.Time) { b.tokens = min(maxTokens, b.tokens+retryRatio) }

// Tokens is the number of retries, possibly fractional, that the budget allows now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Decide decides whether a failed attempt is retried, and takes a token if it is. Without a retry the call's outcome
// is final.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	if reason := a.noRetryReason(); reason != "" {
		return Decision{reason: reason}
	}
	delay := b.jitter(a)
	if now.Add(delay + minRemaining).After(a.deadline) {
		return Decision{reason: RetryReasonDeadline}
	}
	if b.tokens < 1 {
		return Decision{reason: RetryReasonBudget}
	}
	b.tokens--
	return Decision{delay: delay, reason: RetryReasonNone}
}

// noRetryReason returns why an attempt must not be retried regardless of the budget, or "" if it may be.
func (a Attempt) noRetryReason() RetryReason {
	switch {
	case a.callerGone:
		return RetryReasonCallerGone
	case a.depth > 0:
		return RetryReasonDepth
	case a.number >= maxRetries:
		return RetryReasonAttempts
	case !a.safe():
		return RetryReasonUnsafe
	case a.bodySent:
		return RetryReasonBody
	case !a.transient():
		return RetryReasonPermanent
	default:
		return ""
	}
}

// jitter returns a random delay over the whole backoff interval, so that the callers of a failed target do not all
// retry at the same time. The delay that the target asked for is added as the minimum.
func (b *Budget) jitter(a Attempt) time.Duration {
	limit := min(maxDelay, baseDelay<<min(a.number, 8))
	return a.retryAfter + time.Duration(b.rnd.Int63n(int64(limit)))
}
