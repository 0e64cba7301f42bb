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
	planRate   = 1200 // calls/s
	simSeconds = 10
)

// simMesh is a mesh of 12 daemons in 3 failure domains that limit one customer. Each daemon has a Limiter and the
// QuotaAllocator of quota.go.
type simMesh struct {
	limiters  [domains * perDomain]*Limiter
	owners    [domains * perDomain]*QuotaAllocator
	isolated  int // daemon that can't reach its quota owner, or -1
	groupSize int // number of daemons of a failure domain that reach each other
	plan      basillift.Plan
}

func newSimMesh(isolated, groupSize int) *simMesh {
	m := &simMesh{isolated: isolated, groupSize: groupSize, plan: basillift.NewPlan("basic", nil, planRate, 0, "")}
	for i := range m.limiters {
		m.limiters[i], m.owners[i] = NewLimiter(), NewQuotaAllocator()
		m.limiters[i].SetTopology(topology())
	}
	return m
}

func topology() Topology { return NewTopology(domains, perDomain, perDomain) }

func vmID(i int) basillift.VMID { return basillift.VMID(fmt.Sprintf("vm-%02d", i)) }

// sendDemand sends a demand to the quota owner in the daemon's failure domain and applies the grant.
func (m *simMesh) sendDemand(now time.Time, i int, demand Demand) {
	if i == m.isolated {
		return
	}
	first := i / m.groupSize * m.groupSize
	var alive []basillift.VMID
	for k := first; k < first+m.groupSize; k++ {
		alive = append(alive, vmID(k))
	}
	id, _ := QuotaOwner(demand.customer, alive)
	for k := first; k < first+m.groupSize; k++ {
		if vmID(k) == id {
			m.limiters[i].ApplyGrant(now, now, demand.customer, m.owners[k].Grant(now, vmID(i), demand, m.plan, NewTopology(domains, perDomain, m.groupSize)))
		}
	}
}

func (m *simMesh) call(now time.Time, i int) bool {
	decision := m.limiters[i].Allow(now, "kobuleti", m.plan)
	if decision == LimitNeedsQuota {
		m.sendDemand(now, i, m.limiters[i].Demand(now, "kobuleti"))
		decision = m.limiters[i].Allow(now, "kobuleti", m.plan)
	}
	if decision == LimitAllowed {
		m.limiters[i].Finished(now, "kobuleti")
	}
	return decision == LimitAllowed
}

// run sends calls at the given rate in calls/s to each daemon. It returns the mean of the
// allowed calls/s and their maximum in any second, both without the first second.
func (m *simMesh) run(offered [domains * perDomain]float64, seed int64) (meanRate, maxRate float64) {
	rnd := rand.New(rand.NewSource(seed))
	total, thisSecond, busiest := 0, 0, 0
	for ms := range simSeconds * 1000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for i := range m.limiters {
			for remaining := offered[i] / 1000; rnd.Float64() < remaining; remaining-- {
				if m.call(now, i) {
					thisSecond++
				}
			}
			if ms%100 == i {
				for _, demand := range m.limiters[i].Demands(now) {
					m.sendDemand(now, i, demand)
				}
			}
		}
		if ms%1000 == 999 {
			if ms > 1000 {
				total += thisSecond
				busiest = max(busiest, thisSecond)
			}
			thisSecond = 0
		}
	}
	return float64(total) / (simSeconds - 1), float64(busiest)
}

// staticLimit is the baseline in calls/s, for a fixed 1/12 of the limit at each daemon.
func staticLimit(offered [domains * perDomain]float64) float64 {
	sum := 0.0
	for _, o := range offered {
		sum += min(o, planRate/float64(domains*perDomain))
	}
	return sum
}

// Guards against a customer that gets more than its limit, or much less when its
// demand is uneven across daemons.
func TestMeshWideRate(t *testing.T) {
	uneven := [12]float64{800, 50, 10, 0, 700, 10, 10, 10, 900, 0, 0, 0}
	cases := []struct {
		name        string
		offered     [12]float64
		isolated    int
		groupSize   int
		minFraction float64
	}{
		{"even", [12]float64{200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200}, -1, 4, 0.95},
		{"uneven within failure domains", uneven, -1, 4, 0.85},
		{"one failure domain only", [12]float64{1500, 200, 50, 0}, -1, 4, 0.25},
		{"busiest daemon can't reach its quota owner", uneven, 8, 4, 0.45},
		{"each failure domain partitioned into halves", uneven, -1, 2, 0.45},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			meanRate, maxRate := newSimMesh(tc.isolated, tc.groupSize).run(tc.offered, 1)
			t.Logf("limit %d/s: allowed %.0f/s (error %+.1f%%), busiest second %.0f; static split %.0f/s",
				planRate, meanRate, 100*(meanRate/planRate-1), maxRate, staticLimit(tc.offered))
			is.New(t).True(maxRate <= planRate*1.1+domains*perDomain)
			is.New(t).True(meanRate <= planRate*1.01)
			is.New(t).True(meanRate >= tc.minFraction*planRate)
		})
	}
}

// Guards against two quota owners that each grant the whole limit, and against one that grants
// more than is left. It tests the QuotaAllocator of quota.go without a Limiter.
func TestQuotaGrants(t *testing.T) {
	p := basillift.NewPlan("basic", nil, 0, 24, "")
	demand := NewDemand("kobuleti", 0, 8, 0)
	warm := func() *QuotaAllocator {
		o := NewQuotaAllocator()
		o.Grant(epoch, vmID(0), demand, p, topology())
		return o
	}
	later := epoch.Add(leaseDuration)

	t.Run("new owner grants floors", func(t *testing.T) {
		is.New(t).Equal(NewQuotaAllocator().Grant(epoch, vmID(0), demand, p, topology()).Concurrency(), 0.0)
	})
	t.Run("minority grants floors", func(t *testing.T) {
		is.New(t).Equal(warm().Grant(later, vmID(0), demand, p, NewTopology(3, 4, 1)).Concurrency(), 0.0)
	})
	t.Run("leased shares are not granted twice", func(t *testing.T) {
		o, sum := warm(), 0.0
		for i := range perDomain {
			sum += o.Grant(later, vmID(i), demand, p, topology()).Concurrency()
		}
		is.New(t).Equal(sum, 8.0)
	})
	t.Run("running calls count until they end", func(t *testing.T) {
		o := warm()
		o.Grant(later, vmID(0), NewDemand("kobuleti", 0, 8, 5), p, topology())
		got := o.Grant(later, vmID(1), demand, p, topology()).Concurrency()
		is.New(t).True(got <= 3)
	})
}
