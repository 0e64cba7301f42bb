package blretry

import (
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

const chainDepth = 23

// chain is a row of services of which each calls the next one. A call at a layer
// fails on its own with the given probability, before it calls the next.
type chain struct {
	rnd      *rand.Rand
	failures float64
	out      int // layer of which all calls fail, or -1
	budget   *Budget
	calls    int
}

// naive tries each layer up to three times, as daemons without this package would.
func (c *chain) naive(layer int) bool {
	for range 3 {
		c.calls++
		if !c.fails(layer) && (layer == chainDepth-1 || c.naive(layer+1)) {
			return true
		}
		if c.calls > 20_000_000 {
			return false // enough to show the amplification
		}
	}
	return false
}

func (c *chain) fails(layer int) bool {
	return layer == c.out || c.rnd.Float64() < c.failures
}

// once sends a call down the chain without retries below the first layer.
func (c *chain) once() bool {
	for layer := range chainDepth {
		c.calls++
		if c.fails(layer) {
			return false
		}
	}
	return true
}

// budgeted is the call of the first caller's daemon.
func (c *chain) budgeted(now time.Time) bool {
	c.budget.RecordCall(now)
	for n := 0; ; n++ {
		if c.once() {
			return true
		}
		a := NewAttempt(n, 0, basillift.OutcomeUnknown, basillift.ReasonTarget, now.Add(10*time.Second))
		if !c.budget.Decide(now, a.WithIdempotent(true)).Retry() {
			return false
		}
	}
}

// amplification is calls in all layers for each caller's request, relative to a
// chain without retries under the same failures, and the part of good answers.
func amplification(seed int64, failures float64, out, requests int, retries bool) (factor, good float64) {
	run := func(mode int) (int, int) {
		c := &chain{rnd: rand.New(rand.NewSource(seed)), failures: failures, out: out}
		c.budget = NewBudget(c.rnd)
		ok := 0
		for range requests {
			answered := false
			switch mode {
			case 0:
				answered = c.once()
			case 1:
				answered = c.budgeted(epoch)
			case 2:
				answered = c.naive(0)
			}
			if answered {
				ok++
			}
		}
		return c.calls, ok
	}
	plain, _ := run(0)
	mode := 2
	if retries {
		mode = 1
	}
	calls, ok := run(mode)
	return float64(calls) / float64(plain), float64(ok) / float64(requests)
}

// Guards against retries that multiply over the layers of a call chain. Three naive
// tries at each layer are the baseline, with one request in an outage, where 3^12
// calls arrive at layer 11 for it.
func TestChain(t *testing.T) {
	cases := []struct {
		name     string
		failures float64
		out      int
		naive    int // requests of the baseline
		outage   bool
	}{
		{"5% of chains fail", 0.00223, -1, 5000, false},
		{"5% failures at each layer", 0.05, -1, 5000, false},
		{"outage at layer 11", 0, 11, 1, true},
		{"outage at layer 11 and 5% failures", 0.05, 11, 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			factor, good := amplification(1, tc.failures, tc.out, 5000, true)
			naive, naiveGood := amplification(1, tc.failures, tc.out, tc.naive, false)
			t.Logf("budget: calls x%.3f, good %.1f%%; naive: calls x%.1f, good %.1f%%", factor, 100*good, naive, 100*naiveGood)
			is.New(t).True(factor <= 1.12)
			is.New(t).True(!tc.outage || naive > 1000*factor)
		})
	}
}
