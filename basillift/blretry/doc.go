// Package blretry decides whether a failed attempt at a call is followed by another one. It has a Budget for the calls
// that blproxy sends, and an AttemptSequence and an Allowance for the requests that blforwarder routes.
//
// With a Budget, only the first caller's daemon of a call chain (depth 0) retries. With retries at each layer, one
// failure at the bottom of a chain of depth n costs up to 3^n calls. Retries are taken from a budget of 10% of the
// calls, so that a full outage adds at most 10% load. A request that is not idempotent, or that carries an idempotency
// key, is retried only after "not run".
//
// An AttemptSequence tracks the attempts of one request. A request that a target may have received is retried only
// with a retry from the Allowance, which keeps the retries of all daemons together within a bound.
//
// # Usage
//
// Keep one Budget for each service, so that an outage of one service does not use up the retries of the others:
//
//	budget := blretry.NewBudget(rnd)
//	budget.RecordCall(now)
//	decision := budget.Decide(now, blretry.NewAttempt(0, 0, outcome, reason, deadline).WithIdempotent(true))
//	if decision.Retry() {
//		wait(decision.Delay())
//	}
package blretry
