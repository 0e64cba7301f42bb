package bladmit

import (
	"math"
	"time"
)

const (
	// overtakingTimeConstant is the time constant with which admitted work decays. It is a few service times long,
	// so that a burst takes effect at once.
	overtakingTimeConstant = time.Second
	// maxOvertakingFraction bounds the fraction of the slots that overtaking requests are expected to take, so that
	// the expected wait stays finite.
	maxOvertakingFraction = 0.9
)

// overtakingLoad measures the admitted work of each rank, from which follows how much of the target's capacity goes
// to requests that overtake a waiting one because their rank is better. Nested calls are left out: their work is not
// added, and none of the capacity is expected to go to requests that overtake them. The reason is that the rank of a
// nested call depends on its parent and on the served ratios of other routes.
type overtakingLoad struct{ rates map[int]*workRate }

// workRate is a rate of work in seconds of service time per second, with exponential decay.
type workRate struct {
	value   float64
	updated time.Time
}

func newOvertakingLoad() overtakingLoad { return overtakingLoad{rates: make(map[int]*workRate)} }

func (r *workRate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.updated).Seconds())/overtakingTimeConstant.Seconds())
}

// add counts an admitted request with its expected service time in seconds.
func (l overtakingLoad) add(now time.Time, request SlotRequest, work float64) {
	if request.nested {
		return
	}
	r := l.rates[request.rank]
	if r == nil {
		if len(l.rates) >= maxRoutes {
			clear(l.rates)
		}
		r = &workRate{}
		l.rates[request.rank] = r
	}
	r.value, r.updated = r.at(now)+work/overtakingTimeConstant.Seconds(), now
}

// fraction is the fraction of the slots that is expected to go to requests that arrive after the given one and
// precede it.
func (l overtakingLoad) fraction(now time.Time, request SlotRequest, slots float64) float64 {
	if request.nested {
		return 0
	}
	sum := 0.0
	for rank, r := range l.rates {
		if rank < request.rank {
			sum += r.at(now)
		}
	}
	return min(maxOvertakingFraction, sum/slots)
}

// fractionLate is the fraction of the slots that is expected to go to requests that arrive after the given one, which has a
// late place, and precede it: all that are admitted in time.
func (l overtakingLoad) fractionLate(now time.Time, request SlotRequest, slots float64) float64 {
	request.rank = math.MaxInt
	return l.fraction(now, request, slots)
}
