package bladmit

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

const (
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
// meet their soft deadline, and among these the one with the earliest soft deadline. When not all can be in time, the heavier
// ones give way (plan). A request may wait beyond its soft deadline in a late place if its caller's daemon allows it. It is
// not safe for concurrent use.
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
	protection     rankProtection
	returns        returnOrder
	// displaced holds the requests that gave way to a new one, until RemoveUnservable returns them.
	displaced []uint64
}

// deadlineEntry is a request that runs or waits.
type deadlineEntry struct {
	request SlotRequest
	// latestStart is when a waiting request has to be refused.
	latestStart time.Time
	started     time.Time
	// work is the expected service time in seconds.
	work float64
	// latePlace is set for a request that waits behind all those in time.
	latePlace bool
	// protected is set for a request that goes first because its rank starves.
	protected bool
}

// NewDeadlineQueue returns an empty queue for a target with the given slots.
func NewDeadlineQueue(slots int) *DeadlineQueue {
	return &DeadlineQueue{slots: max(1, slots), running: make(map[uint64]*deadlineEntry), routes: make(map[string]*movingMean), overtakingLoad: newOvertakingLoad()}
}

// Load returns the load report for the daemons that send requests. Late places do not count as queued, since they delay no
// request that arrives.
func (q *DeadlineQueue) Load() basillift.Load {
	return basillift.NewLoad(len(q.running), len(q.waiting)-q.LateWaiting(), q.slots, seconds(q.overall.value))
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

// RemoveUnservable removes the waiting requests that are not expected to start in time any more, since requests with better
// places arrived or the request limit was lowered. It returns their ids. One that may have a late place gets that instead if
// it can. A cold limit that has just begun removes none, since it may end at once. It has to be called after each change of the
// queue.
func (q *DeadlineQueue) RemoveUnservable(now time.Time) []uint64 {
	removed := q.displaced
	q.displaced = nil
	if len(q.waiting) == 0 || q.limit.graceLeft(now) > 0 {
		return removed
	}
	kept, lost := q.capacity(SlotRequest{}).plan(now, q.waiting)
	q.waiting = kept
	for _, e := range lost {
		if !q.placeLate(now, e) {
			removed = append(removed, e.request.id)
		}
	}
	return removed
}

// capacity describes the slots for waiting requests. Without observations r tells the mean service time.
func (q *DeadlineQueue) capacity(r SlotRequest) capacity {
	return capacity{slots: q.slots, free: q.slots - len(q.running), meanSeconds: q.meanServiceSeconds("", r), limit: &q.limit}
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
	e := &deadlineEntry{request: r, work: q.meanServiceSeconds(r.route, r)}
	q.observeServedRatio(now, r)
	if len(q.running) < q.slots && len(q.waiting) == 0 && q.limit.take(now) {
		q.start(now, e)
		q.overtakingLoad.add(now, r, e.work)
		return AdmissionDecision{result: AdmissionRun}
	}
	e.latestStart = q.latestStart(now, r)
	if q.placeInTime(now, e) {
		q.overtakingLoad.add(now, e.request, e.work)
		return AdmissionDecision{result: AdmissionWait, waitUntil: e.latestStart}
	}
	if q.placeLate(now, e) {
		return AdmissionDecision{result: AdmissionWait, waitUntil: e.latestStart}
	}
	return AdmissionDecision{result: AdmissionRefuse, reason: basillift.ReasonOverload, retryAfter: q.RetryAfter(now, r)}
}

// observeServedRatio records the served ratio that the caller's daemon reports with a request.
func (q *DeadlineQueue) observeServedRatio(now time.Time, r SlotRequest) {
	if r.servedRatioKnown && !r.nested {
		q.protection.observe(now, r.rank, r.servedRatio)
	}
}

// placeInTime inserts a new request into the waiting list if it is expected to start in time, also in place of a heavier one.
// It reports whether it did.
func (q *DeadlineQueue) placeInTime(now time.Time, e *deadlineEntry) bool {
	rank := e.request.rank
	if !e.request.nested && e.request.servedRatioKnown {
		e.request.rank, e.protected = q.protection.take(now, rank)
	}
	if q.insertInTime(now, e) {
		return true
	}
	if e.protected {
		q.protection.giveBack()
		e.request.rank, e.protected = rank, false
	}
	return false
}

// insertInTime is placeInTime for a request whose rank is decided.
func (q *DeadlineQueue) insertInTime(now time.Time, e *deadlineEntry) bool {
	position, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	// Overtaking requests take a fraction of the slots; the requests ahead get only the rest.
	overtaken := q.overtakingLoad.fraction(now, e.request, q.usableSlots(e.request))
	fits := func(wait time.Duration) bool {
		return !now.Add(q.withOvertaking(wait, overtaken)).After(e.latestStart)
	}
	c, work := q.capacity(e.request), q.workOf(q.waiting[:position])
	if !fits(c.wait(now, position, work)) {
		heavy := heaviest(now, q.waiting[:position], e)
		if heavy < 0 || !fits(c.wait(now, position-1, work-q.waiting[heavy].work)) {
			return false
		}
		displaced := q.waiting[heavy]
		q.waiting = slices.Delete(q.waiting, heavy, heavy+1)
		position--
		if !q.placeLate(now, displaced) {
			q.displaced = append(q.displaced, displaced.request.id)
		}
	}
	q.waiting = slices.Insert(q.waiting, position, e)
	return true
}

// withOvertaking is the expected wait if requests that arrive later take a fraction of the slots first.
func (q *DeadlineQueue) withOvertaking(wait time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(wait) / (1 - fraction))
}

// usableSlots is how many slots the request limit can keep busy.
func (q *DeadlineQueue) usableSlots(r SlotRequest) float64 {
	return q.limit.slots(q.slots, q.meanServiceSeconds("", r))
}

// workOf is the sum of the expected service times of entries, in seconds.
func (q *DeadlineQueue) workOf(entries []*deadlineEntry) float64 {
	work := 0.0
	for _, e := range entries {
		work += e.work
	}
	return work
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
		return AdmissionDecision{result: AdmissionRefuse, reason: basillift.ReasonOverload, retryAfter: q.RetryAfter(now, r)}
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

// expectedWait is the wait of a request at a position of the waiting list.
func (q *DeadlineQueue) expectedWait(now time.Time, position int, r SlotRequest) time.Duration {
	return q.capacity(r).wait(now, position, q.workOf(q.waiting[:position]))
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

// Withdraw removes a waiting request. It reports whether the request was still waiting and thus did not run.
func (q *DeadlineQueue) Withdraw(id uint64) bool {
	i := q.position(id)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// RetryAfter is when a refused request should come back: after the expected wait behind all requests that are in time, and
// after those of its rank that were refused before.
func (q *DeadlineQueue) RetryAfter(now time.Time, r SlotRequest) time.Duration {
	wait := q.expectedWait(now, len(q.waiting)-q.LateWaiting(), r)
	if q.limit.active() {
		return q.limit.returnAfter(now, wait)
	}
	return q.returns.after(now, r.rank, wait, seconds(q.meanServiceSeconds("", r)/float64(q.slots)))
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
	q.protection.started()
	q.running[e.request.id] = e
}
