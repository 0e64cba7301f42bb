package bladmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basillift.dev/basillift"
)

const (
	// holdWeight is the share of a new observation in the mean slot time of a lane.
	holdWeight = 1.0 / 16
	// certainty is how many mean deviations above its mean slot time a request is
	// given, so that 19 of 20 admitted requests keep their goal: slot times lean to the long side.
	certainty = 2.5
	// unknownHold is the share of its objective that a request of an unknown lane is assumed to hold a slot.
	// Lanes are unknown after a start, when targets are slow as a rule.
	unknownHold = 0.5
	// freeShare is the share of its goal that a request may wait wherever the goal cannot be kept: so little
	// is of no consequence to a caller that has to come back.
	freeShare = 0.125
	// HighestRank goes before all ranks that operators give.
	HighestRank = -1
	// lanesMost bounds how many lanes have a mean of their own.
	lanesMost = 4096
)

// SlotRequest is a request that asks for a slot within a goal.
type SlotRequest struct {
	id           uint64
	route        string
	rank         int
	softDeadline time.Time
	deadline     time.Time
	// latencyObjective is the whole time within which the caller wants its answer.
	latencyObjective time.Duration
	nested           bool
	// late is set by the queue for an offer whose goal cannot be kept any more.
	late bool
}

// NewSlotRequest returns a slot request. Requests of one lane hold a slot for a similar time;
// rank 0 goes first. The answer has its full value until goal and none after deadline.
func NewSlotRequest(id uint64, lane string, rank int, goal, deadline time.Time) SlotRequest {
	return SlotRequest{id: id, route: lane, rank: rank, softDeadline: goal, deadline: deadline}
}

// WithLatencyObjective sets the whole time within which the caller wants its answer, of
// which the goal is what is left.
func (o SlotRequest) WithLatencyObjective(d time.Duration) SlotRequest {
	o.latencyObjective = d
	return o
}

// WithNested marks a call that a target makes while it runs a request: it goes before
// all others of its rank and waits as long as its answer is of use.
func (o SlotRequest) WithNested(nested bool) SlotRequest {
	o.nested = nested
	return o
}

// AdmissionResult is what becomes of a slot request at once.
type AdmissionResult string

// The verdicts.
const (
	AdmissionRun    AdmissionResult = "run"
	AdmissionWait   AdmissionResult = "wait"
	AdmissionRefuse AdmissionResult = "refuse"
)

// Admission is the answer to a slot request.
type Admission struct {
	result     AdmissionResult
	reason     basillift.Reason
	until      time.Time
	retryAfter time.Duration
}

// Result says whether to run, to wait or to refuse.
func (d Admission) Result() AdmissionResult { return d.result }

// Reason is why the offer was refused.
func (d Admission) Reason() basillift.Reason { return d.reason }

// Until is when a waiting request is to be withdrawn and refused.
func (d Admission) Until() time.Time { return d.until }

// RetryAfter is when the target is expected to have room for a refused request.
func (d Admission) RetryAfter() time.Duration { return d.retryAfter }

// DeadlineQueue admits requests to one target whose slots are known exactly. It is made
// for overload: a request waits only if it is expected to keep its goal, and is refused at once
// otherwise, so that it can go elsewhere while there is time. Better ranks go first, within a rank the calls
// of targets, and then the request whose goal is next. It is not safe for concurrent use.
type DeadlineQueue struct {
	slots   int
	running map[uint64]*ticket
	waiting []*ticket
	lanes   map[string]*mean
	all     mean
	closed  basillift.Reason
	// pressure counts what is admitted.
	pressure pressure
}

// ticket is an offer that runs or waits.
type ticket struct {
	offer   SlotRequest
	started time.Time
}

// mean is a moving mean in seconds, with its mean deviation.
type mean struct {
	value     float64
	deviation float64
	count     int
}

func (m *mean) known() bool { return m != nil && m.count > 0 }

func (m *mean) add(v float64) {
	m.count++
	if m.count == 1 {
		m.value, m.deviation = v, v/2
		return
	}
	// The first observations count in full, so that a start value does not last.
	weight := max(holdWeight, 1/float64(m.count))
	m.deviation += (math.Abs(v-m.value) - m.deviation) * weight
	m.value += (v - m.value) * weight
}

// NewDeadlineQueue returns an empty queue for a target with the given slots.
func NewDeadlineQueue(slots int) *DeadlineQueue {
	return &DeadlineQueue{slots: max(1, slots), running: make(map[uint64]*ticket), lanes: make(map[string]*mean), pressure: newPressure()}
}

// Load is what to tell the daemons that send requests.
func (q *DeadlineQueue) Load() basillift.Load {
	return basillift.NewLoad(len(q.running), len(q.waiting), q.slots, seconds(q.all.value))
}

// SetSlots takes the number of slots that the target says it has and returns the
// requests that may start.
func (q *DeadlineQueue) SetSlots(now time.Time, slots int) []uint64 {
	q.slots = max(1, slots)
	return q.dispatch(now)
}

// ServiceTimeBound is how long a slot request will hold a slot at most, as a rule.
func (q *DeadlineQueue) ServiceTimeBound(o SlotRequest) time.Duration { return seconds(q.hold(o)) }

// Backlog is the wait of an offer that arrives now, behind all others.
func (q *DeadlineQueue) Backlog() time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	return q.RetryAfter()
}

// Close refuses all later offers for a reason; an empty reason opens the queue again.
func (q *DeadlineQueue) Close(r basillift.Reason) { q.closed = r }

// Arrive takes an offer.
func (q *DeadlineQueue) Arrive(now time.Time, o SlotRequest) Admission {
	if q.closed != basillift.ReasonNone {
		return Admission{result: AdmissionRefuse, reason: q.closed}
	}
	o.late = !o.nested && now.Add(seconds(q.hold(o))).After(o.softDeadline)
	t := &ticket{offer: o}
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		q.start(now, t)
		q.pressure.admitted(now, o, q.meanOf(o.route, o))
		return Admission{result: AdmissionRun}
	}
	position, _ := slices.BinarySearchFunc(q.waiting, t, before)
	wait := time.Duration(float64(q.expected(position, o)) / (1 - q.pressure.overtaking(now, o, q.slots)))
	latest := q.latest(now, o)
	if now.Add(wait).After(latest) {
		return Admission{result: AdmissionRefuse, reason: basillift.ReasonOverload, retryAfter: q.expected(len(q.waiting), o)}
	}
	q.waiting = slices.Insert(q.waiting, position, t)
	q.pressure.admitted(now, o, q.meanOf(o.route, o))
	return Admission{result: AdmissionWait, until: latest}
}

// latest is when an offer must have started: so that its goal is kept, or after the
// wait that is of no consequence.
func (q *DeadlineQueue) latest(now time.Time, o SlotRequest) time.Time {
	hold := seconds(q.hold(o))
	if o.nested {
		return o.deadline.Add(-hold)
	}
	latest := o.softDeadline.Add(-hold)
	if free := now.Add(time.Duration(float64(o.latencyObjective) * freeShare)); free.After(latest) {
		latest = free
	}
	if end := o.deadline.Add(-hold); end.Before(latest) {
		latest = end
	}
	return latest
}

// hold is how long an offer will hold a slot at most, as a rule, in seconds.
func (q *DeadlineQueue) hold(o SlotRequest) float64 {
	if m := q.lanes[o.route]; m.known() {
		return m.value + certainty*m.deviation
	}
	return unknownHold * o.latencyObjective.Seconds()
}

// expected is the wait of an offer behind the first waiting tickets.
func (q *DeadlineQueue) expected(position int, o SlotRequest) time.Duration {
	work := q.meanOf("", o)
	for _, t := range q.waiting[:position] {
		work += q.meanOf(t.offer.route, t.offer)
	}
	return seconds(work / float64(q.slots))
}

// meanOf is how long a request of a lane holds a slot, in seconds; of any lane if it is unknown.
func (q *DeadlineQueue) meanOf(lane string, o SlotRequest) float64 {
	switch m := q.lanes[lane]; {
	case m.known():
		return m.value
	case q.all.known():
		return q.all.value
	default:
		return unknownHold * o.latencyObjective.Seconds()
	}
}

// before orders waiting tickets: by rank, calls of targets first, late ones last, then by goal.
func before(a, b *ticket) int {
	if c := cmp.Compare(a.offer.rank, b.offer.rank); c != 0 {
		return c
	}
	if a.offer.nested != b.offer.nested {
		if a.offer.nested {
			return -1
		}
		return 1
	}
	if a.offer.late != b.offer.late {
		if b.offer.late {
			return -1
		}
		return 1
	}
	if c := a.offer.softDeadline.Compare(b.offer.softDeadline); c != 0 {
		return c
	}
	return cmp.Compare(a.offer.id, b.offer.id)
}

// Finish frees the slot of a request and returns the requests that may start.
// Observed is false for a request that did not run to its end, whose time says nothing.
func (q *DeadlineQueue) Finish(now time.Time, id uint64, observed bool) []uint64 {
	t := q.running[id]
	if t == nil {
		return nil
	}
	delete(q.running, id)
	if observed {
		q.observe(t.offer.route, now.Sub(t.started).Seconds())
	}
	return q.dispatch(now)
}

func (q *DeadlineQueue) observe(lane string, held float64) {
	q.all.add(held)
	m := q.lanes[lane]
	if m == nil {
		if len(q.lanes) >= lanesMost {
			clear(q.lanes)
		}
		m = &mean{}
		q.lanes[lane] = m
	}
	m.add(held)
}

// Withdraw removes a waiting request and reports whether it was still waiting, which means that it did not run.
func (q *DeadlineQueue) Withdraw(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(t *ticket) bool { return t.offer.id == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// RetryAfter is when a request of the last place in the queue would start.
func (q *DeadlineQueue) RetryAfter() time.Duration { return q.expected(len(q.waiting), SlotRequest{}) }

func (q *DeadlineQueue) dispatch(now time.Time) []uint64 {
	var started []uint64
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(now, t)
		started = append(started, t.offer.id)
	}
	return started
}

func (q *DeadlineQueue) start(now time.Time, t *ticket) {
	t.started = now
	q.running[t.offer.id] = t
}
