package bladmit

import (
	"sync"
	"time"
)

const (
	// usualShare is the share of a route's requests that makes an exact waiting time a usual one. Callers set
	// theirs by configuration, so that it recurs; what is left of it when they come back does not.
	usualShare = 0.02
	// usualLeast is the least number of such requests.
	usualLeast = 5
	// timesMost bounds the waiting times that are counted for a route, and requestsMost the requests, after
	// which all counts are halved.
	timesMost    = 256
	requestsMost = 4000
	// routesMost bounds how many routes are remembered.
	routesMost = 4096
)

// ElapsedWaitEstimator tells how long a caller has been waiting already when it comes back after
// a refusal: it has less time left than callers of the route have at first. Its goal is nearer
// then than that of a new request. It is safe for concurrent use.
type ElapsedWaitEstimator struct {
	mutex  sync.Mutex
	routes map[string]*waits
}

// waits counts how long the callers of a route say that they will wait.
type waits struct {
	counts map[time.Duration]int
	total  int
}

// NewElapsedWaitEstimator returns an estimator that knows nothing.
func NewElapsedWaitEstimator() *ElapsedWaitEstimator {
	return &ElapsedWaitEstimator{routes: make(map[string]*waits)}
}

// Observe takes the time that a caller of a route has left and returns how long it
// has been waiting; 0 if it is new, or if that cannot be told.
func (p *ElapsedWaitEstimator) Observe(route string, left time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	w := p.routes[route]
	if w == nil {
		if len(p.routes) >= routesMost {
			clear(p.routes)
		}
		w = &waits{counts: make(map[time.Duration]int)}
		p.routes[route] = w
	}
	w.count(left)
	return w.waited(left)
}

func (w *waits) count(left time.Duration) {
	if w.total >= requestsMost || len(w.counts) >= timesMost {
		w.halve()
	}
	w.counts[left]++
	w.total++
}

// halve forgets the times that were seen once only.
func (w *waits) halve() {
	w.total = 0
	for each, count := range w.counts {
		if count /= 2; count == 0 {
			delete(w.counts, each)
			continue
		}
		w.counts[each] = count
		w.total += count
	}
}

// waited is the distance to the nearest usual time that is not shorter.
func (w *waits) waited(left time.Duration) time.Duration {
	nearest := time.Duration(-1)
	least := max(usualLeast, int(usualShare*float64(w.total)))
	for each, count := range w.counts {
		if count >= least && each >= left && (nearest < 0 || each < nearest) {
			nearest = each
		}
	}
	if nearest < 0 {
		return 0
	}
	return nearest - left
}
