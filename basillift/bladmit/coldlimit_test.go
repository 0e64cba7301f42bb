package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// coldQueue returns a warmed queue with 11 slots and the limit of a cold target.
func coldQueue(perSecond float64) *DeadlineQueue {
	q := warmedQueue(11, "a", 60*time.Millisecond)
	q.SetColdLimit(baseTime, perSecond, true)
	return q
}

// Guards against a cold target that gets requests by its own limit, or those saved up before it was cold.
func TestTwoReasonsForARequestLimit(t *testing.T) {
	perSecond := func(q *DeadlineQueue) float64 { return float64(q.limit.limiter.Limit()) }
	t.Run("the lower one holds", func(t *testing.T) {
		is := is.New(t)
		q := limitedQueue(40)
		q.SetColdLimit(baseTime, 11, true)
		is.Equal(perSecond(q), 11.0)
		q.SetRequestLimit(baseTime, 4, true)
		is.Equal(perSecond(q), 4.0)
		q.SetRequestLimit(baseTime, 0, false)
		is.Equal(perSecond(q), 11.0)
		q.SetRequestLimit(baseTime, 40, true)
		q.SetColdLimit(baseTime, 0, false)
		is.Equal(perSecond(q), 40.0)
		q.SetRequestLimit(baseTime, 0, false)
		is.True(!q.limit.active())
	})
	t.Run("no request is saved up before a cold limit begins", func(t *testing.T) {
		q := limitedQueue(40)
		q.SetColdLimit(baseTime, 10, true)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", BestRank, 2*time.Second)), AdmissionWait)
		assertStarted(t, q.Dispatch(baseTime.Add(99*time.Millisecond)))
		assertStarted(t, q.Dispatch(baseTime.Add(100*time.Millisecond)), 1)
	})
	t.Run("a cold limit that is set again keeps its pace", func(t *testing.T) {
		q := coldQueue(10)
		q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 0, 2*time.Second))
		for elapsed := time.Millisecond; elapsed < 100*time.Millisecond; elapsed += time.Millisecond {
			assertStarted(t, q.SetColdLimit(baseTime.Add(elapsed), 10, true))
		}
		assertStarted(t, q.SetColdLimit(baseTime.Add(101*time.Millisecond), 10, true), 1)
	})
	t.Run("waiting requests are not refused for a limit that ends within milliseconds", func(t *testing.T) {
		is := is.New(t)
		q := warmedQueue(1, "a", 60*time.Millisecond)
		for id := uint64(1); id < 5; id++ {
			q.Arrive(baseTime, slotRequest(baseTime, id, "a", 0, 300*time.Millisecond))
		}
		q.SetColdLimit(baseTime, 1, true)
		is.Equal(q.RemoveUnservable(baseTime.Add(coldGrace-1)), nil)
		next, known := q.NextStart(baseTime.Add(time.Millisecond))
		is.True(known && next == coldGrace-time.Millisecond)
		is.Equal(q.RemoveUnservable(baseTime.Add(coldGrace)), []uint64{2, 3, 4})
	})
}
