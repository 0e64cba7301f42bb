package bladmit

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// parentLoad is requests of a lane that run on a target: how many on average, their rank, and their calls a second each.
type parentLoad struct {
	lane  string
	rank  int
	mean  float64
	calls float64
}

// attributed plays some time of requests that last 150 ms and returns the share of the calls, in the last half, that
// were put down to a rank.
func attributed(loads []parentLoad, rank int) float64 {
	const step, length, hold = 0.001, 40.0, 0.15
	rnd := rand.New(rand.NewSource(1))
	l := NewParentEstimator()
	running := make([]int, len(loads))
	calls, found := 0, 0
	for at := 0.0; at < length; at += step {
		for i, p := range loads {
			if rnd.Float64() < p.mean/hold*step {
				running[i]++
				l.Started(p.lane, p.rank, 0)
			}
			if rnd.Float64() < float64(running[i])/hold*step {
				running[i]--
				l.Ended(p.lane, 0, 150*time.Millisecond)
			}
			if rnd.Float64() >= float64(running[i])*p.calls*step {
				continue
			}
			got, known := l.Parent("call")
			if at < length/2 {
				continue
			}
			calls++
			if known && got.Rank() == rank {
				found++
			}
		}
	}
	return float64(found) / float64(max(1, calls))
}

// Guards against calls that take the rank of requests beside which they only happen to run.
func TestLineage(t *testing.T) {
	assertFound := func(t *testing.T, rank int, loads ...parentLoad) {
		t.Helper()
		if share := attributed(loads, rank); share < 0.9 {
			t.Errorf("%.2f of the calls have rank %d, want 0.9", share, rank)
		}
	}
	t.Run("most run requests call", func(t *testing.T) {
		assertFound(t, 2, parentLoad{"browse", 2, 5, 9}, parentLoad{"pay", 1, 2, 0})
	})
	t.Run("the less frequent requests call", func(t *testing.T) {
		assertFound(t, 1, parentLoad{"browse", 2, 4, 0}, parentLoad{"pay", 1, 2, 9})
	})
	t.Run("nothing runs", func(t *testing.T) {
		_, known := NewParentEstimator().Parent("call")
		is.New(t).True(!known)
	})
	t.Run("a lane that ended is no parent", func(t *testing.T) {
		is := is.New(t)
		l := NewParentEstimator()
		l.Started("a", 0, 1)
		l.Started("b", 2, 1)
		l.Started("b", 2, 0)
		l.Ended("a", 1, time.Second)
		parent, known := l.Parent("call")
		is.True(known)
		is.Equal(parent.Route(), "b")
		is.Equal(parent.Rank(), 2)
		is.Equal(parent.RetryProbability(), 0.5)
	})
}

// Guards against calls of less urgent requests that go before more urgent requests, and calls that wait behind
// requests which only begin.
func TestCallsGoBeforeTheirRank(t *testing.T) {
	q := taught(1, "a", 10*time.Millisecond)
	q.Arrive(begin, offerAt(begin, 1, "a", 1, time.Second))
	q.Arrive(begin, offerAt(begin, 2, "a", 2, 500*time.Millisecond))
	q.Arrive(begin, offerAt(begin, 3, "a", 2, time.Second).WithNested(true))
	q.Arrive(begin, offerAt(begin, 4, "a", 1, time.Second))
	assertStarted(t, q.Finish(begin, 1, true), 4)
	assertStarted(t, q.Finish(begin, 4, true), 3)
	assertStarted(t, q.Finish(begin, 3, true), 2)
}
