package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulateOvertaking simulates a target with one slot and a service time of 10 ms. An urgent request arrives every 15 ms
// and a less urgent one every 20 ms, which together exceed the target's capacity. It returns the total wait of the less
// urgent requests that were refused after waiting, and how many of those that were queued ran. Without urgent, only the
// less urgent requests arrive.
func simulateOvertaking(urgent bool) (refusedAfter time.Duration, ran, waited int) {
	q := warmedQueue(1, "a", 10*time.Millisecond)
	ends := baseTime.Add(time.Hour)
	waitUntil, arrived := map[uint64]time.Time{}, map[uint64]time.Time{}
	var id, running uint64
	arrive := func(now time.Time, rank int) {
		id++
		switch a := q.Arrive(now, slotRequest(now, id, "a", rank, 200*time.Millisecond)); a.Result() {
		case AdmissionRun:
			running, ends = id, now.Add(10*time.Millisecond)
		case AdmissionWait:
			if rank == 2 {
				waited++
				waitUntil[id], arrived[id] = a.WaitUntil(), now
			}
		}
	}
	for step := range 2000 {
		now := baseTime.Add(time.Duration(step) * time.Millisecond)
		if !now.Before(ends) {
			started := q.Finish(now, running, true)
			ends = baseTime.Add(time.Hour)
			if len(started) > 0 {
				running, ends = started[0], now.Add(10*time.Millisecond)
				if _, known := waitUntil[running]; known {
					ran++
					delete(waitUntil, running)
				}
			}
		}
		for waiting, until := range waitUntil {
			if !now.Before(until) && q.Withdraw(waiting) {
				refusedAfter += now.Sub(arrived[waiting])
				delete(waitUntil, waiting)
			}
		}
		if urgent && step%15 == 0 {
			arrive(now, 1)
		}
		if step%20 == 0 {
			arrive(now, 2)
		}
	}
	return refusedAfter, ran, waited
}

// Guards against requests that wait for a slot, are overtaken by more urgent ones and are refused late.
func TestOvertakingLoad(t *testing.T) {
	t.Run("queued requests run", func(t *testing.T) {
		refusedAfter, ran, waited := simulateOvertaking(true)
		if ran*10 < waited*9 {
			t.Errorf("%d of %d queued requests ran, want 9 of 10; the total wait of the others is %v", ran, waited, refusedAfter)
		}
	})
	t.Run("no request overtakes", func(t *testing.T) {
		is := is.New(t)
		_, ran, waited := simulateOvertaking(false)
		is.Equal(ran, waited)
	})
	t.Run("nested calls are excluded", func(t *testing.T) {
		is := is.New(t)
		load := newOvertakingLoad()
		nested := slotRequest(baseTime, 1, "a", 0, time.Second).WithNested(true)
		load.add(baseTime, nested, 1)
		is.Equal(load.fraction(baseTime, slotRequest(baseTime, 2, "a", 2, time.Second), 1), 0.0)
		load.add(baseTime, slotRequest(baseTime, 3, "a", 1, time.Second), 0.5)
		is.Equal(load.fraction(baseTime, slotRequest(baseTime, 2, "a", 2, time.Second), 1), 0.5)
		is.Equal(load.fraction(baseTime, nested, 1), 0.0)
	})
}
