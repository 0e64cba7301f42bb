package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// overtaken plays a target of one slot that serves requests of 10 ms. An urgent one comes every 15 ms, a less urgent
// one every 20 ms, which is more than the target can serve. It returns how long less urgent requests waited that were
// refused in the end, and how many of those that were told to wait ran.
func overtaken(urgent bool) (refusedAfter time.Duration, ran, waited int) {
	q := taught(1, "a", 10*time.Millisecond)
	ends := begin.Add(time.Hour)
	untils, arrived := map[uint64]time.Time{}, map[uint64]time.Time{}
	var id, running uint64
	arrive := func(now time.Time, rank int) {
		id++
		switch d := q.Arrive(now, offerAt(now, id, "a", rank, 200*time.Millisecond)); d.Result() {
		case AdmissionRun:
			running, ends = id, now.Add(10*time.Millisecond)
		case AdmissionWait:
			if rank == 2 {
				waited++
				untils[id], arrived[id] = d.Until(), now
			}
		}
	}
	for step := range 2000 {
		now := begin.Add(time.Duration(step) * time.Millisecond)
		if !now.Before(ends) {
			started := q.Finish(now, running, true)
			ends = begin.Add(time.Hour)
			if len(started) > 0 {
				running, ends = started[0], now.Add(10*time.Millisecond)
				if _, known := untils[running]; known {
					ran++
					delete(untils, running)
				}
			}
		}
		for waiting, until := range untils {
			if !now.Before(until) && q.Withdraw(waiting) {
				refusedAfter += now.Sub(arrived[waiting])
				delete(untils, waiting)
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

// Guards against requests that wait for a place which more urgent ones take, and are refused late.
func TestOvertaking(t *testing.T) {
	t.Run("those that wait run", func(t *testing.T) {
		refusedAfter, ran, waited := overtaken(true)
		if ran*10 < waited*9 {
			t.Errorf("%d of %d requests that waited ran, want 9 of 10; the others waited %v together", ran, waited, refusedAfter)
		}
	})
	t.Run("nobody overtakes", func(t *testing.T) {
		is := is.New(t)
		_, ran, waited := overtaken(false)
		is.Equal(ran, waited)
	})
	t.Run("calls are left out", func(t *testing.T) {
		is := is.New(t)
		p := newPressure()
		call := offerAt(begin, 1, "a", 0, time.Second).WithNested(true)
		p.admitted(begin, call, 1)
		is.Equal(p.overtaking(begin, offerAt(begin, 2, "a", 2, time.Second), 1), 0.0)
		p.admitted(begin, offerAt(begin, 3, "a", 1, time.Second), 0.5)
		is.Equal(p.overtaking(begin, offerAt(begin, 2, "a", 2, time.Second), 1), 0.5)
		is.Equal(p.overtaking(begin, call, 1), 0.0)
	})
}
