package bladmit

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Clone returns a copy of the queue that shares no state with it. A request that arrives at the copy shows what the queue would
// decide, and changes nothing.
func (q *DeadlineQueue) Clone(now time.Time) *DeadlineQueue {
	c := *q
	c.running = cloneValues(q.running)
	c.waiting = make([]*deadlineEntry, 0, len(q.waiting))
	for _, e := range q.waiting {
		c.waiting = append(c.waiting, clonePointer(e))
	}
	c.routes = cloneValues(q.routes)
	c.limit = q.limit.clone(now)
	c.overtakingLoad.rates = cloneValues(q.overtakingLoad.rates)
	c.protection.ranks = cloneValues(q.protection.ranks)
	c.returns.next = maps.Clone(q.returns.next)
	c.displaced = slices.Clone(q.displaced)
	return &c
}

func (l *requestLimit) clone(now time.Time) requestLimit {
	c := *l
	if l.limiter == nil {
		return c
	}
	// A new limiter is full. It has the same tokens now if it was emptied as long ago as it takes to gain them.
	c.limiter = rate.NewLimiter(l.limiter.Limit(), l.limiter.Burst())
	gained := seconds(l.limiter.TokensAt(now) / float64(l.limiter.Limit()))
	c.limiter.AllowN(now.Add(-gained), l.limiter.Burst())
	return c
}

func clonePointer[T any](p *T) *T {
	c := *p
	return &c
}

// cloneValues copies a map and the values that it points to.
func cloneValues[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for k, v := range m {
		c[k] = clonePointer(v)
	}
	return c
}

// Estimate returns what Observe would return, and counts nothing.
func (e *ElapsedWaitEstimator) Estimate(route string, remaining time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := e.routes[route]
	if counts == nil {
		return 0
	}
	c := &timeoutCounts{counts: maps.Clone(counts.counts), total: counts.total}
	c.add(remaining)
	return c.elapsed(remaining)
}

// LikelyParent returns what AttributeCall would return, and attributes nothing.
func (e *ParentEstimator) LikelyParent(callRoute string) (parent Parent, found bool) {
	parent, total := e.likelyParent(callRoute)
	return parent, total > 0
}

// likelyParent returns the route that has most likely made a call, and the sum of the likelihoods of all running routes.
func (e *ParentEstimator) likelyParent(callRoute string) (parent Parent, total float64) {
	counts := e.callCounts[callRoute]
	maxLikelihood := 0.0
	for route, p := range e.routes {
		w := p.likelihood(counts[route])
		total += w
		if w > maxLikelihood || w == maxLikelihood && w > 0 && route < parent.route {
			parent, maxLikelihood = Parent{route: route, rank: p.rank, retryProbability: min(1, p.retries/float64(p.running))}, w
		}
	}
	return parent, total
}
