package bladmit

import (
	"cmp"
	"slices"
	"time"
)

// heavierFactor is by how much the weight of a request must exceed that of another one to give way to it. Service times of a
// route spread by about this factor, so a smaller difference of the means says little, and would starve the routes of the
// same rank whose mean is slightly higher.
const heavierFactor = 1.5

// lostPlaceFraction is the fraction of its latency objective by which a waiting request has to be expected to miss its
// latest start before it counts as having lost its place. Expected waits vary with each request that ends early or late.
// At 0, 55% instead of 83% of the corrections at balance targets ended in time in the load test, since many gave up a place
// that they would have kept.
const lostPlaceFraction = 0.25

// capacity is how fast the slots of a target become free for waiting requests.
type capacity struct {
	slots, free int
	// meanSeconds is the mean service time of all requests, and so the time until a slot becomes free, times the slots.
	meanSeconds float64
	limit       *requestLimit
}

// wait is the expected wait of a request behind others: for the request limit, or for the mean time until a slot becomes
// free. workAhead is the sum of their service times in seconds.
func (c capacity) wait(now time.Time, ahead int, workAhead float64) time.Duration {
	limitWait := c.limit.wait(now, ahead)
	if ahead < c.free {
		return limitWait
	}
	return max(limitWait, seconds((c.meanSeconds+workAhead)/float64(c.slots)))
}

// startsInTime reports whether a waiting request is still expected to start in time behind the given others. A request limit
// paces exactly, so that there is nothing to allow for, and late places are given with a margin already.
func (c capacity) startsInTime(now time.Time, e *deadlineEntry, ahead int, workAhead float64) bool {
	slack := time.Duration(0)
	if !c.limit.active() && !e.latePlace {
		slack = time.Duration(lostPlaceFraction * float64(e.request.latencyObjective))
	}
	return !now.Add(c.wait(now, ahead, workAhead)).After(e.latestStart.Add(slack))
}

// plan decides which of the waiting requests keep their places, in their order. A request that can no longer start in time
// takes the place of the heaviest one of its group before it, if that one is clearly heavier and the request starts in time
// then; otherwise it loses its own place. With equal weights this is the rule of Moore and Hodgson, by which as many
// requests as possible end in time. It is a function of its arguments only.
//
// It addresses overload: without it, the first requests by deadline get the slots, whatever work they need, and those
// behind learn that they have no place only when their time has run out.
func (c capacity) plan(now time.Time, waiting []*deadlineEntry) (kept, lost []*deadlineEntry) {
	first, work := c.inTime(now, waiting)
	if first == len(waiting) {
		return waiting, nil
	}
	kept = append(make([]*deadlineEntry, 0, len(waiting)), waiting[:first]...)
	for _, e := range waiting[first:] {
		if !c.keepsPlace(now, e, len(kept), work) {
			heavy := heaviest(now, kept, e)
			if heavy < 0 || !c.startsInTime(now, e, len(kept)-1, work-kept[heavy].work) {
				lost = append(lost, e)
				continue
			}
			work -= kept[heavy].work
			lost = append(lost, kept[heavy])
			kept = slices.Delete(kept, heavy, heavy+1)
		}
		kept = append(kept, e)
		work += e.work
	}
	return kept, lost
}

// inTime returns how many of the first requests keep their places without any change, and the sum of their work.
func (c capacity) inTime(now time.Time, waiting []*deadlineEntry) (count int, work float64) {
	for i, e := range waiting {
		if !c.keepsPlace(now, e, i, work) {
			return i, work
		}
		work += e.work
	}
	return len(waiting), work
}

// keepsPlace reports whether a waiting request keeps its place behind the given others.
func (c capacity) keepsPlace(now time.Time, e *deadlineEntry, ahead int, workAhead float64) bool {
	return e.staysUnlessLimited(c.limit) || c.startsInTime(now, e, ahead, workAhead)
}

// staysUnlessLimited reports whether a request keeps its place until its time has run out, unless a request limit is in
// force: its route has no latency objective, so that there is nothing to weigh.
func (e *deadlineEntry) staysUnlessLimited(l *requestLimit) bool {
	return !l.active() && !e.request.nested && !e.request.hasObjective()
}

// heaviest returns the index of the heaviest request that is clearly heavier than e and may give way to it; negative if
// there is none. Only requests of the same rank give way, since the rank goes before the weight.
func heaviest(now time.Time, entries []*deadlineEntry, e *deadlineEntry) int {
	found, limit := -1, heavierFactor*e.weight(now)
	for i, other := range entries {
		if w := other.weight(now); w > limit && other.sameGroup(e) && !other.protected {
			found, limit = i, w
		}
	}
	return found
}

// sameGroup reports whether two requests compete by weight: they have the same rank and both a place in time, or both a
// late place.
func (e *deadlineEntry) sameGroup(other *deadlineEntry) bool {
	weighed := !e.request.nested && !other.request.nested && e.request.hasObjective() && other.request.hasObjective()
	return weighed && e.request.rank == other.request.rank && e.latePlace == other.latePlace
}

// weight is the work that a request needs, relative to how long its callers are ready to wait. What a caller has waited
// already, here or before an earlier refusal, lowers it: that time is lost if the request gives way.
func (e *deadlineEntry) weight(now time.Time) float64 {
	r := e.request
	remaining := r.softDeadline.Sub(now).Seconds() / r.latencyObjective.Seconds()
	return e.work / r.latencyObjective.Seconds() * min(1, max(0, remaining))
}

// compareEntries orders waiting entries: places in time before late places; then by rank, nested calls first, requests
// that can meet their soft deadline before others, and by soft deadline. That of a caller which comes back counts from its
// first attempt, so that it goes before a new one.
func compareEntries(a, b *deadlineEntry) int {
	if c := compareFlags(a.latePlace, b.latePlace); c != 0 {
		return c
	}
	if c := cmp.Compare(a.request.rank, b.request.rank); c != 0 {
		return c
	}
	if c := compareFlags(b.request.nested, a.request.nested); c != 0 {
		return c
	}
	if c := compareFlags(a.request.late, b.request.late); c != 0 {
		return c
	}
	if c := a.request.softDeadline.Compare(b.request.softDeadline); c != 0 {
		return c
	}
	return cmp.Compare(a.request.id, b.request.id)
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
