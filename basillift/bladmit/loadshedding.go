package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

// refuse appends the refusal of a request to the actions and returns all of them.
func (q *Queue) refuse(id uint64, r basillift.Reason, waited time.Duration) []Action {
	q.actions = append(q.actions, Action{
		kind: ActionRefuse, id: id, reason: r, waited: waited,
		retryAfter: seconds(float64(q.waiting+1) * q.slotIntervalSeconds()),
	})
	return q.actions
}

// refuseWaiting refuses a waiting entry.
func (q *Queue) refuseWaiting(now time.Time, e *entry, r basillift.Reason) {
	id, waited := e.request.id, now.Sub(e.arrived)
	q.removeWaiting(e)
	q.refuse(id, r, waited)
}

// slotIntervalSeconds is the mean time between two slots becoming free.
func (q *Queue) slotIntervalSeconds() float64 {
	return q.meanServiceSeconds / float64(q.settings.Slots())
}

// expectedDelay estimates the queueing delay of a new request of the flow, which may be
// nil. All requests of better classes go first. Within the class, each other backlogged
// customer runs one request for each one of this customer, up to the number that wait.
func (q *Queue) expectedDelay(c *class, f *flow) time.Duration {
	if q.running < q.settings.Slots() {
		return 0
	}
	ahead := 0
	for i := range q.classes {
		if &q.classes[i] == c {
			break
		}
		ahead += q.classes[i].waiting
	}
	own, others := 0, len(c.backlogged)
	if f != nil {
		own = len(f.waiting)
	}
	if own > 0 {
		others--
	}
	ahead += own + min(c.waiting-own, (own+1)*others)
	return seconds(float64(ahead+1) * q.slotIntervalSeconds())
}

// refusalOnArrival returns ReasonDeadline if a new request cannot end before its
// deadline, and ReasonNone otherwise.
func (q *Queue) refusalOnArrival(now time.Time, r Request, f *flow) basillift.Reason {
	remaining := r.deadline.Sub(now)
	if remaining <= 0 || remaining < q.expectedDelay(f.class, f)+seconds(q.minServiceSeconds) {
		return basillift.ReasonDeadline
	}
	return basillift.ReasonNone
}

// refusalWhileWaiting returns the reason to refuse a waiting request: it can no longer end
// before its deadline, or it has waited too long. It returns ReasonNone otherwise.
func (q *Queue) refusalWhileWaiting(now time.Time, e *entry) basillift.Reason {
	if now.Add(seconds(q.minServiceSeconds)).After(e.request.deadline) {
		return basillift.ReasonDeadline
	}
	if now.Sub(e.arrived) > q.maxWait(now, e.flow) {
		return basillift.ReasonOverload
	}
	return basillift.ReasonNone
}

// maxWait is how long a request of the flow may wait: delayInterval for a burst, and
// maxStandingDelay once the flow has been backlogged without interruption for that
// interval. Neither is shorter than twice the mean time between two slots becoming free;
// otherwise a target with a long service time would refuse all that wait.
func (q *Queue) maxWait(now time.Time, f *flow) time.Duration {
	standingDelay := max(maxStandingDelay, 2*seconds(q.slotIntervalSeconds()))
	interval := max(delayInterval, 2*standingDelay)
	if now.Sub(f.backloggedSince) > interval {
		return standingDelay
	}
	return interval
}

// refuseOverdue refuses the waiting requests of a flow that can no longer end before their
// deadline or have waited too long.
func (q *Queue) refuseOverdue(now time.Time, f *flow) {
	for i := len(f.waiting) - 1; i >= 0; i-- {
		if i >= len(f.waiting) {
			continue
		}
		e := f.waiting[i]
		if reason := q.refusalWhileWaiting(now, e); reason != basillift.ReasonNone {
			q.refuseWaiting(now, e, reason)
		}
	}
}

// makeRoom refuses a waiting request in favour of a new one of the flow and reports
// whether there was such a request. It selects one of the customer with the most waiting
// requests in the lowest class that has any, unless that class is better than the new
// request's. If it is the same class, the customer must have more waiting requests than
// the flow would have.
func (q *Queue) makeRoom(now time.Time, c *class, f *flow) bool {
	lowest := c
	for i := range q.classes {
		if q.classes[i].waiting > 0 {
			lowest = &q.classes[i]
		}
	}
	if q.rank(lowest) < q.rank(c) {
		return false
	}
	longest := lowest.longest()
	if longest == nil || lowest == c && len(longest.waiting) <= len(f.waiting)+1 {
		return false
	}
	q.refuseWaiting(now, longest.waiting.latest(), basillift.ReasonOverload)
	return true
}

func (q *Queue) rank(c *class) int {
	for i := range q.classes {
		if &q.classes[i] == c {
			return i
		}
	}
	return len(q.classes)
}
