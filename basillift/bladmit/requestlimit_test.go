package bladmit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// limitedQueue returns a warmed queue with 11 slots and a request limit.
func limitedQueue(perSecond float64) *DeadlineQueue {
	q := warmedQueue(11, "a", 60*time.Millisecond)
	q.SetRequestLimit(baseTime, perSecond, true)
	return q
}

// playLimited sends requests of two ranks to a limited target for a minute, in steps of 1 ms, and returns when they started.
// Each runs for 60 ms.
func playLimited(seed int64, perSecond float64, arrivalsPerSecond float64) (starts []time.Time) {
	rnd := rand.New(rand.NewSource(seed))
	q := limitedQueue(perSecond)
	ends := map[time.Time][]uint64{}
	id := uint64(0)
	for now := baseTime; now.Before(baseTime.Add(time.Minute)); now = now.Add(time.Millisecond) {
		started := q.Dispatch(now)
		for _, ended := range ends[now] {
			started = append(started, q.Finish(now, ended, true)...)
		}
		if rnd.Float64() < arrivalsPerSecond/1000 {
			id++
			if q.Arrive(now, slotRequest(now, id, "a", rnd.Intn(2), 300*time.Millisecond)).Result() == AdmissionRun {
				started = append(started, id)
			}
			q.RemoveUnservable(now)
		}
		for _, each := range started {
			starts = append(starts, now)
			end := now.Add(60 * time.Millisecond)
			ends[end] = append(ends[end], each)
		}
	}
	return starts
}

// mostInWindow returns the largest number of times within any window of the given length.
func mostInWindow(times []time.Time, window time.Duration) (most int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a target that gets more requests than it says it accepts, and against a limit that is not used up.
func TestRequestLimitHoldsInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, perSecond := range []float64{0.5, 1.3, 25.8, 73.5} {
		for seed := int64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%g per second, seed %d", perSecond, seed), func(t *testing.T) {
				starts := playLimited(seed, perSecond, 180)
				accepted := perSecond*window.Seconds() + perSecond*limitBurstTime.Seconds() + 1
				if most := mostInWindow(starts, window); float64(most) > accepted {
					t.Errorf("%d requests in %s, want at most %.1f", most, window, accepted)
				}
				if used := float64(len(starts)) / 60; used < 0.95*perSecond {
					t.Errorf("%.2f requests per second, want nearly %g", used, perSecond)
				}
			})
		}
	}
}

func TestRequestLimit(t *testing.T) {
	t.Run("a better rank goes first", func(t *testing.T) {
		q := limitedQueue(4)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, 2*time.Second)), AdmissionRun)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 1, 2*time.Second)), AdmissionWait)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 3, "a", 0, 2*time.Second)), AdmissionWait)
		assertStarted(t, q.Dispatch(baseTime.Add(249*time.Millisecond)))
		assertStarted(t, q.Dispatch(baseTime.Add(250*time.Millisecond)), 3)
	})
	t.Run("the next start is known", func(t *testing.T) {
		is := is.New(t)
		q := limitedQueue(4)
		q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, 2*time.Second))
		_, known := q.NextStart(baseTime)
		is.True(!known)
		q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 1, 2*time.Second))
		wait, known := q.NextStart(baseTime)
		is.True(known)
		is.Equal(wait, 250*time.Millisecond)
	})
	t.Run("the end of a limit starts waiting requests", func(t *testing.T) {
		q := limitedQueue(4)
		for id := uint64(1); id <= 3; id++ {
			q.Arrive(baseTime, slotRequest(baseTime, id, "a", 1, 2*time.Second))
		}
		assertStarted(t, q.SetRequestLimit(baseTime, 0, false), 2, 3)
	})
	t.Run("a limit of nothing still lets a request through from time to time", func(t *testing.T) {
		q := limitedQueue(0)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second)), AdmissionRun)
		q.Finish(baseTime, 1, true)
		assertResult(t, q.Arrive(baseTime.Add(9*time.Second), slotRequest(baseTime.Add(9*time.Second), 2, "a", 1, 200*time.Millisecond)), AdmissionRefuse)
		assertResult(t, q.Arrive(baseTime.Add(11*time.Second), slotRequest(baseTime.Add(11*time.Second), 3, "a", 1, 200*time.Millisecond)), AdmissionRun)
	})
}

// Guards against requests that wait until their deadline although the limit keeps them from starting before it.
func TestLoweredLimitRemovesUnservableRequests(t *testing.T) {
	is := is.New(t)
	q := limitedQueue(20)
	for id := uint64(1); id <= 10; id++ {
		q.Arrive(baseTime, slotRequest(baseTime, id, "a", 1, time.Second))
	}
	is.Equal(q.RemoveUnservable(baseTime), nil)
	assertStarted(t, q.SetRequestLimit(baseTime, 4, true))
	removed := q.RemoveUnservable(baseTime)
	// At 4 per second three more can start within the second less the service time.
	is.Equal(removed, []uint64{9, 10})
	is.Equal(q.RemoveUnservable(baseTime), nil)
}

// Guards against refused callers that all come back at the same moment.
func TestRefusedRequestsReturnInOrder(t *testing.T) {
	is := is.New(t)
	q := limitedQueue(10)
	var previous time.Duration
	refused := 0
	for id := uint64(1); id <= 12; id++ {
		decision := q.Arrive(baseTime, slotRequest(baseTime, id, "a", 1, 300*time.Millisecond))
		if decision.Result() != AdmissionRefuse {
			continue
		}
		is.Equal(decision.Reason(), basillift.ReasonOverload)
		if refused > 0 {
			is.Equal(decision.RetryAfter()-previous, 100*time.Millisecond)
		}
		previous = decision.RetryAfter()
		refused++
	}
	is.True(refused >= 6)
}
