package bladmit

import (
	"math"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

const (
	// ReportInterval is the interval of the demand reports to the quota owner.
	ReportInterval = 100 * time.Millisecond
	// leaseDuration is how long a share is valid. The loss of one report does not end it.
	leaseDuration = 2 * ReportInterval
	// floorFraction sets the floor, the share that each daemon may use without a lease, as
	// a fraction of the failure domain's share divided by its daemons. The owner reserves
	// the floor of each daemon that reports no demand. If one daemon of four is busy, the
	// three reserved floors leave it 92% of the failure domain's share; with a fraction of
	// one half they would leave it 62%.
	floorFraction = 0.1
)

// QuotaShare is the part of a customer's limits that one daemon may use: calls/s and concurrent calls.
type QuotaShare struct {
	rate        float64
	concurrency float64
}

// NewQuotaShare returns a share of calls/s and concurrent calls, for decoding.
func NewQuotaShare(rate, concurrency float64) QuotaShare {
	return QuotaShare{rate: rate, concurrency: concurrency}
}

// Rate is in calls/s.
func (s QuotaShare) Rate() float64 { return s.rate }

// Concurrency is in concurrent calls.
func (s QuotaShare) Concurrency() float64 { return s.concurrency }

// Demand is the demand of one daemon's callers in the last interval, including refused
// calls. Running is the number of calls that run now; they can't be revoked.
type Demand struct {
	customer    string
	rate        float64
	concurrency int
	running     int
}

// NewDemand returns a demand of calls/s and concurrent calls, for decoding.
func NewDemand(customer string, rate float64, concurrency, running int) Demand {
	return Demand{customer: customer, rate: rate, concurrency: concurrency, running: running}
}

// Customer is the name of the customer that the calls count for.
func (d Demand) Customer() string { return d.customer }

// Rate is in calls/s.
func (d Demand) Rate() float64 { return d.rate }

// Concurrency is the maximum number of concurrent calls that was wanted.
func (d Demand) Concurrency() int { return d.concurrency }

// Running is the number of calls that run now.
func (d Demand) Running() int { return d.running }

// Topology holds the counts by which limits are divided. Domains and daemons include
// all known ones, whether reachable or not, so that both sides of a partition divide by
// the same number. Daemons and alive count daemons of the own failure domain only.
type Topology struct {
	domains int
	daemons int
	alive   int
}

// NewTopology returns a topology; each number is at least 1.
func NewTopology(domains, daemons, alive int) Topology {
	return Topology{domains: max(1, domains), daemons: max(1, daemons), alive: max(1, alive)}
}

// domainShare is the failure domain's share of a plan's limits.
func (t Topology) domainShare(p basillift.Plan) QuotaShare {
	n := float64(t.domains)
	return QuotaShare{rate: float64(p.Rate()) / n, concurrency: float64(p.Concurrency()) / n}
}

// floor is the share that each daemon may use without a lease.
func (t Topology) floor(p basillift.Plan) QuotaShare {
	s, n := t.domainShare(p), float64(t.daemons)
	return QuotaShare{rate: floorFraction * s.rate / n, concurrency: math.Floor(floorFraction * s.concurrency / n)}
}

// quorum returns the number of daemons of the failure domain among which the owner divides
// the limit, and the fraction of the limit that it may divide. With a majority of the
// daemons alive it may divide all of it, and reserves the floors of the others. With
// exactly half of them no other group can be a majority, and it may divide half. With
// fewer, another group may divide all of it.
func (t Topology) quorum() (daemons int, fraction float64) {
	switch {
	case 2*t.alive > t.daemons:
		return t.daemons, 1
	case 2*t.alive == t.daemons:
		return t.alive, 0.5
	default:
		return t.alive, 0
	}
}

// QuotaOwner selects the daemon that divides a customer's limits within a failure
// domain, out of its alive daemons. It returns false if there are none.
func QuotaOwner(customer string, alive []basillift.VMID) (basillift.VMID, bool) {
	top := blrendezvous.Top(blrendezvous.Key(customer), alive, 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}

// QuotaAllocator divides the limits of the customers for which one daemon is the quota owner.
// The sum of the leased shares never exceeds the failure domain's share. It is not safe
// for concurrent use.
type QuotaAllocator struct {
	customers map[string]*allocation
}

// allocation holds the leases of one customer by daemon.
type allocation struct {
	ownedSince time.Time
	leases     map[basillift.VMID]quotaLease
}

type quotaLease struct {
	demand Demand
	share  QuotaShare
	until  time.Time
}

// NewQuotaAllocator returns an allocator without leases.
func NewQuotaAllocator() *QuotaAllocator {
	return &QuotaAllocator{customers: make(map[string]*allocation)}
}

// Grant answers a daemon's demand with its share for the next two intervals. During
// the first two intervals after it became the owner it grants floors only, since leases
// of the previous owner may still be valid.
func (q *QuotaAllocator) Grant(now time.Time, from basillift.VMID, d Demand, p basillift.Plan, t Topology) QuotaShare {
	a := q.allocation(now, d.customer)
	a.expire(now)
	floor := t.floor(p)
	a.leases[from] = quotaLease{demand: d, share: a.leases[from].share, until: now.Add(leaseDuration)}
	daemons, fraction := t.quorum()
	if fraction == 0 || now.Sub(a.ownedSince) < leaseDuration {
		return a.setShare(from, floor)
	}
	domainShare := t.domainShare(p)
	withoutLease := float64(max(0, daemons-len(a.leases)))
	rate := a.fairShare(from, fraction*domainShare.rate-withoutLease*floor.rate, floor.rate,
		func(d Demand) float64 { return d.rate }, func(l quotaLease) float64 { return l.share.rate })
	concurrency := a.fairShare(from, fraction*domainShare.concurrency-withoutLease*floor.concurrency, floor.concurrency,
		func(d Demand) float64 { return float64(d.concurrency) },
		func(l quotaLease) float64 { return max(l.share.concurrency, float64(l.demand.running)) })
	return a.setShare(from, QuotaShare{rate: rate, concurrency: math.Floor(concurrency)})
}

// EvictIdle removes customers without valid leases. Call it every few seconds.
func (q *QuotaAllocator) EvictIdle(now time.Time) {
	for name, a := range q.customers {
		a.expire(now)
		if len(a.leases) == 0 {
			delete(q.customers, name)
		}
	}
}

func (q *QuotaAllocator) allocation(now time.Time, customer string) *allocation {
	a := q.customers[customer]
	if a == nil {
		a = &allocation{ownedSince: now, leases: make(map[basillift.VMID]quotaLease)}
		q.customers[customer] = a
	}
	return a
}

func (a *allocation) expire(now time.Time) {
	for id, l := range a.leases {
		if now.After(l.until) {
			delete(a.leases, id)
		}
	}
}

func (a *allocation) setShare(from basillift.VMID, s QuotaShare) QuotaShare {
	l := a.leases[from]
	l.share = s
	a.leases[from] = l
	return s
}

// fairShare is the max-min fair share of one daemon, limited to the part of the pool that
// is not leased to others. The part that no daemon demands is divided equally, so that a
// rise in demand need not wait for the next report.
func (a *allocation) fairShare(from basillift.VMID, pool, floor float64, demanded func(Demand) float64, allocated func(quotaLease) float64) float64 {
	demands := make([]float64, 0, len(a.leases))
	available := pool
	for id, l := range a.leases {
		demands = append(demands, max(floor, demanded(l.demand)))
		if id != from {
			available -= max(floor, allocated(l))
		}
	}
	level, spare := maxMinLevel(demands, pool)
	share := min(max(floor, demanded(a.leases[from].demand)), level) + spare
	return max(floor, min(math.Ceil(share), available))
}

// maxMinLevel returns the level to which demands are limited so that their sum fits the
// pool. If all demands fit, the level is infinite and spare is the remainder per demand.
// It sorts demands.
func maxMinLevel(demands []float64, pool float64) (level, spare float64) {
	slices.Sort(demands)
	remaining := pool
	for i, d := range demands {
		n := float64(len(demands) - i)
		if d*n > remaining {
			return remaining / n, 0
		}
		remaining -= d
	}
	return math.Inf(1), remaining / float64(len(demands))
}
