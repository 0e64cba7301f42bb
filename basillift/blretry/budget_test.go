package blretry

import (
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newBudget() *Budget { return NewBudget(rand.New(rand.NewSource(1))) }

func attempt(number, depth int, o basillift.Outcome) Attempt {
	return NewAttempt(number, depth, o, basillift.ReasonTarget, epoch.Add(10*time.Second))
}

// Guards against retries that amplify load or run a request twice.
func TestDecide(t *testing.T) {
	notRun, unknown := basillift.OutcomeNotRun, basillift.OutcomeUnknown
	late := NewAttempt(0, 0, notRun, basillift.ReasonTarget, epoch.Add(time.Millisecond))
	cases := []struct {
		name    string
		attempt Attempt
		want    RetryReason
	}{
		{"not run", attempt(0, 0, notRun), RetryReasonNone},
		{"second retry", attempt(1, 0, notRun), RetryReasonNone},
		{"third retry", attempt(2, 0, notRun), RetryReasonAttempts},
		{"deeper in the chain", attempt(0, 1, notRun), RetryReasonDepth},
		{"caller gone", attempt(0, 0, notRun).WithCallerGone(true), RetryReasonCallerGone},
		{"unknown, idempotent", attempt(0, 0, unknown).WithIdempotent(true), RetryReasonNone},
		{"unknown, not idempotent", attempt(0, 0, unknown), RetryReasonUnsafe},
		{"unknown, keyed", attempt(0, 0, unknown).WithIdempotent(true).WithKeyed(true), RetryReasonUnsafe},
		{"not run, keyed", attempt(0, 0, notRun).WithKeyed(true), RetryReasonNone},
		{"done", attempt(0, 0, basillift.OutcomeDone).WithIdempotent(true), RetryReasonUnsafe},
		{"body consumed", attempt(0, 0, notRun).WithBodySent(true), RetryReasonBody},
		{"customer's own limit", NewAttempt(0, 0, notRun, basillift.ReasonRate, epoch.Add(time.Second)), RetryReasonPermanent},
		{"deadline", late, RetryReasonDeadline},
		{"target asked to wait too long", attempt(0, 0, notRun).WithRetryAfter(time.Minute), RetryReasonDeadline},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(newBudget().Decide(epoch, tc.attempt).Reason(), tc.want)
		})
	}
}

// Guards against retries that double the load in an outage. They must stay at 10% of the calls.
func TestBudget(t *testing.T) {
	b, retries := newBudget(), 0
	for range 10_000 {
		b.RecordCall(epoch)
		for n := 0; b.Decide(epoch, attempt(n, 0, basillift.OutcomeNotRun)).Retry(); n++ {
			retries++
		}
	}
	is.New(t).True(retries <= 1010)
	is.New(t).True(retries >= 990)
}

// Guards against callers that retry at the same time.
func TestJitter(t *testing.T) {
	seen := make(map[time.Duration]bool)
	b := newBudget()
	for range 100 {
		b.tokens = maxTokens
		d := b.Decide(epoch, attempt(1, 0, basillift.OutcomeNotRun)).Delay()
		is.New(t).True(d >= 0 && d < 2*baseDelay)
		seen[d] = true
	}
	is.New(t).True(len(seen) > 90)
}
