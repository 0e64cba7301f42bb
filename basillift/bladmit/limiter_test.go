package bladmit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

const (
	domains    = 3
	perDomain  = 4
	planRate   = 1200
	simSeconds = 10
)

// daemons is a mesh of 12 daemons in 3 failure domains that limit one customer.
type daemons struct {
	limiters [domains * perDomain]*Limiter
	owners   [domains * perDomain]*Owner
	cutOff   int // daemon that can't reach its owner, or -1
	group    int // daemons of a failure domain that reach each other
	plan     basillift.Plan
}

func newDaemons(cutOff, group int) *daemons {
	d := &daemons{cutOff: cutOff, group: group, plan: basillift.NewPlan("basic", nil, planRate, 0, "")}
	for i := range d.limiters {
		d.limiters[i], d.owners[i] = NewLimiter(), NewOwner()
		d.limiters[i].SetTopology(topology())
	}
	return d
}

func topology() Topology { return NewTopology(domains, perDomain, perDomain) }

func name(i int) basillift.VMID { return basillift.VMID(fmt.Sprintf("vm-%02d", i)) }

// ask sends a demand to the owner in the daemon's failure domain.
func (d *daemons) ask(now time.Time, i int, demand Demand) {
	if i == d.cutOff {
		return
	}
	first := i / d.group * d.group
	var alive []basillift.VMID
	for k := first; k < first+d.group; k++ {
		alive = append(alive, name(k))
	}
	id, _ := QuotaOwner(demand.customer, alive)
	for k := first; k < first+d.group; k++ {
		if name(k) == id {
			d.limiters[i].Granted(now, now, demand.customer, d.owners[k].Grant(now, name(i), demand, d.plan, NewTopology(domains, perDomain, d.group)))
		}
	}
}

func (d *daemons) call(now time.Time, i int) bool {
	p := d.limiters[i].Allow(now, "kobuleti", d.plan)
	if p == LimitNeedsQuota {
		d.ask(now, i, d.limiters[i].Demand(now, "kobuleti"))
		p = d.limiters[i].Allow(now, "kobuleti", d.plan)
	}
	if p == LimitAllowed {
		d.limiters[i].Finished(now, "kobuleti")
	}
	return p == LimitAllowed
}

// run offers calls at the given rate to each daemon and returns the calls/s allowed
// overall and in the busiest second, without the first second.
func (d *daemons) run(offered [domains * perDomain]float64, seed int64) (mean, worst float64) {
	rnd := rand.New(rand.NewSource(seed))
	total, second, allowed := 0, 0, 0
	for ms := range simSeconds * 1000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for i := range d.limiters {
			for left := offered[i] / 1000; rnd.Float64() < left; left-- {
				if d.call(now, i) {
					second++
				}
			}
			if ms%100 == i {
				for _, demand := range d.limiters[i].Demands(now) {
					d.ask(now, i, demand)
				}
			}
		}
		if ms%1000 == 999 {
			if ms > 1000 {
				total += second
				allowed = max(allowed, second)
			}
			second = 0
		}
	}
	return float64(total) / (simSeconds - 1), float64(allowed)
}

// static is the baseline: each daemon has 1/12 of the limit for good.
func static(offered [domains * perDomain]float64) float64 {
	sum := 0.0
	for _, o := range offered {
		sum += min(o, planRate/float64(domains*perDomain))
	}
	return sum
}

// Guards against a customer that gets more than its limit, or much less while its
// demand is uneven over daemons.
func TestMeshWideRate(t *testing.T) {
	uneven := [12]float64{800, 50, 10, 0, 700, 10, 10, 10, 900, 0, 0, 0}
	cases := []struct {
		name    string
		offered [12]float64
		cutOff  int
		group   int
		least   float64
	}{
		{"even", [12]float64{200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200}, -1, 4, 0.95},
		{"uneven within failure domains", uneven, -1, 4, 0.85},
		{"one failure domain only", [12]float64{1500, 200, 50, 0}, -1, 4, 0.25},
		{"busiest daemon can't reach its owner", uneven, 8, 4, 0.45},
		{"each failure domain split in halves", uneven, -1, 2, 0.45},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			mean, worst := newDaemons(tc.cutOff, tc.group).run(tc.offered, 1)
			t.Logf("limit %d/s: allowed %.0f/s (error %+.1f%%), busiest second %.0f; static split %.0f/s",
				planRate, mean, 100*(mean/planRate-1), worst, static(tc.offered))
			is.New(t).True(worst <= planRate*1.1+domains*perDomain)
			is.New(t).True(mean <= planRate*1.01)
			is.New(t).True(mean >= tc.least*planRate)
		})
	}
}

// Guards against two owners that each give out the whole limit.
func TestOwner(t *testing.T) {
	p := basillift.NewPlan("basic", nil, 0, 24, "")
	demand := NewDemand("kobuleti", 0, 8, 0)
	warm := func() *Owner {
		o := NewOwner()
		o.Grant(epoch, name(0), demand, p, topology())
		return o
	}
	later := epoch.Add(lease)

	t.Run("new owner grants floors", func(t *testing.T) {
		is.New(t).Equal(NewOwner().Grant(epoch, name(0), demand, p, topology()).Concurrency(), 0.0)
	})
	t.Run("minority grants floors", func(t *testing.T) {
		is.New(t).Equal(warm().Grant(later, name(0), demand, p, NewTopology(3, 4, 1)).Concurrency(), 0.0)
	})
	t.Run("nothing on lease is given twice", func(t *testing.T) {
		o, sum := warm(), 0.0
		for i := range perDomain {
			sum += o.Grant(later, name(i), demand, p, topology()).Concurrency()
		}
		is.New(t).Equal(sum, 8.0)
	})
	t.Run("running calls count until they end", func(t *testing.T) {
		o := warm()
		o.Grant(later, name(0), NewDemand("kobuleti", 0, 8, 5), p, topology())
		got := o.Grant(later, name(1), demand, p, topology()).Concurrency()
		is.New(t).True(got <= 3)
	})
}
