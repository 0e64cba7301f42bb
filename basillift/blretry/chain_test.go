package blretry

import (
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

const chainDepth = 23

// chain is a chain of services in which each layer calls the next one. A call at a layer fails with the given
// probability before it calls the next layer.
type chain struct {
	rnd         *rand.Rand
	failures    float64
	failedLayer int // layer at which all calls fail, or -1
	budget      *Budget
	calls       int
}

// callWithRetryAtEachLayer makes up to three attempts at each layer, as daemons without this package would.
func (c *chain) callWithRetryAtEachLayer(layer int) bool {
	for range 3 {
		c.calls++
		if !c.fails(layer) && (layer == chainDepth-1 || c.callWithRetryAtEachLayer(layer+1)) {
			return true
		}
		if c.calls > 20_000_000 {
			return false // enough calls to show the amplification
		}
	}
	return false
}

func (c *chain) fails(layer int) bool {
	return layer == c.failedLayer || c.rnd.Float64() < c.failures
}

// callWithoutRetries sends a call down the chain without retries below the first layer.
func (c *chain) callWithoutRetries() bool {
	for layer := range chainDepth {
		c.calls++
		if c.fails(layer) {
			return false
		}
	}
	return true
}

// callWithBudget sends a call with the retries that the budget of the first caller's daemon allows.
func (c *chain) callWithBudget(now time.Time) bool {
	c.budget.RecordCall(now)
	for n := 0; ; n++ {
		if c.callWithoutRetries() {
			return true
		}
		a := NewAttempt(n, 0, basillift.OutcomeUnknown, basillift.ReasonTarget, now.Add(10*time.Second))
		if !c.budget.Decide(now, a.WithIdempotent(true)).Retry() {
			return false
		}
	}
}

// amplification returns the number of calls in all layers, relative to a chain without retries under the same
// failures, and the share of requests that are answered without a failure. The retries are those of a budget if
// withBudget is set, and those of each layer otherwise.
func amplification(seed int64, failures float64, failedLayer, requests int, withBudget bool) (factor, answeredShare float64) {
	run := func(mode int) (int, int) {
		c := &chain{rnd: rand.New(rand.NewSource(seed)), failures: failures, failedLayer: failedLayer}
		c.budget = NewBudget(c.rnd)
		answeredRequests := 0
		for range requests {
			answered := false
			switch mode {
			case 0:
				answered = c.callWithoutRetries()
			case 1:
				answered = c.callWithBudget(epoch)
			case 2:
				answered = c.callWithRetryAtEachLayer(0)
			}
			if answered {
				answeredRequests++
			}
		}
		return c.calls, answeredRequests
	}
	baseline, _ := run(0)
	mode := 2
	if withBudget {
		mode = 1
	}
	calls, answeredRequests := run(mode)
	return float64(calls) / float64(baseline), float64(answeredRequests) / float64(requests)
}

// Guards against retries that multiply over the layers of a call chain. The baseline makes three attempts at each
// layer. In an outage it sends only one request, since 3^12 calls arrive at layer 11 for it.
func TestChain(t *testing.T) {
	cases := []struct {
		name             string
		failures         float64
		failedLayer      int
		baselineRequests int
		outage           bool
	}{
		{"5% of chains fail", 0.00223, -1, 5000, false},
		{"5% failures at each layer", 0.05, -1, 5000, false},
		{"outage at layer 11", 0, 11, 1, true},
		{"outage at layer 11 and 5% failures", 0.05, 11, 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			factor, answeredShare := amplification(1, tc.failures, tc.failedLayer, 5000, true)
			baselineFactor, baselineAnsweredShare := amplification(1, tc.failures, tc.failedLayer, tc.baselineRequests, false)
			t.Logf("budget: calls x%.3f, answered %.1f%%; baseline: calls x%.1f, answered %.1f%%", factor, 100*answeredShare, baselineFactor, 100*baselineAnsweredShare)
			is.New(t).True(factor <= 1.12)
			is.New(t).True(!tc.outage || baselineFactor > 1000*factor)
		})
	}
}
