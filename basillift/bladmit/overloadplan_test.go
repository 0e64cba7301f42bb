package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// planTime is long after the requests from which the queue has learned the service times.
var planTime = baseTime.Add(time.Minute)

// occupiedQueue returns a queue with one slot, which request 1 occupies, and routes with service times of 50 and 300 ms.
func occupiedQueue() *DeadlineQueue {
	q := warmedQueue(1, "short", 50*time.Millisecond)
	for id := uint64(2000); id < 2040; id++ {
		q.Arrive(baseTime, slotRequest(baseTime, id, "long", 1, time.Second))
		q.Finish(baseTime.Add(300*time.Millisecond), id, true)
	}
	q.Arrive(planTime, slotRequest(planTime, 1, "short", 0, time.Second))
	return q
}

// Guards against requests that are held although better ones have taken their place, and against a long request that keeps
// several short ones from their deadlines.
func TestOverloadPlan(t *testing.T) {
	t.Run("a heavier request gives way to one that needs less work", func(t *testing.T) {
		is := is.New(t)
		q := occupiedQueue()
		assertResult(t, q.Arrive(planTime, slotRequest(planTime, 2, "long", 1, 650*time.Millisecond)), AdmissionWait)
		assertResult(t, q.Arrive(planTime, slotRequest(planTime, 3, "short", 1, 700*time.Millisecond)), AdmissionWait)
		assertResult(t, q.Arrive(planTime, slotRequest(planTime, 4, "short", 1, 550*time.Millisecond)), AdmissionWait)
		is.Equal(q.RemoveUnservable(planTime.Add(200*time.Millisecond)), []uint64{2})
		assertStarted(t, q.Finish(planTime, 1, false), 4)
	})
	t.Run("a request of the same weight does not give way to a new one", func(t *testing.T) {
		q := occupiedQueue()
		for id := uint64(2); id <= 4; id++ {
			q.Arrive(planTime, slotRequest(planTime, id, "short", 1, 300*time.Millisecond))
		}
		is.New(t).Equal(q.RemoveUnservable(planTime), nil)
	})
	t.Run("a request that a better rank has overtaken is refused at once", func(t *testing.T) {
		is := is.New(t)
		q := occupiedQueue()
		assertResult(t, q.Arrive(planTime, slotRequest(planTime, 2, "short", 1, 400*time.Millisecond)), AdmissionWait)
		for id := uint64(3); id <= 5; id++ {
			assertResult(t, q.Arrive(planTime, slotRequest(planTime, id, "long", 0, 3*time.Second)), AdmissionWait)
		}
		is.Equal(q.RemoveUnservable(planTime), []uint64{2})
	})
	t.Run("without a latency objective a request waits until its time has run out", func(t *testing.T) {
		q := occupiedQueue()
		deadline := planTime.Add(400 * time.Millisecond)
		assertResult(t, q.Arrive(planTime, NewSlotRequest(2, "short", 1, deadline, deadline).WithLatencyObjective(400*time.Millisecond)), AdmissionWait)
		for id := uint64(3); id <= 5; id++ {
			q.Arrive(planTime, slotRequest(planTime, id, "long", 0, 3*time.Second))
		}
		is.New(t).Equal(q.RemoveUnservable(planTime), nil)
	})
}

// Guards against late places that delay requests in time, that are given without being asked for, or that are held although
// the deadline cannot be met.
func TestLatePlace(t *testing.T) {
	late := func(id uint64) SlotRequest {
		return NewSlotRequest(id, "short", 0, planTime.Add(60*time.Millisecond), planTime.Add(2*time.Second)).WithLatencyObjective(60 * time.Millisecond)
	}
	blocked := func() *DeadlineQueue {
		q := occupiedQueue()
		q.Arrive(planTime, slotRequest(planTime, 2, "long", 0, 2*time.Second))
		return q
	}
	t.Run("only a request that allows it waits beyond its objective", func(t *testing.T) {
		assertResult(t, blocked().Arrive(planTime, late(3)), AdmissionRefuse)
		assertResult(t, blocked().Arrive(planTime, late(3).WithLateAllowed(true)), AdmissionWait)
	})
	t.Run("requests in time go first, also those of a worse rank", func(t *testing.T) {
		is := is.New(t)
		q := blocked()
		q.Arrive(planTime, late(3).WithLateAllowed(true))
		assertResult(t, q.Arrive(planTime, slotRequest(planTime, 4, "short", 5, 3*time.Second)), AdmissionWait)
		is.Equal(q.LateWaiting(), 1)
		assertStarted(t, q.Finish(planTime, 1, true), 2)
		assertStarted(t, q.Finish(planTime, 2, true), 4)
		assertStarted(t, q.Finish(planTime, 4, true), 3)
		is.True(q.HasLatePlace(3) && !q.HasLatePlace(4))
	})
	t.Run("a late place that ends behind the deadline is withdrawn", func(t *testing.T) {
		is := is.New(t)
		q := blocked()
		q.Arrive(planTime, late(3).WithLateAllowed(true))
		for id := uint64(4); id <= 10; id++ {
			q.Arrive(planTime, slotRequest(planTime, id, "long", 0, 10*time.Second))
		}
		is.Equal(q.RemoveUnservable(planTime), []uint64{3})
	})
	t.Run("a request whose time has run out gets a late place", func(t *testing.T) {
		is := is.New(t)
		q := occupiedQueue()
		decision := q.Arrive(planTime, slotRequest(planTime, 2, "short", 1, 400*time.Millisecond).WithLateAllowed(true))
		waitUntil, removed := q.Expire(decision.WaitUntil(), 2)
		is.True(!removed && waitUntil.After(decision.WaitUntil()))
		_, removed = q.Expire(waitUntil, 2)
		is.True(removed)
	})
}

// Guards against callers refused in one burst that all come back together, and against an urgent one that returns behind
// those of worse ranks.
func TestReturnOrder(t *testing.T) {
	is := is.New(t)
	q := occupiedQueue()
	r := slotRequest(planTime, 2, "short", 1, time.Second)
	first, second := q.RetryAfter(planTime, r), q.RetryAfter(planTime, r)
	is.Equal(second-first, seconds(q.meanServiceSeconds("", r)))
	r.rank = 0
	is.Equal(q.RetryAfter(planTime, r), first)
}

// Guards against callers who come back as told and find themselves behind those who have just arrived.
func TestReturningCallerGoesFirst(t *testing.T) {
	for _, late := range []bool{false, true} {
		q := occupiedQueue()
		request := func(id uint64, elapsed time.Duration) SlotRequest {
			objective := time.Second
			if late {
				objective = 20 * time.Millisecond
			}
			return NewSlotRequest(id, "short", 1, planTime.Add(objective-elapsed), planTime.Add(4*time.Second)).WithLatencyObjective(objective).WithLateAllowed(late)
		}
		assertResult(t, q.Arrive(planTime, request(2, 0)), AdmissionWait)
		assertResult(t, q.Arrive(planTime, request(3, 300*time.Millisecond)), AdmissionWait)
		assertStarted(t, q.Finish(planTime, 1, true), 3)
	}
}

// Guards against a rank that starves for good, and against protection that turns the order of the ranks around.
func TestRankProtection(t *testing.T) {
	protection := func(best, worst float64) *rankProtection {
		p := &rankProtection{}
		for range 40 {
			p.observe(planTime, 0, best)
			p.observe(planTime, 2, worst)
			p.started()
		}
		return p
	}
	t.Run("a starved rank goes first, for a bounded share", func(t *testing.T) {
		is := is.New(t)
		p := protection(1, 0.05)
		for range int(maxProtectedCredit) {
			rank, protected := p.take(planTime, 2)
			is.True(protected && rank == 0)
		}
		_, protected := p.take(planTime, 2)
		is.True(!protected)
	})
	t.Run("a rank that is served now and then is not protected", func(t *testing.T) {
		_, protected := protection(1, 0.3).take(planTime, 2)
		is.New(t).True(!protected)
	})
	t.Run("a rank that is served better than a more urgent one is not protected", func(t *testing.T) {
		p := protection(0.01, 0.02)
		for range 400 {
			p.observe(planTime, 1, 1)
		}
		_, protected := p.take(planTime, 2)
		is.New(t).True(!protected)
	})
}
