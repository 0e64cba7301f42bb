package bladmit

import (
	"math"
	"time"
)

const (
	// starvedFraction is the fraction of the served ratio of all ranks together below which a rank counts as starved.
	starvedFraction = 0.25
	// starvationTimeConstant is the time constant of the served ratios. A burst of some seconds starves no rank for long, and
	// protection during bursts would cost more urgent ranks more than it gains.
	starvationTimeConstant = 10 * time.Second
	// protectedShare is the largest share of the started requests that may have gone first because their rank starves.
	protectedShare = 0.25
	// maxProtectedCredit bounds how many protected requests may follow one another.
	maxProtectedCredit = 2.0
	// minServedWeight is the number of recent observations from which a rank's served ratio is reliable.
	minServedWeight = 16.0
)

// rankProtection keeps worse ranks from permanent starvation: now and then a request of a starved rank goes first. The
// served ratios are those that callers' daemons report; a target sees only attempts, and a refused request makes several.
type rankProtection struct {
	ranks  map[int]*servedAverage
	credit float64
}

// servedAverage is the mean of the served ratios reported with the recent requests, with exponential decay.
type servedAverage struct {
	sum, weight float64
	updated     time.Time
}

func (a *servedAverage) decay(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(a.updated).Seconds()) / starvationTimeConstant.Seconds())
	a.sum, a.weight, a.updated = a.sum*factor, a.weight*factor, now
}

// observe records the served ratio that a caller's daemon reports with a request.
func (p *rankProtection) observe(now time.Time, rank int, ratio float64) {
	a := p.ranks[rank]
	if a == nil {
		if p.ranks == nil || len(p.ranks) >= maxRoutes {
			p.ranks = make(map[int]*servedAverage)
		}
		a = &servedAverage{}
		p.ranks[rank] = a
	}
	a.decay(now)
	a.sum += ratio
	a.weight++
}

// started records that a request starts, which earns a part of a protected place.
func (p *rankProtection) started() { p.credit = min(maxProtectedCredit, p.credit+protectedShare) }

// giveBack returns a protected place that a request could not use.
func (p *rankProtection) giveBack() { p.credit = min(maxProtectedCredit, p.credit+1) }

// take reports whether a request of the rank goes before others because its rank starves, and the rank whose place it
// gets. It counts the request if so. A rank that is served better than a more urgent one is never protected.
func (p *rankProtection) take(now time.Time, rank int) (asRank int, protected bool) {
	own := p.ranks[rank]
	if p.credit < 1 || own == nil || own.weight < minServedWeight {
		return rank, false
	}
	asRank = rank
	sum, weight := 0.0, 0.0
	for other, a := range p.ranks {
		a.decay(now)
		sum, weight = sum+a.sum, weight+a.weight
		if other < rank && a.sum*own.weight < own.sum*a.weight {
			return rank, false
		}
		if a.weight >= 1 {
			asRank = min(asRank, other)
		}
	}
	if own.sum*weight >= starvedFraction*sum*own.weight {
		return rank, false
	}
	p.credit--
	return asRank, true
}
