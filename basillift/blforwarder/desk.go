package blforwarder

import (
	"context"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// absentFor is how long requests for an instance that the target is not are refused before one asks again: a
// target may start under the same name again, which takes some seconds.
const absentFor = 2 * time.Second

// noParent is the parent's rank of a request that no target has made.
const noParent = -1

// downPause is how long requests are refused after the target refused a connection.
const downPause = 100 * time.Millisecond

// bodyWithin is how long a slot is kept for a large body that was told to come from another daemon: some round
// trips, and one packet that is lost and sent again.
const bodyWithin = 300 * time.Millisecond

// desk is the goal queue of the VM's own target.
type desk struct {
	permits
	origins *bladmit.NestedCallDetector
	lineage *bladmit.ParentEstimator
	// shares is what callers tell of the lanes that come here.
	shares    *bladmit.ServedRatios
	downUntil time.Time
	// absent is the instance that the target was asked for last and is not.
	absent      string
	absentUntil time.Time
}

func newDesk() *desk {
	return &desk{permits: newPermits(defaultSlots, bodyWithin), origins: bladmit.NewNestedCallDetector(), lineage: bladmit.NewParentEstimator(), shares: bladmit.NewServedRatios()}
}

// enter takes the slot that is kept for a request, or waits for one. It returns the id of the slot, or why the
// request did not get one.
func (d *desk) enter(ctx context.Context, now time.Time, request string, h hop) (id uint64, refusal *answer) {
	if slot, kept := d.claim(request); kept {
		return slot, nil
	}
	return d.gate.enter(ctx, now, h.offer)
}

// arrived notes a request and returns it with what is known of its lane. A call that another target makes goes before
// all requests, because its parent holds a slot, unless something more urgent than its parent is served less. Calls that
// take less of the target than what is more urgent are not in its way.
func (d *desk) arrived(now time.Time, h hop) hop {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.downUntil.IsZero() && !now.Before(d.downUntil) {
		d.downUntil = time.Time{}
		d.queue.Close(basillift.ReasonNone)
	}
	d.origins.Observe(h.lane, h.caller)
	h.nested = d.origins.IsNested(h.lane)
	if !h.nested {
		d.shares.Observe(now, h.lane, h.rank, h.served)
		return h
	}
	if h.parent.rank == noParent {
		h.first = true
		return h
	}
	h.rank = h.parent.rank
	h.first = !d.shares.ShouldYield(now, h.parent.rank, h.parent.served, func(lane string) bool {
		return d.lineage.RunTime(lane) < d.lineage.RunTime(h.lane)
	})
	return h
}

// started notes that the target runs a request.
func (d *desk) started(h hop) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lineage.Started(h.lane, h.rank, h.repeat)
}

// ended notes that the target has run a request for a time.
func (d *desk) ended(h hop, ran time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lineage.Ended(h.lane, h.repeat, ran)
}

// parent describes the request at the own target that has most likely made a call, of whose lane a share finds room. A
// parent is served if it finds room itself and its call does.
func (d *desk) parent(lane string, share float64) parent {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	likely, known := d.lineage.Parent(lane)
	if !known {
		return parent{rank: noParent}
	}
	return parent{rank: likely.Rank(), served: d.shares.Served(likely.Route()) * share, repeat: likely.RetryProbability()}
}

// lasts is for how long a request will hold a slot at most, as a rule.
func (d *desk) lasts(h hop) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.queue.ServiceTimeBound(h.offer(0))
}

// offer is a request as the queue sees it.
func (h hop) offer(id uint64) bladmit.SlotRequest {
	rank := h.rank
	if h.first {
		rank = bladmit.HighestRank
	}
	return bladmit.NewSlotRequest(id, h.lane, rank, h.goal, h.deadline).WithLatencyObjective(h.objective).WithNested(h.nested)
}

// down refuses requests for a moment: the target takes no connections.
func (d *desk) down(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.downUntil = now.Add(downPause)
	d.queue.Close(basillift.ReasonNoTarget)
}

// misdirected notes that the target is not an instance.
func (d *desk) misdirected(now time.Time, instance string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.absent, d.absentUntil = instance, now.Add(absentFor)
}

// lacks reports whether the target is known not to be an instance.
func (d *desk) lacks(now time.Time, instance string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return instance != "" && instance == d.absent && now.Before(d.absentUntil)
}

// setSlots takes the number of slots that the target says it has.
func (d *desk) setSlots(now time.Time, slots int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wake(d.queue.SetSlots(now, slots))
}
