package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

const (
	// maxStandingDelay and delayInterval are CoDel's parameters "target" and "interval":
	// a queue that has not been empty for the interval is a standing queue, and only
	// requests of a burst may wait longer than maxStandingDelay.
	maxStandingDelay = 5 * time.Millisecond
	delayInterval    = 100 * time.Millisecond
	// initialServiceTime is the assumed mean service time before any request has ended.
	initialServiceTime = 5 * time.Millisecond
	// serviceTimeSmoothing is the smoothing factor of the mean service time.
	serviceTimeSmoothing = 1.0 / 32
	// minServiceTimeGrowth is the factor by which a request may raise the minimum service time, so that it follows
	// a target that became slower.
	minServiceTimeGrowth = 1.02
	// operationsPerEviction is the number of queue operations between two evictions of idle flows.
	operationsPerEviction = 1024
)

// Queue admits requests to one target, by class, customer and deadline. It is not safe for concurrent use.
type Queue struct {
	settings           QueueSettings
	classes            [3]class
	entries            map[uint64]*entry
	freeEntries        []*entry
	actions            []Action
	running            int
	waiting            int
	meanServiceSeconds float64 // mean service time of a request
	minServiceSeconds  float64 // recent minimum service time of a request
	draining           bool
	operations         int
}

// NewQueue returns an empty queue with the given bounds.
func NewQueue(s QueueSettings) *Queue {
	q := &Queue{settings: s, entries: make(map[uint64]*entry), meanServiceSeconds: initialServiceTime.Seconds()}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Running is the number of requests that occupy a slot.
func (q *Queue) Running() int { return q.running }

// Queued is the number of requests that wait.
func (q *Queue) Queued() int { return q.waiting }

// MeanServiceTime is the moving average of the time for which a request occupies a slot.
func (q *Queue) MeanServiceTime() time.Duration { return seconds(q.meanServiceSeconds) }

// Arrive decides whether a new request runs at once, waits or is refused. A full queue
// may instead refuse a waiting request of a lower class or of a customer with more
// waiting requests.
func (q *Queue) Arrive(now time.Time, r Request) []Action {
	q.beginOperation()
	if q.draining {
		return q.refuse(r.id, basillift.ReasonDraining, 0)
	}
	c := &q.classes[r.class.Rank()]
	f := c.flow(r.customer)
	if reason := q.refusalOnArrival(now, r, f); reason != basillift.ReasonNone {
		return q.refuse(r.id, reason, 0)
	}
	if q.waiting >= q.settings.length && !q.makeRoom(now, c, f) {
		return q.refuse(r.id, basillift.ReasonOverload, 0)
	}
	e := q.entry(r, f, now)
	q.entries[r.id] = e
	c.add(now, e)
	q.waiting++
	q.dispatch(now)
	return q.actions
}

// Finish frees the slot of a request that ran, whatever its outcome, and starts waiting
// requests. It ignores unknown and waiting requests.
func (q *Queue) Finish(now time.Time, id uint64) []Action {
	q.beginOperation()
	e := q.entries[id]
	if e == nil || e.index >= 0 {
		return nil
	}
	serviceSeconds := now.Sub(e.started).Seconds()
	q.meanServiceSeconds += (serviceSeconds - q.meanServiceSeconds) * serviceTimeSmoothing
	if q.minServiceSeconds == 0 || serviceSeconds < q.minServiceSeconds {
		q.minServiceSeconds = serviceSeconds
	} else {
		q.minServiceSeconds = min(serviceSeconds, q.minServiceSeconds*minServiceTimeGrowth)
	}
	e.flow.startTag += serviceSeconds - e.chargedSeconds
	e.flow.running--
	q.running--
	q.release(e)
	q.dispatch(now)
	return q.actions
}

// Cancel removes a waiting request whose caller has gone. It reports whether the request
// was still waiting and thus did not run. A running request keeps its slot until Finish.
func (q *Queue) Cancel(_ time.Time, id uint64) bool {
	e := q.entries[id]
	if e == nil || e.index < 0 {
		return false
	}
	q.removeWaiting(e)
	return true
}

// Tick refuses the requests that have waited too long or can no longer end before their
// deadline.
func (q *Queue) Tick(now time.Time) []Action {
	q.beginOperation()
	for i := range q.classes {
		c := &q.classes[i]
		for k := len(c.backlogged) - 1; k >= 0; k-- {
			q.refuseOverdue(now, c.backlogged[k])
		}
	}
	q.dispatch(now)
	return q.actions
}

// Drain refuses all waiting requests and every later one. Running requests continue.
func (q *Queue) Drain(now time.Time) []Action {
	q.beginOperation()
	q.draining = true
	for i := range q.classes {
		c := &q.classes[i]
		for e := c.next(); e != nil; e = c.next() {
			q.refuseWaiting(now, e, basillift.ReasonDraining)
		}
	}
	return q.actions
}

// ExpectedDelay is the expected queueing delay of a request of the customer that arrives now.
func (q *Queue) ExpectedDelay(customer string, c basillift.Class) time.Duration {
	k := &q.classes[c.Rank()]
	return q.expectedDelay(k, k.flows[customer])
}

func (q *Queue) beginOperation() {
	q.actions = q.actions[:0]
	q.operations++
	if q.operations%operationsPerEviction != 0 {
		return
	}
	for i := range q.classes {
		q.classes[i].evictIdle()
	}
}

// dispatch starts waiting requests while slots are free, and refuses those that are overdue.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.settings.Slots() && q.waiting > 0 {
		e := q.next()
		if reason := q.refusalWhileWaiting(now, e); reason != basillift.ReasonNone {
			q.refuseWaiting(now, e, reason)
			continue
		}
		q.start(now, e)
	}
}

func (q *Queue) next() *entry {
	for i := range q.classes {
		if e := q.classes[i].next(); e != nil {
			return e
		}
	}
	return nil
}

// start gives an entry a slot and charges its customer the mean service time. Finish
// replaces the charge by the actual service time.
func (q *Queue) start(now time.Time, e *entry) {
	f := e.flow
	f.class.remove(e)
	f.class.virtualTime = max(f.class.virtualTime, f.startTag)
	e.chargedSeconds = q.meanServiceSeconds
	f.startTag += e.chargedSeconds
	f.running++
	q.waiting--
	q.running++
	e.started = now
	q.actions = append(q.actions, Action{kind: ActionRun, id: e.request.id, waited: now.Sub(e.arrived)})
}

// removeWaiting removes a waiting entry from its flow and releases it.
func (q *Queue) removeWaiting(e *entry) {
	e.flow.class.remove(e)
	q.waiting--
	q.release(e)
}

func (q *Queue) release(e *entry) {
	delete(q.entries, e.request.id)
	*e = entry{}
	q.freeEntries = append(q.freeEntries, e)
}

func (q *Queue) entry(r Request, f *flow, now time.Time) *entry {
	last := len(q.freeEntries) - 1
	if last < 0 {
		return &entry{request: r, flow: f, arrived: now}
	}
	e := q.freeEntries[last]
	q.freeEntries = q.freeEntries[:last]
	*e = entry{request: r, flow: f, arrived: now}
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
