package blretry

import (
	"math/rand"
	"time"
)

const (
	// furtherTries is the most attempts after the first.
	furtherTries = 2
	// share is the part of calls that may be sent again.
	share = 0.1
	// burst bounds the unused tokens; it is also the start balance, so that a
	// daemon with little traffic can retry at all.
	burst = 10
	// baseDelay and maxDelay bound the full jitter, which doubles with each try.
	baseDelay = 10 * time.Millisecond
	maxDelay  = 250 * time.Millisecond
	// minRemaining is the least time a further try needs to be worth sending.
	minRemaining = 5 * time.Millisecond
)

// Budget is a token bucket that each call fills by a tenth of a retry. It is not
// safe for concurrent use.
type Budget struct {
	rnd    *rand.Rand
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(rnd *rand.Rand) *Budget { return &Budget{rnd: rnd, tokens: burst} }

// RecordCall adds the share of one first attempt to the budget. Further tries add nothing.
func (b *Budget) RecordCall(time.Time) { b.tokens = min(burst, b.tokens+share) }

// Tokens is the number of retries that the budget allows now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Decide says whether a failed attempt is followed by another one and takes its
// token. The call's outcome is final when it isn't.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	if why := a.refuse(); why != "" {
		return Decision{reason: why}
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

// refuse returns why an attempt may not be followed by another whatever the budget.
func (a Attempt) refuse() RetryReason {
	switch {
	case a.callerGone:
		return RetryReasonCallerGone
	case a.depth > 0:
		return RetryReasonDepth
	case a.number >= furtherTries:
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

// jitter spreads the tries over the whole interval, so that the callers of a
// target that failed do not come back at once. The wait that a target asked for
// is the least.
func (b *Budget) jitter(a Attempt) time.Duration {
	limit := min(maxDelay, baseDelay<<min(a.number, 8))
	return a.retryAfter + time.Duration(b.rnd.Int63n(int64(limit)))
}
