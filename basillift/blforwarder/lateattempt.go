package blforwarder

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blfleet"
)

// returnFraction is the largest share of the time left to a caller that a refusal tells it to wait. Callers come back after
// that share at the latest, whatever the refusal says.
const returnFraction = 3

// lateAttempt is the last attempt of a request that no target took in time: it asks for a late place, at the target whose
// refusal promised the earliest start.
type lateAttempt struct {
	instance string
	// asked is set once the attempt is decided on, and due until it begins.
	asked, due bool
}

// observe records the target with the earliest promised start, if it refused the request for overload.
func (l *lateAttempt) observe(instance string, refusal *answer) {
	if refusal.reason == basillift.ReasonOverload {
		l.instance = instance
	}
}

// askLate decides whether a request whose last attempt had this answer asks for a late place. It does so once, if its route has
// a latency objective, the request can be sent again and a target refused it for overload. Nested calls get no late places.
func (rr *routedRequest) askLate(last *answer) bool {
	overloaded := last.outcome == basillift.OutcomeNotRun && last.reason == basillift.ReasonOverload && rr.late.instance != ""
	if !overloaded || rr.late.asked || rr.nestedCall || rr.route.LatencyObjective() == 0 || !rr.request.buffered() {
		return false
	}
	rr.late.asked, rr.late.due, rr.metadata.lateAllowed = true, true, true
	return true
}

// chooseTarget chooses the target of the next attempt; false if there is none.
func (c *callerSide) chooseTarget(now time.Time, rr *routedRequest, query blbalance.Request) (*blfleet.Target, bool) {
	targets := c.forwarder.fleet.Targets(rr.service)
	if !rr.late.due {
		return c.forwarder.balancer.Choose(now, targets, rr.triedInstances, query)
	}
	rr.late.due = false
	for _, t := range targets {
		if t.Endpoint().Instance() == rr.late.instance {
			_, leaving := c.forwarder.advisories.Leaving(t.Endpoint())
			return t, !leaving
		}
	}
	return nil, false
}

// retryAfter is when the caller of a refused request should come back: when a target promised a start, but never later than
// the caller comes back anyway.
func (c *callerSide) retryAfter(now time.Time, rr *routedRequest) time.Duration {
	wait := defaultRetryAfter
	if rr.earliestRetryAfter > 0 {
		wait = rr.earliestRetryAfter
	}
	if left := rr.callerDeadline.Sub(now); left > 0 {
		wait = min(wait, left/returnFraction)
	}
	return wait
}

// balancerLoad is the load report of an answer for the balancer, which learns from it how long requests of the route take at an
// idle target. An answer from a late place has none: late places do not count as queued, but the wait there is long.
func balancerLoad(a *answer) *basillift.Load {
	if a.admission == admissionLate {
		return nil
	}
	return a.load
}
