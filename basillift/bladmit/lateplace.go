package bladmit

import (
	"slices"
	"time"
)

// Late places depend on what arrives later, so their expected wait is less certain than that of others, and a request that
// is held and then given up costs its caller more than a refusal.
const (
	// lateMarginFraction is the fraction of its latency objective by which a request with a late place must end before its
	// deadline even if it runs for as long as its service time's upper bound.
	lateMarginFraction = 0.25
	// lateWaitFactor multiplies the expected wait for a late place.
	lateWaitFactor = 2
)

// placeLate gives a waiting request a late place, behind all requests that are in time, if it is expected to end before its
// deadline there. It reports whether it did.
//
// Late places address bursts: their requests use the slots that are idle when a burst ebbs away, which their callers would
// otherwise find only by chance when they come back.
func (q *DeadlineQueue) placeLate(now time.Time, e *deadlineEntry) bool {
	if !e.request.lateAllowed || e.latePlace || e.request.nested || !e.request.hasObjective() {
		return false
	}
	late := *e
	late.latePlace = true
	late.latestStart = q.latestLateStart(e.request)
	position, _ := slices.BinarySearchFunc(q.waiting, &late, compareEntries)
	overtaken := q.overtakingLoad.fractionLate(now, late.request, q.usableSlots(late.request))
	wait := lateWaitFactor * q.withOvertaking(q.expectedWait(now, position, late.request), overtaken)
	if now.Add(wait).After(late.latestStart) {
		return false
	}
	*e = late
	q.waiting = slices.Insert(q.waiting, position, e)
	return true
}

// latestLateStart is the time by which a request with a late place must have started.
func (q *DeadlineQueue) latestLateStart(r SlotRequest) time.Time {
	return q.restrictStart(r.deadline.Add(-seconds(q.serviceTimeBoundSeconds(r)+lateMarginFraction*r.latencyObjective.Seconds())), r)
}

// LateWaiting is the number of requests that wait in a late place.
func (q *DeadlineQueue) LateWaiting() int {
	count := 0
	for count < len(q.waiting) && q.waiting[len(q.waiting)-1-count].latePlace {
		count++
	}
	return count
}

// Expire ends the wait of a request whose time has run out. It still waits, until the returned time, if it has got a late
// place meanwhile or gets one now. Otherwise it is removed, unless it does not wait any more: removed is true then.
func (q *DeadlineQueue) Expire(now time.Time, id uint64) (waitUntil time.Time, removed bool) {
	position := q.position(id)
	if position < 0 {
		return now, false
	}
	e := q.waiting[position]
	if e.latestStart.After(now) {
		return e.latestStart, false
	}
	q.waiting = slices.Delete(q.waiting, position, position+1)
	return e.latestStart, !q.placeLate(now, e)
}

// HasLatePlace reports whether a request that runs got its slot from a late place.
func (q *DeadlineQueue) HasLatePlace(id uint64) bool {
	e := q.running[id]
	return e != nil && e.latePlace
}
