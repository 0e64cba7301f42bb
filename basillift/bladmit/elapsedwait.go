package bladmit

import (
	"sync"
	"time"
)

const (
	// commonTimeoutFraction is the fraction of a route's requests that must have exactly the same remaining time
	// for it to count as a configured timeout. Configured timeouts recur; the time that remains of them at a
	// retry does not.
	commonTimeoutFraction = 0.02
	// minCommonTimeoutCount is the minimum number of such requests.
	minCommonTimeoutCount = 5
	// maxTimeouts bounds the distinct timeouts that are counted for a route, and maxCountedRequests the requests.
	// All counts are halved when either is reached.
	maxTimeouts        = 256
	maxCountedRequests = 4000
	// maxElapsedWaitRoutes bounds the number of routes with counts; all are cleared when a further one appears.
	maxElapsedWaitRoutes = 4096
)

// ElapsedWaitEstimator estimates how long a caller has already waited when it retries after
// a refusal. Such a caller has less time left than callers of the route have on their first attempt, so
// its soft deadline is earlier than that of a new request. It is safe for concurrent use.
type ElapsedWaitEstimator struct {
	mutex  sync.Mutex
	routes map[string]*timeoutCounts
}

// timeoutCounts counts the requests of a route by the remaining time that their callers state.
type timeoutCounts struct {
	counts map[time.Duration]int
	total  int
}

// NewElapsedWaitEstimator returns an estimator without observations.
func NewElapsedWaitEstimator() *ElapsedWaitEstimator {
	return &ElapsedWaitEstimator{routes: make(map[string]*timeoutCounts)}
}

// Observe estimates how long the caller of a request has already waited, given the time that remains to it. It also
// counts the remaining time for later estimates. The estimate is 0 for a first attempt, and if the route has no common
// timeout of at least the remaining time.
func (e *ElapsedWaitEstimator) Observe(route string, remaining time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := e.routes[route]
	if counts == nil {
		if len(e.routes) >= maxElapsedWaitRoutes {
			clear(e.routes)
		}
		counts = &timeoutCounts{counts: make(map[time.Duration]int)}
		e.routes[route] = counts
	}
	counts.add(remaining)
	return counts.elapsed(remaining)
}

func (c *timeoutCounts) add(remaining time.Duration) {
	if c.total >= maxCountedRequests || len(c.counts) >= maxTimeouts {
		c.halve()
	}
	c.counts[remaining]++
	c.total++
}

// halve halves all counts and drops the timeouts that were counted only once.
func (c *timeoutCounts) halve() {
	c.total = 0
	for timeout, count := range c.counts {
		if count /= 2; count == 0 {
			delete(c.counts, timeout)
			continue
		}
		c.counts[timeout] = count
		c.total += count
	}
}

// elapsed is the difference to the shortest common timeout that is not below the remaining time.
func (c *timeoutCounts) elapsed(remaining time.Duration) time.Duration {
	nearest := time.Duration(-1)
	minCount := max(minCommonTimeoutCount, int(commonTimeoutFraction*float64(c.total)))
	for timeout, count := range c.counts {
		if count >= minCount && timeout >= remaining && (nearest < 0 || timeout < nearest) {
			nearest = timeout
		}
	}
	if nearest < 0 {
		return 0
	}
	return nearest - remaining
}
