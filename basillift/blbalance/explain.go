package blbalance

import (
	"fmt"
	"time"

	"basillift.dev/basillift/blfleet"
)

// Explain describes the observed state of a target and its cost for a request, in one line for operators.
func (b *Balancer) Explain(now time.Time, t *blfleet.Target, request Request) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := t.Endpoint()
	state := b.state(now, e.Instance())
	status := "usable"
	if b.paused(now, e) {
		status = "paused"
	}
	if _, leaving := b.advisories.Leaving(e); leaving {
		status = "leaving"
	}
	if perSecond, limited := b.advisories.Limit(now, e); limited {
		status += fmt.Sprintf(", accepts %.3g requests per second", perSecond)
	}
	if perSecond, limited := b.coldLimit(now, t, state); limited {
		status += fmt.Sprintf(", cold, gets %.3g requests per second", perSecond)
	}
	report := "no load report"
	if !state.reportedAt.IsZero() {
		report = fmt.Sprintf("%d running and %d queued on %d slots, mean service time %s, reported %s ago", state.load.Running(), state.load.Queued(),
			state.load.Slots(), state.load.MeanServiceTime().Round(time.Millisecond), now.Sub(state.reportedAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, in %s, %d in flight from this daemon, failure rate %.2f, %s, cost %.3f",
		status, e.Domain(), state.inFlight, state.failureRate, report, b.cost(now, t, request))
}
