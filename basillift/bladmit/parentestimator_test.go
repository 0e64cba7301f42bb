package bladmit

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// parentLoad describes the requests of a route at a target: their rank, the mean number that run at a time, and the
// calls per second that each makes.
type parentLoad struct {
	route string
	rank  int
	mean  float64
	calls float64
}

// attributedFraction simulates 40 s of requests with a mean run time of 150 ms. It returns the fraction of the calls in
// the second half that were attributed to a rank.
func attributedFraction(loads []parentLoad, rank int) float64 {
	const step, duration, meanRunSeconds = 0.001, 40.0, 0.15
	rnd := rand.New(rand.NewSource(1))
	e := NewParentEstimator()
	running := make([]int, len(loads))
	calls, correct := 0, 0
	for at := 0.0; at < duration; at += step {
		for i, p := range loads {
			if rnd.Float64() < p.mean/meanRunSeconds*step {
				running[i]++
				e.Started(p.route, p.rank, 0)
			}
			if rnd.Float64() < float64(running[i])/meanRunSeconds*step {
				running[i]--
				e.Ended(p.route, 0, 150*time.Millisecond)
			}
			if rnd.Float64() >= float64(running[i])*p.calls*step {
				continue
			}
			got, known := e.AttributeCall("call")
			if at < duration/2 {
				continue
			}
			calls++
			if known && got.Rank() == rank {
				correct++
			}
		}
	}
	return float64(correct) / float64(max(1, calls))
}

// Guards against calls that are attributed to requests which only run at the same time.
func TestParentEstimator(t *testing.T) {
	assertFound := func(t *testing.T, rank int, loads ...parentLoad) {
		t.Helper()
		if fraction := attributedFraction(loads, rank); fraction < 0.9 {
			t.Errorf("%.2f of the calls attributed to rank %d, want 0.9", fraction, rank)
		}
	}
	t.Run("the more frequent requests make the calls", func(t *testing.T) {
		assertFound(t, 2, parentLoad{"browse", 2, 5, 9}, parentLoad{"pay", 1, 2, 0})
	})
	t.Run("the less frequent requests make the calls", func(t *testing.T) {
		assertFound(t, 1, parentLoad{"browse", 2, 4, 0}, parentLoad{"pay", 1, 2, 9})
	})
	t.Run("no request runs", func(t *testing.T) {
		_, known := NewParentEstimator().AttributeCall("call")
		is.New(t).True(!known)
	})
	t.Run("a route whose requests have ended is no parent", func(t *testing.T) {
		is := is.New(t)
		e := NewParentEstimator()
		e.Started("a", 0, 1)
		e.Started("b", 2, 1)
		e.Started("b", 2, 0)
		e.Ended("a", 1, time.Second)
		parent, known := e.AttributeCall("call")
		is.True(known)
		is.Equal(parent.Route(), "b")
		is.Equal(parent.Rank(), 2)
		is.Equal(parent.RetryProbability(), 0.5)
	})
}

// Guards against nested calls that precede requests of a better rank, and against nested calls that wait behind
// requests of their own rank which have not started. It tests the DeadlineQueue only.
func TestNestedCallsPrecedeTheirRank(t *testing.T) {
	q := warmedQueue(1, "a", 10*time.Millisecond)
	q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 1, time.Second))
	q.Arrive(baseTime, slotRequest(baseTime, 2, "a", 2, 500*time.Millisecond))
	q.Arrive(baseTime, slotRequest(baseTime, 3, "a", 2, time.Second).WithNested(true))
	q.Arrive(baseTime, slotRequest(baseTime, 4, "a", 1, time.Second))
	assertStarted(t, q.Finish(baseTime, 1, true), 4)
	assertStarted(t, q.Finish(baseTime, 4, true), 3)
	assertStarted(t, q.Finish(baseTime, 3, true), 2)
}
