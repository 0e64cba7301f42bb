package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

const (
	// targetDelay and delayInterval are CoDel's: a queue that has not been empty
	// for the interval is a standing one, and only bursts may wait longer than the
	// target.
	targetDelay   = 5 * time.Millisecond
	delayInterval = 100 * time.Millisecond
	// initialService is the assumed slot time before any call has ended.
	initialService = 5 * time.Millisecond
	// serviceWeight is the share of a new observation in the mean slot time.
	serviceWeight = 1.0 / 32
	// quickGrowth lets the least slot time rise again after the target got slower.
	quickGrowth = 1.02
	// forgetEvery is how many calls pass between two sweeps of idle flows.
	forgetEvery = 1024
)

// Queue admits calls to one target. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	classes  [3]class
	entries  map[uint64]*entry
	free     []*entry
	actions  []Action
	running  int
	waiting  int
	mean     float64 // seconds of slot time for each call
	quick    float64 // least recent seconds of slot time
	draining bool
	arrivals int
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	q := &Queue{settings: s, entries: make(map[uint64]*entry), mean: initialService.Seconds()}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Running is the number of calls that hold a slot.
func (q *Queue) Running() int { return q.running }

// Queued is the number of calls that wait.
func (q *Queue) Queued() int { return q.waiting }

// Service is the mean time for which a call holds a slot.
func (q *Queue) Service() time.Duration { return seconds(q.mean) }

// Arrive takes a call. It runs at once, waits or is refused; a full queue may
// refuse a waiting call of a lower class or of a customer with more waiting calls
// in its place.
func (q *Queue) Arrive(now time.Time, r Request) []Action {
	q.begin()
	if q.draining {
		return q.refuse(r.id, basillift.ReasonDraining, 0)
	}
	c := &q.classes[r.class.Rank()]
	f := c.flow(r.customer)
	if reason := q.hopeless(now, r, f); reason != basillift.ReasonNone {
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

// Finish frees the slot of a call that ran, whatever its outcome.
func (q *Queue) Finish(now time.Time, id uint64) []Action {
	q.begin()
	e := q.entries[id]
	if e == nil || e.index >= 0 {
		return nil
	}
	held := now.Sub(e.started).Seconds()
	q.mean += (held - q.mean) * serviceWeight
	if q.quick == 0 || held < q.quick {
		q.quick = held
	} else {
		q.quick = min(held, q.quick*quickGrowth)
	}
	e.flow.tag += held - e.charged
	e.flow.running--
	q.running--
	q.release(e)
	q.dispatch(now)
	return q.actions
}

// Cancel removes a call whose caller hung up and reports whether it was still
// waiting, which means that it did not run. A running call keeps its slot until Finish.
func (q *Queue) Cancel(_ time.Time, id uint64) bool {
	e := q.entries[id]
	if e == nil || e.index < 0 {
		return false
	}
	q.drop(e)
	return true
}

// Tick refuses the calls that waited too long.
func (q *Queue) Tick(now time.Time) []Action {
	q.begin()
	for i := range q.classes {
		c := &q.classes[i]
		for k := len(c.active) - 1; k >= 0; k-- {
			q.expire(now, c.active[k])
		}
	}
	q.dispatch(now)
	return q.actions
}

// Drain refuses all waiting calls and every later one. Running calls go on.
func (q *Queue) Drain(now time.Time) []Action {
	q.begin()
	q.draining = true
	for i := range q.classes {
		c := &q.classes[i]
		for e := c.next(); e != nil; e = c.next() {
			q.refuseWaiting(now, e, basillift.ReasonDraining)
		}
	}
	return q.actions
}

// Expected is the queueing delay that a call of this customer would see now.
func (q *Queue) Expected(customer string, c basillift.Class) time.Duration {
	k := &q.classes[c.Rank()]
	return q.expected(k, k.flows[customer])
}

func (q *Queue) begin() {
	q.actions = q.actions[:0]
	q.arrivals++
	if q.arrivals%forgetEvery != 0 {
		return
	}
	for i := range q.classes {
		q.classes[i].forget()
	}
}

// dispatch fills the free slots.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.settings.Slots() && q.waiting > 0 {
		e := q.next()
		if reason := q.overdue(now, e); reason != basillift.ReasonNone {
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

// start gives an entry a slot and charges its customer the mean slot time; Finish
// corrects the charge.
func (q *Queue) start(now time.Time, e *entry) {
	f := e.flow
	f.class.remove(e)
	f.class.virtual = max(f.class.virtual, f.tag)
	e.charged = q.mean
	f.tag += e.charged
	f.running++
	q.waiting--
	q.running++
	e.started = now
	q.actions = append(q.actions, Action{kind: ActionRun, id: e.request.id, waited: now.Sub(e.arrived)})
}

// drop forgets a waiting entry.
func (q *Queue) drop(e *entry) {
	e.flow.class.remove(e)
	q.waiting--
	q.release(e)
}

func (q *Queue) release(e *entry) {
	delete(q.entries, e.request.id)
	*e = entry{}
	q.free = append(q.free, e)
}

func (q *Queue) entry(r Request, f *flow, now time.Time) *entry {
	last := len(q.free) - 1
	if last < 0 {
		return &entry{request: r, flow: f, arrived: now}
	}
	e := q.free[last]
	q.free = q.free[:last]
	*e = entry{request: r, flow: f, arrived: now}
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
