package bladmit

import (
	"math"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

const (
	// ReportInterval is how often demand is reported to the quota owner.
	ReportInterval = 100 * time.Millisecond
	// lease is how long a share is valid; one lost report does not end it.
	lease = 2 * ReportInterval
	// floorShare is the part of an equal share that each daemon has without asking.
	// The owner must keep it back for daemons that don't ask: at half a share, one
	// busy daemon of four gets 62% of its failure domain's part, and 92% at a tenth.
	floorShare = 0.1
)

// QuotaShare is what one daemon may use of a customer's limits: calls/s and calls at once.
type QuotaShare struct {
	rate        float64
	concurrency float64
}

// NewQuotaShare returns a share, for decoding.
func NewQuotaShare(rate, concurrency float64) QuotaShare {
	return QuotaShare{rate: rate, concurrency: concurrency}
}

// Rate is in calls/s.
func (s QuotaShare) Rate() float64 { return s.rate }

// Concurrency is in calls at once.
func (s QuotaShare) Concurrency() float64 { return s.concurrency }

// Demand is what one daemon's callers asked for in the last interval, refused
// calls included. Running is the calls that run now; they can't be taken back.
type Demand struct {
	customer    string
	rate        float64
	concurrency int
	running     int
}

// NewDemand returns a demand, for decoding.
func NewDemand(customer string, rate float64, concurrency, running int) Demand {
	return Demand{customer: customer, rate: rate, concurrency: concurrency, running: running}
}

// Customer is whose calls they are.
func (d Demand) Customer() string { return d.customer }

// Rate is in calls/s.
func (d Demand) Rate() float64 { return d.rate }

// Concurrency is the most calls wanted at once.
func (d Demand) Concurrency() int { return d.concurrency }

// Running is the calls that run now.
func (d Demand) Running() int { return d.running }

// Topology is what the division of a limit depends on. Domains and daemons count
// all that are known, whether reachable or not, so that both sides of a partition
// divide by the same number. Daemons and alive count the own failure domain.
type Topology struct {
	domains int
	daemons int
	alive   int
}

// NewTopology returns a topology; each number is at least 1.
func NewTopology(domains, daemons, alive int) Topology {
	return Topology{domains: max(1, domains), daemons: max(1, daemons), alive: max(1, alive)}
}

// domain is the failure domain's part of a plan's limits.
func (t Topology) domain(p basillift.Plan) QuotaShare {
	n := float64(t.domains)
	return QuotaShare{rate: float64(p.Rate()) / n, concurrency: float64(p.Concurrency()) / n}
}

// floor is what each daemon may use without a grant.
func (t Topology) floor(p basillift.Plan) QuotaShare {
	s, n := t.domain(p), float64(t.daemons)
	return QuotaShare{rate: floorShare * s.rate / n, concurrency: math.Floor(floorShare * s.concurrency / n)}
}

// reach returns the daemons of the failure domain that the owner divides the limit
// among, and the part of the limit that it may divide. A majority has all of it and
// keeps back the floors of the others. With exactly half of the daemons no other
// group is a majority, and the owner has half. With fewer, another group may have all.
func (t Topology) reach() (daemons int, part float64) {
	switch {
	case 2*t.alive > t.daemons:
		return t.daemons, 1
	case 2*t.alive == t.daemons:
		return t.alive, 0.5
	default:
		return t.alive, 0
	}
}

// QuotaOwner returns the daemon that divides a customer's limits within a failure
// domain, out of its alive daemons.
func QuotaOwner(customer string, alive []basillift.VMID) (basillift.VMID, bool) {
	top := blrendezvous.Top(blrendezvous.Key(customer), alive, 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}

// Owner divides the limits of the customers that one daemon is the quota owner of.
// It never has more than the failure domain's part on lease. It is not safe for
// concurrent use.
type Owner struct {
	customers map[string]*division
}

// division is one customer's shares by daemon.
type division struct {
	since  time.Time
	leases map[basillift.VMID]leased
}

type leased struct {
	demand Demand
	share  QuotaShare
	until  time.Time
}

// NewOwner returns an owner without leases.
func NewOwner() *Owner { return &Owner{customers: make(map[string]*division)} }

// Grant answers a daemon's demand with its share for the next two intervals. For
// the first two intervals after it became the owner, it grants floors only: leases of
// the owner before it may still be valid.
func (o *Owner) Grant(now time.Time, from basillift.VMID, d Demand, p basillift.Plan, t Topology) QuotaShare {
	v := o.division(now, d.customer)
	v.expire(now)
	floor := t.floor(p)
	v.leases[from] = leased{demand: d, share: v.leases[from].share, until: now.Add(lease)}
	daemons, part := t.reach()
	if part == 0 || now.Sub(v.since) < lease {
		return v.store(from, floor)
	}
	whole := t.domain(p)
	idle := float64(max(0, daemons-len(v.leases)))
	rate := v.part(from, part*whole.rate-idle*floor.rate, floor.rate,
		func(d Demand) float64 { return d.rate }, func(l leased) float64 { return l.share.rate })
	concurrency := v.part(from, part*whole.concurrency-idle*floor.concurrency, floor.concurrency,
		func(d Demand) float64 { return float64(d.concurrency) },
		func(l leased) float64 { return max(l.share.concurrency, float64(l.demand.running)) })
	return v.store(from, QuotaShare{rate: rate, concurrency: math.Floor(concurrency)})
}

// Forget drops customers without leases. Call it every few seconds.
func (o *Owner) Forget(now time.Time) {
	for name, v := range o.customers {
		v.expire(now)
		if len(v.leases) == 0 {
			delete(o.customers, name)
		}
	}
}

func (o *Owner) division(now time.Time, customer string) *division {
	v := o.customers[customer]
	if v == nil {
		v = &division{since: now, leases: make(map[basillift.VMID]leased)}
		o.customers[customer] = v
	}
	return v
}

func (v *division) expire(now time.Time) {
	for id, l := range v.leases {
		if now.After(l.until) {
			delete(v.leases, id)
		}
	}
}

func (v *division) store(from basillift.VMID, s QuotaShare) QuotaShare {
	l := v.leases[from]
	l.share = s
	v.leases[from] = l
	return s
}

// part is the max-min fair part of one daemon, at most what is not on lease to
// others. What nobody asked for is divided equally, so that a rise in demand need
// not wait for the next report.
func (v *division) part(from basillift.VMID, pool, floor float64, wants func(Demand) float64, has func(leased) float64) float64 {
	demands := make([]float64, 0, len(v.leases))
	free := pool
	for id, l := range v.leases {
		demands = append(demands, max(floor, wants(l.demand)))
		if id != from {
			free -= max(floor, has(l))
		}
	}
	level, spare := waterfill(demands, pool)
	fair := min(max(floor, wants(v.leases[from].demand)), level) + spare
	return max(floor, min(math.Ceil(fair), free))
}

// waterfill returns the level at which demands are cut off so that they fit the
// pool, and what each gets on top when they all fit.
func waterfill(demands []float64, pool float64) (level, spare float64) {
	slices.Sort(demands)
	left := pool
	for i, d := range demands {
		n := float64(len(demands) - i)
		if d*n > left {
			return left / n, 0
		}
		left -= d
	}
	return math.Inf(1), left / float64(len(demands))
}
