package bladmit

import "time"

const (
	// servedRatioSmoothing is the smoothing factor of a route's served ratio.
	servedRatioSmoothing = 1.0 / 16
	// minServedObservations is the number of observations from which a served ratio is reliable.
	minServedObservations = 16
	// servedRatioTolerance is the difference by which the served ratio of more urgent requests may be lower before
	// less urgent ones yield.
	servedRatioTolerance = 0.05
	// servedRatioLifetime is how long a served ratio is valid after its last observation.
	servedRatioLifetime = 5 * time.Second
)

// ServedRatios keeps the fraction of the callers' requests that is served, by route, and decides which nested calls
// must yield because more urgent requests are served less. A request is served unless its final answer is a refusal
// for overload (ReasonOverload); other failures count as served. It is not safe for concurrent use.
type ServedRatios struct{ routes map[string]*routeRatio }

// routeRatio is the moving average of a route's served ratio.
type routeRatio struct {
	rank         int
	served       float64
	count        int
	lastObserved time.Time
}

// NewServedRatios returns ratios without observations.
func NewServedRatios() *ServedRatios { return &ServedRatios{routes: make(map[string]*routeRatio)} }

// Observe records the served ratio that a caller reports with a request of a route, and the request's rank. The ratio
// is from 0 if none of the caller's recent requests of the route were served to 1 if all were.
func (s *ServedRatios) Observe(now time.Time, route string, rank int, ratio float64) {
	r := s.routes[route]
	if r == nil {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		r = &routeRatio{served: 1}
		s.routes[route] = r
	}
	r.rank, r.lastObserved = rank, now
	r.count++
	r.served += (ratio - r.served) * servedRatioSmoothing
}

// Served is the served ratio of a route, from 0 to 1. It is 1 without observations.
func (s *ServedRatios) Served(route string) float64 {
	if r := s.routes[route]; r != nil {
		return r.served
	}
	return 1
}

// ShouldYield reports whether nested calls must yield, which means that they keep the rank of their parent instead of
// going before all configured ranks. The rank is that of the parent, and the ratio the fraction of its route's requests
// that are served together with their nested call. The calls must yield if a route of a more urgent rank has a clearly
// lower served ratio and they compete with it, as competes reports.
func (s *ServedRatios) ShouldYield(now time.Time, rank int, ratio float64, competes func(route string) bool) bool {
	for route, r := range s.routes {
		reliable := r.count >= minServedObservations && now.Sub(r.lastObserved) < servedRatioLifetime
		if reliable && r.rank < rank && r.served < ratio-servedRatioTolerance && competes(route) {
			return true
		}
	}
	return false
}
