package bladmit

import (
	"math"
	"time"
)

const (
	// pressureMemory is how far back admitted work counts: some slot times, so that a burst shows at once.
	pressureMemory = time.Second
	// pressureMost bounds the share of the slots that overtakers are expected to take, so that a wait stays finite.
	pressureMost = 0.9
)

// pressure tells how much work arrives that overtakes those who wait: requests of better ranks. Calls of targets are
// left out on both sides, because their place changes with what else is served.
type pressure struct{ rates map[int]*workRate }

// workRate is work in seconds a second, which decays within pressureMemory.
type workRate struct {
	value   float64
	counted time.Time
}

func newPressure() pressure { return pressure{rates: make(map[int]*workRate)} }

func (r *workRate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.counted).Seconds())/pressureMemory.Seconds())
}

// admitted notes the work of an offer in seconds.
func (p pressure) admitted(now time.Time, o SlotRequest, work float64) {
	if o.nested {
		return
	}
	r := p.rates[o.rank]
	if r == nil {
		if len(p.rates) >= lanesMost {
			clear(p.rates)
		}
		r = &workRate{}
		p.rates[o.rank] = r
	}
	r.value, r.counted = r.at(now)+work/pressureMemory.Seconds(), now
}

// overtaking is the share of the slots that goes to offers which arrive later than an offer and go before it.
func (p pressure) overtaking(now time.Time, o SlotRequest, slots int) float64 {
	if o.nested {
		return 0
	}
	sum := 0.0
	for rank, r := range p.rates {
		if rank < o.rank {
			sum += r.at(now)
		}
	}
	return min(pressureMost, sum/float64(slots))
}
