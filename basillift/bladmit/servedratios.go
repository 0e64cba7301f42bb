package bladmit

import "time"

const (
	// shareWeight is the share of a new observation in a lane's served share.
	shareWeight = 1.0 / 16
	// shareNeeded is how many observations make a served share count.
	shareNeeded = 16
	// shareSlack is by how much more urgent requests may be served less before others stand back.
	shareSlack = 0.05
	// shareLifetime is how long a lane counts after its last observation.
	shareLifetime = 5 * time.Second
)

// ServedRatios tells how much of what callers ask for is served, by lane. It is not safe for concurrent use.
type ServedRatios struct{ lanes map[string]*laneShare }

// laneShare is the served share of a lane.
type laneShare struct {
	rank   int
	served float64
	count  int
	seen   time.Time
}

// NewServedRatios returns ratios that know nothing.
func NewServedRatios() *ServedRatios { return &ServedRatios{lanes: make(map[string]*laneShare)} }

// Observe notes an outcome of a lane with a rank, from 0 for not served to 1 for served.
func (s *ServedRatios) Observe(now time.Time, lane string, rank int, outcome float64) {
	l := s.lanes[lane]
	if l == nil {
		if len(s.lanes) >= lanesMost {
			clear(s.lanes)
		}
		l = &laneShare{served: 1}
		s.lanes[lane] = l
	}
	l.rank, l.seen = rank, now
	l.count++
	l.served += (outcome - l.served) * shareWeight
}

// Served is the served share of a lane; 1 if nothing is known.
func (s *ServedRatios) Served(lane string) float64 {
	if l := s.lanes[lane]; l != nil {
		return l.served
	}
	return 1
}

// ShouldYield reports whether calls for requests of a rank, of which a share is served, must stand back: clearly less is
// served of something more urgent, for which they are in the way.
func (s *ServedRatios) ShouldYield(now time.Time, rank int, served float64, inTheWay func(lane string) bool) bool {
	for lane, l := range s.lanes {
		known := l.count >= shareNeeded && now.Sub(l.seen) < shareLifetime
		if known && l.rank < rank && l.served < served-shareSlack && inTheWay(lane) {
			return true
		}
	}
	return false
}
