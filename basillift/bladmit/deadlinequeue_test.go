package bladmit

import (
	"container/heap"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

var baseTime = time.Unix(1_800_000_000, 0)

// slotRequest returns a request whose soft deadline is one latency objective away and whose deadline is four.
func slotRequest(now time.Time, id uint64, route string, rank int, latencyObjective time.Duration) SlotRequest {
	return NewSlotRequest(id, route, rank, now.Add(latencyObjective), now.Add(4*latencyObjective)).WithLatencyObjective(latencyObjective)
}

// warmedQueue returns an idle queue that has observed the service time of a route in 100 requests.
func warmedQueue(slots int, route string, serviceTime time.Duration) *DeadlineQueue {
	q := NewDeadlineQueue(slots)
	for id := uint64(1000); id < 1100; id++ {
		q.Arrive(baseTime, slotRequest(baseTime, id, route, 1, time.Second))
		q.Finish(baseTime.Add(serviceTime), id, true)
	}
	return q
}

func assertResult(t *testing.T, a AdmissionDecision, want AdmissionResult) {
	t.Helper()
	if a.Result() != want {
		t.Errorf("result %s (%s), want %s", a.Result(), a.Reason(), want)
	}
}

func assertStarted(t *testing.T, got []uint64, want ...uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("started %v, want %v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("started %v, want %v", got, want)
		}
	}
}

func TestDeadlineQueueOrder(t *testing.T) {
	t.Run("no more requests run than there are slots", func(t *testing.T) {
		q := NewDeadlineQueue(2)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second)), AdmissionRun)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 1, time.Second)), AdmissionRun)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 3, "a", 1, time.Second)), AdmissionWait)
		assertStarted(t, q.Finish(baseTime, 1, true), 3)
	})
	t.Run("better ranks go first, then the earliest soft deadline", func(t *testing.T) {
		q := warmedQueue(1, "a", 10*time.Millisecond)
		q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second))
		q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 2, 200*time.Millisecond))
		q.Arrive(baseTime, slotRequest(baseTime, 3, "a", 1, time.Second))
		q.Arrive(baseTime, slotRequest(baseTime, 4, "a", 1, 300*time.Millisecond))
		assertStarted(t, q.Finish(baseTime, 1, true), 4)
		assertStarted(t, q.Finish(baseTime, 4, true), 3)
		assertStarted(t, q.Finish(baseTime, 3, true), 2)
	})
	t.Run("a withdrawn request does not run", func(t *testing.T) {
		is := is.New(t)
		q := NewDeadlineQueue(1)
		q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second))
		q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 1, time.Second))
		is.True(q.Withdraw(2))
		is.True(!q.Withdraw(2))
		assertStarted(t, q.Finish(baseTime, 1, true))
	})
	t.Run("additional slots start waiting requests", func(t *testing.T) {
		q := NewDeadlineQueue(1)
		q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second))
		q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 1, time.Second))
		assertStarted(t, q.SetSlots(baseTime, 3), 2)
	})
	t.Run("a closed queue refuses until it is opened", func(t *testing.T) {
		q := NewDeadlineQueue(1)
		q.Close(basillift.ReasonNoTarget)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second)), AdmissionRefuse)
		q.Close(basillift.ReasonNone)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second)), AdmissionRun)
	})
}

// Guards against requests that wait although they cannot be served in time, and against a Retry-After that does not
// reflect the length of the queue.
func TestDeadlineQueueRefuses(t *testing.T) {
	q := warmedQueue(2, "a", 100*time.Millisecond)
	for id := uint64(1); id <= 2; id++ {
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, id, "a", 1, 300*time.Millisecond)), AdmissionRun)
	}
	id, waiting := uint64(3), 0
	for ; id < 20; id++ {
		a := q.Arrive(baseTime, slotRequest(baseTime, id, "a", 1, 300*time.Millisecond))
		if a.Result() == AdmissionRefuse {
			is := is.New(t)
			is.Equal(a.Reason(), basillift.ReasonOverload)
			is.True(a.RetryAfter() >= time.Duration(waiting)*50*time.Millisecond)
			break
		}
		waiting++
		if a.WaitUntil().After(baseTime.Add(200 * time.Millisecond)) {
			t.Errorf("waits until %v, too late for its soft deadline", a.WaitUntil().Sub(baseTime))
		}
	}
	if waiting < 1 || waiting > 4 {
		t.Errorf("%d requests wait, want 1 to 4: two slots, a service time of 100 ms and a latency objective of 300 ms", waiting)
	}
}

// completion is the event of a simulation at which a request ends.
type completion struct {
	at time.Time
	id uint64
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, k int) bool { return c[i].at.Before(c[k].at) }
func (c completions) Swap(i, k int)      { c[i], c[k] = c[k], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulateDeadlineQueue sends requests to a target with 9 slots at a rate, given as a fraction of its capacity. It
// returns the fractions that are answered within the latency objective and later. Without useDeadlineQueue the target
// has a first-come, first-served queue of 36 places.
func simulateDeadlineQueue(seed int64, rate float64, useDeadlineQueue bool) (inTime, late float64) {
	const slots, meanServiceSeconds, latencyObjective, requests = 9, 0.1, 300 * time.Millisecond, 20000
	rnd := rand.New(rand.NewSource(seed))
	q := warmedQueue(slots, "a", 100*time.Millisecond)
	ends := &completions{}
	arrived := map[uint64]time.Time{}
	now, good, bad := baseTime, 0, 0
	var fifo []uint64
	running := 0
	start := func(at time.Time, id uint64) {
		work := meanServiceSeconds * (0.5 + rnd.ExpFloat64()*0.5)
		heap.Push(ends, completion{at.Add(time.Duration(work * float64(time.Second))), id})
	}
	complete := func(until time.Time) {
		for ends.Len() > 0 && !(*ends)[0].at.After(until) {
			done := heap.Pop(ends).(completion)
			if done.at.Sub(arrived[done.id]) <= latencyObjective {
				good++
			} else {
				bad++
			}
			if useDeadlineQueue {
				for _, id := range q.Finish(done.at, done.id, true) {
					start(done.at, id)
				}
				continue
			}
			running--
			if len(fifo) > 0 {
				start(done.at, fifo[0])
				fifo = fifo[1:]
				running++
			}
		}
	}
	waitUntil := map[uint64]time.Time{}
	for id := uint64(1); id <= requests; id++ {
		now = now.Add(time.Duration(rnd.ExpFloat64() * meanServiceSeconds / slots / rate * float64(time.Second)))
		complete(now)
		arrived[id] = now
		if !useDeadlineQueue {
			if running < slots {
				running++
				start(now, id)
			} else if len(fifo) < 36 {
				fifo = append(fifo, id)
			}
			continue
		}
		for waiting, until := range waitUntil {
			if !now.Before(until) {
				q.Withdraw(waiting)
				delete(waitUntil, waiting)
			}
		}
		switch a := q.Arrive(now, slotRequest(now, id, "a", 1, latencyObjective)); a.Result() {
		case AdmissionRun:
			start(now, id)
		case AdmissionWait:
			waitUntil[id] = a.WaitUntil()
		}
	}
	complete(now.Add(time.Hour))
	return float64(good) / requests, float64(bad) / requests
}

// Guards against a queue that keeps the target busy with answers that come too late. The baseline is a
// first-come, first-served queue with the length of the target's own queue.
func TestDeadlineQueueUnderOverload(t *testing.T) {
	for _, rate := range []float64{0.7, 1.2, 2} {
		good, late := simulateDeadlineQueue(1, rate, true)
		baseline, _ := simulateDeadlineQueue(1, rate, false)
		possible := min(1, 1/rate)
		if good < 0.85*possible {
			t.Errorf("rate %.1f: %.2f in time, want 0.85 of the possible %.2f", rate, good, possible)
		}
		if good < baseline-0.01 {
			t.Errorf("rate %.1f: %.2f in time, the baseline has %.2f", rate, good, baseline)
		}
		if late > 0.15 {
			t.Errorf("rate %.1f: %.2f late", rate, late)
		}
	}
}

// Guards against requests that wait on although their answers would come too late for a daemon that is stopping.
func TestRestrict(t *testing.T) {
	const serviceTime = 100 * time.Millisecond
	// The slot is taken, and two requests wait.
	newQueue := func() *DeadlineQueue {
		q := warmedQueue(1, "a", serviceTime)
		for id := uint64(1); id <= 3; id++ {
			q.Arrive(baseTime, slotRequest(baseTime, id, "a", 1, time.Second))
		}
		return q
	}
	lowered := func(id uint64, answerBy time.Duration) SlotRequest {
		return slotRequest(baseTime, id, "a", 1, time.Second).WithAnswerBy(baseTime.Add(answerBy))
	}
	t.Run("a request that can be answered in time waits no longer than that", func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		decision := q.Restrict(baseTime, lowered(2, 500*time.Millisecond))
		assertResult(t, decision, AdmissionWait)
		is.True(!decision.WaitUntil().After(baseTime.Add(500*time.Millisecond - serviceTime)))
		assertStarted(t, q.Finish(baseTime, 1, true), 2)
	})
	t.Run("a request behind too many others is refused", func(t *testing.T) {
		q := newQueue()
		assertResult(t, q.Restrict(baseTime, lowered(3, 250*time.Millisecond)), AdmissionRefuse)
		assertStarted(t, q.Finish(baseTime, 1, true), 2)
		assertStarted(t, q.Finish(baseTime, 2, true))
	})
	t.Run("a request that must start earlier waits no longer than that", func(t *testing.T) {
		is := is.New(t)
		q := newQueue()
		startBy := baseTime.Add(150 * time.Millisecond)
		decision := q.Restrict(baseTime, lowered(2, time.Hour).WithStartBy(startBy))
		assertResult(t, decision, AdmissionWait)
		is.Equal(decision.WaitUntil(), startBy)
		assertResult(t, q.Restrict(baseTime, lowered(3, time.Hour).WithStartBy(startBy)), AdmissionRefuse)
	})
	t.Run("a request that arrives after its latest start is refused", func(t *testing.T) {
		q := newQueue()
		assertResult(t, q.Arrive(baseTime, lowered(4, time.Hour).WithStartBy(baseTime.Add(-time.Second))), AdmissionRefuse)
	})
	t.Run("a later time changes nothing", func(t *testing.T) {
		q := newQueue()
		before := q.Restrict(baseTime, lowered(2, time.Hour))
		assertResult(t, before, AdmissionWait)
		is.New(t).Equal(q.Restrict(baseTime, lowered(2, 2*time.Hour)).WaitUntil(), before.WaitUntil())
	})
	t.Run("a request that runs stays", func(t *testing.T) {
		q := newQueue()
		assertResult(t, q.Restrict(baseTime, lowered(1, 0)), AdmissionRun)
		assertStarted(t, q.Finish(baseTime, 1, true), 2)
	})
	t.Run("without a time the deadline stays", func(t *testing.T) {
		r := slotRequest(baseTime, 1, "a", 1, time.Second)
		is.New(t).Equal(r.WithAnswerBy(time.Time{}), r)
	})
}
