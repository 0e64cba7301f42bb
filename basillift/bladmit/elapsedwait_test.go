package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const millisecond = time.Millisecond

// Guards against a retrying caller that precedes new requests which can still meet their soft deadline, and against
// callers with a short timeout of their own that are mistaken for retrying ones.
func TestElapsedWaitEstimator(t *testing.T) {
	e := NewElapsedWaitEstimator()
	for range 100 {
		e.Observe("browse", 1200*millisecond)
	}
	cases := []struct {
		name      string
		remaining time.Duration
		want      time.Duration
	}{
		{"a first attempt", 1200 * millisecond, 0},
		{"a retry", 800 * millisecond, 400 * millisecond},
		{"more time left than the common timeout", 1500 * millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(e.Observe("browse", c.remaining), c.want) })
	}
	t.Run("a second common timeout", func(t *testing.T) {
		is := is.New(t)
		for range 10 {
			e.Observe("browse", 600*millisecond)
		}
		is.Equal(e.Observe("browse", 600*millisecond), time.Duration(0))
		is.Equal(e.Observe("browse", 500*millisecond), 100*millisecond)
	})
	t.Run("a route whose callers all have different timeouts", func(t *testing.T) {
		is := is.New(t)
		for n := range 1000 {
			is.Equal(e.Observe("call", time.Duration(n)*millisecond), time.Duration(0))
		}
	})
	t.Run("the number of counted timeouts is bounded", func(t *testing.T) {
		is := is.New(t)
		for n := range 100_000 {
			e.Observe("many", time.Duration(n)*time.Microsecond)
		}
		is.True(len(e.routes["many"].counts) <= maxTimeouts)
	})
}

// Guards against late requests that delay those which can still meet their soft deadline. It tests the DeadlineQueue
// only.
func TestLateRequestsGoLast(t *testing.T) {
	q := warmedQueue(1, "a", 50*time.Millisecond)
	q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second))
	late := NewSlotRequest(2, "a", 1, baseTime.Add(-time.Millisecond), baseTime.Add(time.Second)).WithLatencyObjective(time.Second)
	assertResult(t, q.Arrive(baseTime, late), AdmissionWait)
	assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 3, "a", 1, time.Second)), AdmissionWait)
	assertStarted(t, q.Finish(baseTime, 1, true), 3)
	assertStarted(t, q.Finish(baseTime, 3, true), 2)
}
