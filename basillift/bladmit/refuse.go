package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

// refuse adds the refusal of a request and returns all actions.
func (q *Queue) refuse(id uint64, r basillift.Reason, waited time.Duration) []Action {
	q.actions = append(q.actions, Action{
		kind: ActionRefuse, id: id, reason: r, waited: waited,
		retryAfter: seconds(float64(q.waiting+1) * q.gap()),
	})
	return q.actions
}

// refuseWaiting refuses an entry that is in the queue.
func (q *Queue) refuseWaiting(now time.Time, e *entry, r basillift.Reason) {
	id, waited := e.request.id, now.Sub(e.arrived)
	q.drop(e)
	q.refuse(id, r, waited)
}

// gap is the mean time in seconds between two slots getting free.
func (q *Queue) gap() float64 { return q.mean / float64(q.settings.Slots()) }

// expected estimates the queueing delay of a new call of the flow, which may be
// nil. All calls of better classes go first. Within the class each active customer
// gets one call for each of this customer's, up to what is waiting.
func (q *Queue) expected(c *class, f *flow) time.Duration {
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
	own, others := 0, len(c.active)
	if f != nil {
		own = len(f.waiting)
	}
	if own > 0 {
		others--
	}
	ahead += own + min(c.waiting-own, (own+1)*others)
	return seconds(float64(ahead+1) * q.gap())
}

// hopeless says why a new call is not worth queueing.
func (q *Queue) hopeless(now time.Time, r Request, f *flow) basillift.Reason {
	left := r.deadline.Sub(now)
	if left <= 0 || left < q.expected(f.class, f)+seconds(q.quick) {
		return basillift.ReasonDeadline
	}
	return basillift.ReasonNone
}

// overdue says why a waiting call is not worth running any more.
func (q *Queue) overdue(now time.Time, e *entry) basillift.Reason {
	if now.Add(seconds(q.quick)).After(e.request.deadline) {
		return basillift.ReasonDeadline
	}
	if now.Sub(e.arrived) > q.patience(now, e.flow) {
		return basillift.ReasonOverload
	}
	return basillift.ReasonNone
}

// patience is how long a call of the flow may wait: the interval for a burst, the
// target delay while the flow has been waiting without a break for the interval.
// Neither is below the time that a slot takes to get free, or a target with long
// calls would refuse all that wait.
func (q *Queue) patience(now time.Time, f *flow) time.Duration {
	target := max(targetDelay, 2*seconds(q.gap()))
	interval := max(delayInterval, 2*target)
	if now.Sub(f.busySince) > interval {
		return target
	}
	return interval
}

// expire refuses the overdue calls of a flow.
func (q *Queue) expire(now time.Time, f *flow) {
	for i := len(f.waiting) - 1; i >= 0; i-- {
		if i >= len(f.waiting) {
			continue
		}
		e := f.waiting[i]
		if reason := q.overdue(now, e); reason != basillift.ReasonNone {
			q.refuseWaiting(now, e, reason)
		}
	}
}

// makeRoom refuses a waiting call that counts for less than a new one of the flow,
// and reports whether there was one: a call of the lowest class, or of the
// customer with the most waiting calls in the same class.
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
	q.refuseWaiting(now, longest.waiting.last(), basillift.ReasonOverload)
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
