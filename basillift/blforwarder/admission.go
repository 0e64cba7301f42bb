package blforwarder

import (
	"context"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// misdirectedPause is how long requests for an instance are refused after the target answered that it is another
// instance. A target may restart under the same name, which takes a few seconds.
const misdirectedPause = 2 * time.Second

// noParentRank is the rank of a parent that is not known: the request is not known as a nested call, or the target was
// running no request when the call was made. No request is queued with it, so it may equal bladmit.BestRank.
const noParentRank = -1

// downPause is how long requests are refused after the target refused a connection.
const downPause = 100 * time.Millisecond

// reservationLifetime is how long a slot is reserved for a large body from another daemon: a few round trips and one
// retransmitted packet.
const reservationLifetime = 300 * time.Millisecond

// admission decides which requests the VM's own target runs, and in which order: a deadline queue with reservations,
// and the state that ranks nested calls.
type admission struct {
	reservations
	nestedCalls *bladmit.NestedCallDetector
	parents     *bladmit.ParentEstimator
	// servedRatios holds the ratios that callers' daemons report for the routes of this target.
	servedRatios *bladmit.ServedRatios
	// announcedSlots is the number of slots that the target announces.
	announcedSlots int
	// limitKnown is set once it is known whether the target limits its requests. A daemon that has just started does not
	// know that of a target that was there before, and uses only a few slots.
	limitKnown bool
	downUntil  time.Time
	// misdirectedInstance is the instance for which the target last answered that it is another one.
	misdirectedInstance string
	misdirectedUntil    time.Time
}

func newAdmission() *admission {
	return &admission{reservations: newReservations(defaultSlots, reservationLifetime), announcedSlots: defaultSlots, nestedCalls: bladmit.NewNestedCallDetector(), parents: bladmit.NewParentEstimator(), servedRatios: bladmit.NewServedRatios()}
}

// acquire takes the slot that is reserved for a request, or waits for one. It returns the slot's id, or the refusal.
func (ad *admission) acquire(ctx context.Context, now time.Time, accepted *acceptedRequest, meta requestMetadata) (id uint64, refusal *answer) {
	if slot, reserved := ad.takeReserved(accepted.id); reserved {
		return slot, nil
	}
	return ad.slotQueue.acquire(ctx, now, accepted, accepted.slotRequest(meta))
}

// classify records a request and returns its metadata with nestedCall, rank and bestRank set. A nested call takes
// its parent's rank, if the parent is known, and goes to the front of the queue, before the requests of all ranks,
// because its parent occupies a slot while it waits. It yields, which means that it is queued by its parent's rank, to a
// route that is more urgent than its parent and is refused for overload clearly more often, provided that its own route
// takes more of the target's time than that route. A route that takes less time is not what delays the other one.
//
// classify also opens the queue again that markDown closed, once downPause has passed.
func (ad *admission) classify(now time.Time, meta requestMetadata) requestMetadata {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	if ad.downEnded(now) {
		ad.downUntil = time.Time{}
		ad.queue.Close(basillift.ReasonNone)
	}
	ad.nestedCalls.Observe(meta.route, meta.callerService)
	meta.nestedCall = ad.nestedCalls.IsNested(meta.route)
	if !meta.nestedCall {
		ad.servedRatios.Observe(now, meta.route, meta.rank, meta.servedRatio)
	}
	return ad.rankNestedCall(now, meta)
}

// rankNestedCall returns the metadata of a request with rank and bestRank set. It must be called with the mutex held.
func (ad *admission) rankNestedCall(now time.Time, meta requestMetadata) requestMetadata {
	if !meta.nestedCall {
		return meta
	}
	if meta.parent.rank == noParentRank {
		meta.bestRank = true
		return meta
	}
	meta.rank = meta.parent.rank
	meta.bestRank = !ad.servedRatios.ShouldYield(now, meta.parent.rank, meta.parent.servedRatio, func(route string) bool {
		return ad.parents.RunSeconds(route) < ad.parents.RunSeconds(meta.route)
	})
	return meta
}

// observeStart records that the target starts a request.
func (ad *admission) observeStart(meta requestMetadata) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	ad.parents.Started(meta.route, meta.rank, meta.retryProbability)
}

// observeEnd records that the target has run a request, and its service time.
func (ad *admission) observeEnd(meta requestMetadata, serviceTime time.Duration) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	ad.parents.Ended(meta.route, meta.retryProbability, serviceTime)
}

// attributeCall records a nested call of the own target and describes the parent that has most likely made it. The
// parent counts as served only if neither it nor its call is refused for overload, so both served ratios are multiplied.
func (ad *admission) attributeCall(route string, servedRatio float64) parentRequest {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	estimate, known := ad.parents.AttributeCall(route)
	return ad.parentRequest(estimate, known, servedRatio)
}

// parentRequest returns an estimated parent as metadata of its call. It must be called with the mutex held.
func (ad *admission) parentRequest(estimate bladmit.Parent, known bool, servedRatio float64) parentRequest {
	if !known {
		return parentRequest{rank: noParentRank}
	}
	return parentRequest{rank: estimate.Rank(), servedRatio: ad.servedRatios.Served(estimate.Route()) * servedRatio, retryProbability: estimate.RetryProbability()}
}

// serviceTimeBound estimates the upper bound of a request's service time.
func (ad *admission) serviceTimeBound(meta requestMetadata) time.Duration {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	return ad.queue.ServiceTimeBound(meta.slotRequest(0))
}

// slotRequest returns the request in the form that the deadline queue takes.
func (rm requestMetadata) slotRequest(id uint64) bladmit.SlotRequest {
	rank := rm.rank
	if rm.bestRank {
		rank = bladmit.BestRank
	}
	return bladmit.NewSlotRequest(id, rm.route, rank, rm.softDeadline, rm.deadline).WithLatencyObjective(rm.latencyObjective).WithNested(rm.nestedCall).WithLateAllowed(rm.lateAllowed).WithServedRatio(rm.servedRatio).WithStartBy(rm.sendBy)
}

// markDown closes the queue for downPause because the target refuses connections.
func (ad *admission) markDown(now time.Time) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	ad.downUntil = now.Add(downPause)
	ad.queue.Close(basillift.ReasonNoTarget)
}

// markMisdirected records that the target at the address is not the given instance.
func (ad *admission) markMisdirected(now time.Time, instance string) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	ad.misdirectedInstance, ad.misdirectedUntil = instance, now.Add(misdirectedPause)
}

// isMisdirected reports whether the target is known not to be the given instance.
func (ad *admission) isMisdirected(now time.Time, instance string) bool {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	return instance != "" && instance == ad.misdirectedInstance && now.Before(ad.misdirectedUntil)
}

// setSlots sets the number of slots that the target announces.
func (ad *admission) setSlots(now time.Time, slots int) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	ad.announcedSlots = slots
	ad.applySlots(now)
}

// setLimitKnown records that it is known whether the target limits its requests.
func (ad *admission) setLimitKnown(now time.Time) {
	ad.mutex.Lock()
	defer ad.mutex.Unlock()
	if !ad.limitKnown {
		ad.limitKnown = true
		ad.applySlots(now)
	}
}

// applySlots sets the slots of the queue: those announced, or only a few until the limit is known. It must be called with the
// mutex held.
func (ad *admission) applySlots(now time.Time) {
	slots := ad.announcedSlots
	if !ad.limitKnown {
		slots = min(slots, defaultSlots)
	}
	ad.notify(now, ad.queue.SetSlots(now, slots))
}
