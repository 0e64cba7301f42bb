package bladmit

import (
	"container/heap"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

var begin = time.Unix(1_800_000_000, 0)

// offerAt is an offer with a goal and a deadline four times as far.
func offerAt(now time.Time, id uint64, lane string, rank int, goal time.Duration) SlotRequest {
	return NewSlotRequest(id, lane, rank, now.Add(goal), now.Add(4*goal)).WithLatencyObjective(goal)
}

// taught returns a queue that has seen requests of a lane hold a slot for a time.
func taught(slots int, lane string, hold time.Duration) *DeadlineQueue {
	q := NewDeadlineQueue(slots)
	for id := uint64(1000); id < 1100; id++ {
		q.Arrive(begin, offerAt(begin, id, lane, 1, time.Second))
		q.Finish(begin.Add(hold), id, true)
	}
	return q
}

func assertVerdict(t *testing.T, d Admission, want AdmissionResult) {
	t.Helper()
	if d.Result() != want {
		t.Errorf("verdict %s (%s), want %s", d.Result(), d.Reason(), want)
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

func TestGoalQueueOrder(t *testing.T) {
	t.Run("never more than the slots run", func(t *testing.T) {
		q := NewDeadlineQueue(2)
		assertVerdict(t, q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second)), AdmissionRun)
		assertVerdict(t, q.Arrive(begin, offerAt(begin, 2, "a", 1, time.Second)), AdmissionRun)
		assertVerdict(t, q.Arrive(begin, offerAt(begin, 3, "a", 1, time.Second)), AdmissionWait)
		assertStarted(t, q.Finish(begin, 1, true), 3)
	})
	t.Run("better ranks go first, then the nearest goal", func(t *testing.T) {
		q := taught(1, "a", 10*time.Millisecond)
		q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second))
		q.Arrive(begin, offerAt(begin, 2, "a", 2, 200*time.Millisecond))
		q.Arrive(begin, offerAt(begin, 3, "a", 1, time.Second))
		q.Arrive(begin, offerAt(begin, 4, "a", 1, 300*time.Millisecond))
		assertStarted(t, q.Finish(begin, 1, true), 4)
		assertStarted(t, q.Finish(begin, 4, true), 3)
		assertStarted(t, q.Finish(begin, 3, true), 2)
	})
	t.Run("a withdrawn request does not run", func(t *testing.T) {
		is := is.New(t)
		q := NewDeadlineQueue(1)
		q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second))
		q.Arrive(begin, offerAt(begin, 2, "a", 1, time.Second))
		is.True(q.Withdraw(2))
		is.True(!q.Withdraw(2))
		assertStarted(t, q.Finish(begin, 1, true))
	})
	t.Run("more slots start what waits", func(t *testing.T) {
		q := NewDeadlineQueue(1)
		q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second))
		q.Arrive(begin, offerAt(begin, 2, "a", 1, time.Second))
		assertStarted(t, q.SetSlots(begin, 3), 2)
	})
	t.Run("closed", func(t *testing.T) {
		q := NewDeadlineQueue(1)
		q.Close(basillift.ReasonNoTarget)
		assertVerdict(t, q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second)), AdmissionRefuse)
		q.Close(basillift.ReasonNone)
		assertVerdict(t, q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second)), AdmissionRun)
	})
}

// Guards against requests that are held although they cannot be served in time, and against a Retry-After without meaning.
func TestGoalQueueRefuses(t *testing.T) {
	q := taught(2, "a", 100*time.Millisecond)
	for id := uint64(1); id <= 2; id++ {
		assertVerdict(t, q.Arrive(begin, offerAt(begin, id, "a", 1, 300*time.Millisecond)), AdmissionRun)
	}
	id, waiting := uint64(3), 0
	for ; id < 20; id++ {
		d := q.Arrive(begin, offerAt(begin, id, "a", 1, 300*time.Millisecond))
		if d.Result() == AdmissionRefuse {
			is := is.New(t)
			is.Equal(d.Reason(), basillift.ReasonOverload)
			is.True(d.RetryAfter() >= time.Duration(waiting)*50*time.Millisecond)
			break
		}
		waiting++
		if d.Until().After(begin.Add(200 * time.Millisecond)) {
			t.Errorf("waits until %v after which its goal is missed", d.Until().Sub(begin))
		}
	}
	if waiting < 1 || waiting > 4 {
		t.Errorf("%d requests wait, want 1 to 4: two slots of 100 ms and a goal of 300 ms", waiting)
	}
}

// arrival and finish are the events of a played load.
type finish struct {
	at time.Time
	id uint64
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, k int) bool { return f[i].at.Before(f[k].at) }
func (f finishes) Swap(i, k int)      { f[i], f[k] = f[k], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// play sends requests to a target of 9 slots at a rate (as a share of what it can
// serve) and returns the shares that are answered within the goal and late.
func play(seed int64, rate float64, admit bool) (inGoal, late float64) {
	const slots, hold, goal, requests = 9, 0.1, 300 * time.Millisecond, 20000
	rnd := rand.New(rand.NewSource(seed))
	q := taught(slots, "a", 100*time.Millisecond)
	ends := &finishes{}
	arrived := map[uint64]time.Time{}
	now, good, bad := begin, 0, 0
	var fifo []uint64
	running := 0
	start := func(at time.Time, id uint64) {
		work := hold * (0.5 + rnd.ExpFloat64()*0.5)
		heap.Push(ends, finish{at.Add(time.Duration(work * float64(time.Second))), id})
	}
	complete := func(until time.Time) {
		for ends.Len() > 0 && !(*ends)[0].at.After(until) {
			f := heap.Pop(ends).(finish)
			if f.at.Sub(arrived[f.id]) <= goal {
				good++
			} else {
				bad++
			}
			if admit {
				for _, id := range q.Finish(f.at, f.id, true) {
					start(f.at, id)
				}
				continue
			}
			running--
			if len(fifo) > 0 {
				start(f.at, fifo[0])
				fifo = fifo[1:]
				running++
			}
		}
	}
	untils := map[uint64]time.Time{}
	for id := uint64(1); id <= requests; id++ {
		now = now.Add(time.Duration(rnd.ExpFloat64() * hold / slots / rate * float64(time.Second)))
		complete(now)
		arrived[id] = now
		if !admit {
			if running < slots {
				running++
				start(now, id)
			} else if len(fifo) < 36 {
				fifo = append(fifo, id)
			}
			continue
		}
		for waiting, until := range untils {
			if !now.Before(until) {
				q.Withdraw(waiting)
				delete(untils, waiting)
			}
		}
		switch d := q.Arrive(now, offerAt(now, id, "a", 1, goal)); d.Result() {
		case AdmissionRun:
			start(now, id)
		case AdmissionWait:
			untils[id] = d.Until()
		}
	}
	complete(now.Add(time.Hour))
	return float64(good) / requests, float64(bad) / requests
}

// Guards against a queue that keeps the target busy with answers that come too late. The baseline is a
// first-come queue as long as the target's own.
func TestGoalQueueUnderOverload(t *testing.T) {
	for _, rate := range []float64{0.7, 1.2, 2} {
		good, late := play(1, rate, true)
		plain, _ := play(1, rate, false)
		possible := min(1, 1/rate)
		if good < 0.85*possible {
			t.Errorf("rate %.1f: %.2f in goal, want 0.85 of the %.2f that are possible", rate, good, possible)
		}
		if good < plain-0.01 {
			t.Errorf("rate %.1f: %.2f in goal, a plain queue has %.2f", rate, good, plain)
		}
		if late > 0.15 {
			t.Errorf("rate %.1f: %.2f late", rate, late)
		}
	}
}
