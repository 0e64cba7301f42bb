package bladmit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const millisecond = time.Millisecond

// Guards against a caller that comes back being served before new ones whose goal can still be kept, and against
// callers with a short time-out of their own being taken for such.
func TestPatience(t *testing.T) {
	p := NewElapsedWaitEstimator()
	for range 100 {
		p.Observe("browse", 1200*millisecond)
	}
	cases := []struct {
		name string
		left time.Duration
		want time.Duration
	}{
		{"a new request", 1200 * millisecond, 0},
		{"one that comes back", 800 * millisecond, 400 * millisecond},
		{"one with more time than usual", 1500 * millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(p.Observe("browse", c.left), c.want) })
	}
	t.Run("a second usual time", func(t *testing.T) {
		is := is.New(t)
		for range 10 {
			p.Observe("browse", 600*millisecond)
		}
		is.Equal(p.Observe("browse", 600*millisecond), time.Duration(0))
		is.Equal(p.Observe("browse", 500*millisecond), 100*millisecond)
	})
	t.Run("a route whose callers all have different times", func(t *testing.T) {
		is := is.New(t)
		for n := range 1000 {
			is.Equal(p.Observe("call", time.Duration(n)*millisecond), time.Duration(0))
		}
	})
	t.Run("the memory is bounded", func(t *testing.T) {
		is := is.New(t)
		for n := range 100_000 {
			p.Observe("many", time.Duration(n)*time.Microsecond)
		}
		is.True(len(p.routes["many"].counts) <= timesMost)
	})
}

// Guards against late requests that hold up those whose goal can be kept.
func TestLateRequestsGoLast(t *testing.T) {
	q := taught(1, "a", 50*time.Millisecond)
	q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second))
	late := NewSlotRequest(2, "a", 1, begin.Add(-time.Millisecond), begin.Add(time.Second)).WithLatencyObjective(time.Second)
	assertVerdict(t, q.Arrive(begin, late), AdmissionWait)
	assertVerdict(t, q.Arrive(begin, offerAt(begin, 3, "a", 1, time.Second)), AdmissionWait)
	assertStarted(t, q.Finish(begin, 1, true), 3)
	assertStarted(t, q.Finish(begin, 3, true), 2)
}
