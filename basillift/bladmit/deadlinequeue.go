package bladmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basillift.dev/basillift"
)

const (
	// movingMeanSmoothing is the smoothing factor of the mean service time of a route.
	movingMeanSmoothing = 1.0 / 16
	// serviceTimeBoundDeviations is the number of mean deviations between the mean service time and its upper
	// bound. Service times are skewed towards long ones, so the bound is this far above the mean. It is meant to
	// let 19 of 20 admitted requests meet their soft deadline.
	serviceTimeBoundDeviations = 2.5
	// defaultServiceTimeFraction is the service time that is assumed for a route without observations, as a
	// fraction of its latency objective. After a start no route has observations, and targets are usually slow.
	defaultServiceTimeFraction = 0.5
	// minWaitFraction is the fraction of its latency objective that a request may wait even if its soft deadline
	// cannot be met. A wait this short does not matter to a caller that would have to retry after a refusal.
	minWaitFraction = 0.125
	// BestRank goes before all configured ranks of 0 or more, since a lower rank is better.
	BestRank = -1
	// maxRoutes bounds the number of routes, or ranks, for which statistics are kept.
	maxRoutes = 4096
)

// DeadlineQueue admits requests to one target whose number of slots is known exactly, and which may limit how many requests
// it accepts per second. It is designed for overload: a request waits only if it is expected to start in time for its soft
// deadline, or within a small fraction of its latency objective. Otherwise it is refused on arrival, so that it can go to
// another target while there is time. Better ranks go first. Within a rank nested calls go first, then requests that can
// meet their soft deadline, and among these the one with the earliest soft deadline. It is not safe for concurrent use.
type DeadlineQueue struct {
	slots       int
	running     map[uint64]*deadlineEntry
	waiting     []*deadlineEntry
	limit       requestLimit
	routes      map[string]*movingMean
	overall     movingMean
	closeReason basillift.Reason
	// overtakingLoad measures the work of the admitted requests of each rank.
	overtakingLoad overtakingLoad
}

// deadlineEntry is a request that runs or waits.
type deadlineEntry struct {
	request SlotRequest
	// latestStart is when a waiting request has to be refused.
	latestStart time.Time
	started     time.Time
}

// movingMean is an exponential moving average in seconds, with its mean deviation.
type movingMean struct {
	value     float64
	deviation float64
	count     int
}

func (m *movingMean) known() bool { return m != nil && m.count > 0 }

func (m *movingMean) add(v float64) {
	m.count++
	if m.count == 1 {
		m.value, m.deviation = v, v/2
		return
	}
	// The first observations are averaged with equal weights, so that the first one does not dominate.
	smoothing := max(movingMeanSmoothing, 1/float64(m.count))
	m.deviation += (math.Abs(v-m.value) - m.deviation) * smoothing
	m.value += (v - m.value) * smoothing
}

// NewDeadlineQueue returns an empty queue for a target with the given slots.
func NewDeadlineQueue(slots int) *DeadlineQueue {
	return &DeadlineQueue{slots: max(1, slots), running: make(map[uint64]*deadlineEntry), routes: make(map[string]*movingMean), overtakingLoad: newOvertakingLoad()}
}

// Load returns the load report for the daemons that send requests.
func (q *DeadlineQueue) Load() basillift.Load {
	return basillift.NewLoad(len(q.running), len(q.waiting), q.slots, seconds(q.overall.value))
}

// SetSlots sets the number of slots that the target reports, at least 1, and returns the
// ids of the waiting requests that start.
func (q *DeadlineQueue) SetSlots(now time.Time, slots int) []uint64 {
	q.slots = max(1, slots)
	return q.dispatch(now)
}

// SetRequestLimit sets how many requests per second the target accepts, and returns the ids of the waiting requests that
// start. Without a limit only the slots bound them.
func (q *DeadlineQueue) SetRequestLimit(now time.Time, perSecond float64, limited bool) []uint64 {
	q.limit.setOwn(now, perSecond, limited)
	return q.dispatch(now)
}

// SetColdLimit sets how many requests per second the target accepts because it is or may be cold, and returns the ids of the
// waiting requests that start. Of this limit and the one of SetRequestLimit the lower one holds.
func (q *DeadlineQueue) SetColdLimit(now time.Time, perSecond float64, limited bool) []uint64 {
	q.limit.setCold(now, perSecond, limited)
	return q.dispatch(now)
}

// NextStart returns how long the first waiting request has to wait for the request limit; false if it waits for a slot, or
// none waits. Dispatch and RemoveUnservable have to be called then. While a cold limit has just begun, it is when
// RemoveUnservable has an effect.
func (q *DeadlineQueue) NextStart(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	if grace := q.limit.graceLeft(now); grace > 0 {
		return grace, true
	}
	return q.limit.wait(now, 0), len(q.running) < q.slots
}

// Dispatch returns the ids of the waiting requests that start.
func (q *DeadlineQueue) Dispatch(now time.Time) []uint64 { return q.dispatch(now) }

// RemoveUnservable removes the waiting requests that the request limit keeps from starting in time, since it was lowered or
// requests of better ranks arrived. It returns their ids. A cold limit that has just begun removes none, since it may end at once.
func (q *DeadlineQueue) RemoveUnservable(now time.Time) []uint64 {
	if !q.limit.active() || q.limit.graceLeft(now) > 0 {
		return nil
	}
	var removed []uint64
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if now.Add(q.limit.wait(now, len(kept))).After(e.latestStart) {
			removed = append(removed, e.request.id)
			continue
		}
		kept = append(kept, e)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return removed
}

// ServiceTimeBound is an estimated upper bound of the request's service time; single requests may exceed it.
func (q *DeadlineQueue) ServiceTimeBound(r SlotRequest) time.Duration {
	return seconds(q.serviceTimeBoundSeconds(r))
}

// Backlog is the expected wait of a request that arrives now behind all others; 0 while a slot is free.
func (q *DeadlineQueue) Backlog(now time.Time) time.Duration {
	if len(q.running) < q.slots {
		return q.limit.wait(now, len(q.waiting))
	}
	return q.expectedWait(now, len(q.waiting), SlotRequest{})
}

// Close makes the queue refuse all later requests with a reason. ReasonNone opens it again.
func (q *DeadlineQueue) Close(r basillift.Reason) { q.closeReason = r }

// Arrive admits or refuses a request. Finish must follow for each request that runs.
func (q *DeadlineQueue) Arrive(now time.Time, r SlotRequest) AdmissionDecision {
	if q.closeReason != basillift.ReasonNone {
		return AdmissionDecision{result: AdmissionRefuse, reason: q.closeReason}
	}
	r.late = !r.nested && now.Add(seconds(q.serviceTimeBoundSeconds(r))).After(r.softDeadline)
	e := &deadlineEntry{request: r}
	if len(q.running) < q.slots && len(q.waiting) == 0 && q.limit.take(now) {
		q.start(now, e)
		q.overtakingLoad.add(now, r, q.meanServiceSeconds(r.route, r))
		return AdmissionDecision{result: AdmissionRun}
	}
	position, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	// Overtaking requests take a fraction of the slots; the requests ahead get only the rest.
	overtaken := q.overtakingLoad.fraction(now, r, q.limit.slots(q.slots, q.meanServiceSeconds("", r)))
	wait := time.Duration(float64(q.expectedWait(now, position, r)) / (1 - overtaken))
	e.latestStart = q.latestStart(now, r)
	if now.Add(wait).After(e.latestStart) {
		retryAfter := q.limit.returnAfter(now, q.expectedWait(now, len(q.waiting), r))
		return AdmissionDecision{result: AdmissionRefuse, reason: basillift.ReasonOverload, retryAfter: retryAfter}
	}
	q.waiting = slices.Insert(q.waiting, position, e)
	q.overtakingLoad.add(now, r, q.meanServiceSeconds(r.route, r))
	return AdmissionDecision{result: AdmissionWait, waitUntil: e.latestStart}
}

// Restrict lowers the deadline of a waiting request, and the time by which it must start, to those of r, which has the same id.
// The decision is to refuse it if it is not expected to start in time any more; it is removed then. It is to run if the request
// does not wait.
func (q *DeadlineQueue) Restrict(now time.Time, r SlotRequest) AdmissionDecision {
	position := q.position(r.id)
	if position < 0 {
		return AdmissionDecision{result: AdmissionRun}
	}
	e := q.waiting[position]
	e.request = e.request.WithAnswerBy(r.deadline).WithStartBy(r.startBy)
	e.latestStart = q.restrictStart(e.latestStart, e.request)
	if now.Add(q.expectedWait(now, position, e.request)).After(e.latestStart) {
		q.waiting = slices.Delete(q.waiting, position, position+1)
		return AdmissionDecision{result: AdmissionRefuse, reason: basillift.ReasonOverload, retryAfter: q.RetryAfter(now)}
	}
	return AdmissionDecision{result: AdmissionWait, waitUntil: e.latestStart}
}

// position returns the position of a request in the waiting list; negative if it does not wait.
func (q *DeadlineQueue) position(id uint64) int {
	return slices.IndexFunc(q.waiting, func(e *deadlineEntry) bool { return e.request.id == id })
}

// latestStart is the time by which a request must have started: early enough for its soft deadline, or after the
// minimum wait if that is later, but always early enough for its deadline. A nested call has its deadline only.
func (q *DeadlineQueue) latestStart(now time.Time, r SlotRequest) time.Time {
	serviceTime := seconds(q.serviceTimeBoundSeconds(r))
	if r.nested {
		return q.restrictStart(r.deadline.Add(-serviceTime), r)
	}
	latestStart := r.softDeadline.Add(-serviceTime)
	if minWaitEnd := now.Add(time.Duration(float64(r.latencyObjective) * minWaitFraction)); minWaitEnd.After(latestStart) {
		latestStart = minWaitEnd
	}
	return q.restrictStart(latestStart, r)
}

// restrictStart returns the latest start, or the earlier time that a request's deadline or startBy demands.
func (q *DeadlineQueue) restrictStart(latestStart time.Time, r SlotRequest) time.Time {
	if deadlineStart := r.deadline.Add(-seconds(q.serviceTimeBoundSeconds(r))); deadlineStart.Before(latestStart) {
		latestStart = deadlineStart
	}
	if !r.startBy.IsZero() && r.startBy.Before(latestStart) {
		latestStart = r.startBy
	}
	return latestStart
}

// serviceTimeBoundSeconds is an estimated upper bound of the request's service time.
func (q *DeadlineQueue) serviceTimeBoundSeconds(r SlotRequest) float64 {
	if m := q.routes[r.route]; m.known() {
		return m.value + serviceTimeBoundDeviations*m.deviation
	}
	return defaultServiceTimeFraction * r.latencyObjective.Seconds()
}

// expectedWait is the wait of a request at a position of the waiting list: for the request limit, or for the mean time
// until a slot becomes free.
func (q *DeadlineQueue) expectedWait(now time.Time, position int, r SlotRequest) time.Duration {
	limitWait := q.limit.wait(now, position)
	if position < q.slots-len(q.running) {
		return limitWait
	}
	work := q.meanServiceSeconds("", r)
	for _, e := range q.waiting[:position] {
		work += q.meanServiceSeconds(e.request.route, e.request)
	}
	return max(limitWait, seconds(work/float64(q.slots)))
}

// meanServiceSeconds is the mean service time of a route. Without observations of the route it is the mean of all
// routes, and without any observation a fraction of the request's latency objective.
func (q *DeadlineQueue) meanServiceSeconds(route string, r SlotRequest) float64 {
	switch m := q.routes[route]; {
	case m.known():
		return m.value
	case q.overall.known():
		return q.overall.value
	default:
		return defaultServiceTimeFraction * r.latencyObjective.Seconds()
	}
}

// compareEntries orders waiting entries by rank, nested calls first, late requests last, then by soft deadline.
func compareEntries(a, b *deadlineEntry) int {
	if c := cmp.Compare(a.request.rank, b.request.rank); c != 0 {
		return c
	}
	if a.request.nested != b.request.nested {
		if a.request.nested {
			return -1
		}
		return 1
	}
	if a.request.late != b.request.late {
		if b.request.late {
			return -1
		}
		return 1
	}
	if c := a.request.softDeadline.Compare(b.request.softDeadline); c != 0 {
		return c
	}
	return cmp.Compare(a.request.id, b.request.id)
}

// Finish frees the slot of a request and returns the ids of the waiting requests that start.
// Observed is false for a request that did not run to its end; its service time is then ignored.
func (q *DeadlineQueue) Finish(now time.Time, id uint64, observed bool) []uint64 {
	e := q.running[id]
	if e == nil {
		return nil
	}
	delete(q.running, id)
	if observed {
		q.observe(e.request.route, now.Sub(e.started).Seconds())
	}
	return q.dispatch(now)
}

func (q *DeadlineQueue) observe(route string, serviceSeconds float64) {
	q.overall.add(serviceSeconds)
	m := q.routes[route]
	if m == nil {
		if len(q.routes) >= maxRoutes {
			clear(q.routes)
		}
		m = &movingMean{}
		q.routes[route] = m
	}
	m.add(serviceSeconds)
}

// Withdraw removes a waiting request. It reports whether the request was still waiting and thus did not run.
func (q *DeadlineQueue) Withdraw(id uint64) bool {
	i := q.position(id)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// RetryAfter is when a refused request should come back: after the expected wait at the end of the queue.
func (q *DeadlineQueue) RetryAfter(now time.Time) time.Duration {
	return q.limit.returnAfter(now, q.expectedWait(now, len(q.waiting), SlotRequest{}))
}

func (q *DeadlineQueue) dispatch(now time.Time) []uint64 {
	var started []uint64
	for len(q.running) < q.slots && len(q.waiting) > 0 && q.limit.take(now) {
		e := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(now, e)
		started = append(started, e.request.id)
	}
	return started
}

func (q *DeadlineQueue) start(now time.Time, e *deadlineEntry) {
	e.started = now
	q.running[e.request.id] = e
}
