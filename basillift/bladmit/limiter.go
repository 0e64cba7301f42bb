package bladmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basillift.dev/basillift"
)

// LimitDecision says whether the customer's plan lets a call start at this daemon.
type LimitDecision string

// The limit decisions. LimitNeedsQuota means that this daemon's share is used up but the
// customer's limit may not be: the daemon may report its Demand at once and call Allow
// again. If it refuses the call instead, the reason is ReasonRate, whichever of the two
// limits did not allow the call.
const (
	LimitAllowed     LimitDecision = "allowed"
	LimitRate        LimitDecision = "rate"
	LimitConcurrency LimitDecision = "concurrency"
	LimitNeedsQuota  LimitDecision = "ask"
)

// Reason is the reason of a refusal; ReasonNone for LimitAllowed, ReasonRate for LimitNeedsQuota.
func (d LimitDecision) Reason() basillift.Reason {
	switch d {
	case LimitAllowed:
		return basillift.ReasonNone
	case LimitConcurrency:
		return basillift.ReasonConcurrency
	default:
		return basillift.ReasonRate
	}
}

// Limiter keeps the calls that one daemon accepts within its share of each
// customer's limits. A call counts only where it enters the mesh, so only calls of
// depth 0 are passed to Allow. The depth is the number of daemons that have already
// forwarded a call of the same call chain. A Limiter is not safe for concurrent use.
//
// Error of the mesh-wide limit: the sum of all shares never exceeds the limit. A
// daemon's token bucket holds 100 ms of its share and at least one call. In any
// period the calls therefore exceed rate × period by at most rate × 100 ms plus one for
// each daemon in use. A customer whose callers are all in one of n failure domains gets
// 1/n of its limit. A partition between failure domains changes nothing, since each
// has a fixed share. A daemon that can't reach the quota owner falls back to its floor,
// a tenth of an equal share, when its lease ends.
type Limiter struct {
	topology  Topology
	customers map[string]*usage
}

// usage is one customer's use of its limits at this daemon.
type usage struct {
	plan     basillift.Plan
	tokens   float64
	refilled time.Time
	share    QuotaShare
	leaseEnd time.Time
	running  int
	peak     int // maximum concurrency that was wanted in this interval
	calls    int // calls in this interval, including refused ones
	reported time.Time
}

// NewLimiter returns a limiter for a mesh of one daemon; see SetTopology.
func NewLimiter() *Limiter {
	return &Limiter{topology: NewTopology(1, 1, 1), customers: make(map[string]*usage)}
}

// SetTopology sets the counts by which limits are divided.
func (l *Limiter) SetTopology(t Topology) { l.topology = t }

// Allow decides whether a call of a customer may start. Finished must follow for each allowed call.
func (l *Limiter) Allow(now time.Time, customer string, p basillift.Plan) LimitDecision {
	u := l.usage(now, customer, p)
	s := l.refill(now, u)
	u.calls++
	u.peak = max(u.peak, u.running+1)
	if p.Concurrency() > 0 && float64(u.running+1) > s.concurrency {
		return u.refusal(now, LimitConcurrency)
	}
	if p.Rate() > 0 && u.tokens < 1 {
		return u.refusal(now, LimitRate)
	}
	u.tokens--
	u.running++
	return LimitAllowed
}

// refusal returns the decision for a call that the share does not allow: d, or
// LimitNeedsQuota while the daemon has no lease. A customer that seldom calls at this
// daemon has only the floor there, which may be less than one call.
func (u *usage) refusal(now time.Time, d LimitDecision) LimitDecision {
	if now.After(u.leaseEnd) {
		return LimitNeedsQuota
	}
	return d
}

// Finished records the end of an allowed call.
func (l *Limiter) Finished(_ time.Time, customer string) {
	if u := l.customers[customer]; u != nil {
		u.running = max(0, u.running-1)
	}
}

// Demand returns the demand of one customer in the current interval, for a report after
// LimitNeedsQuota.
func (l *Limiter) Demand(now time.Time, customer string) Demand {
	u := l.customers[customer]
	if u == nil {
		return Demand{customer: customer}
	}
	elapsed := max(ReportInterval, now.Sub(u.reported)).Seconds()
	return Demand{
		customer: customer, rate: float64(u.calls) / elapsed,
		concurrency: max(u.peak, u.running), running: u.running,
	}
}

// Demands returns the demands above the floor, sorted by customer, and starts the next
// interval. Call it each ReportInterval and report the demands to the quota owners.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for name, u := range l.customers {
		d := l.Demand(now, name)
		floor := l.topology.floor(u.plan)
		if u.plan.Rate() > 0 && d.rate > floor.rate || u.plan.Concurrency() > 0 && float64(d.concurrency) > floor.concurrency {
			demands = append(demands, d)
		}
		u.calls, u.peak, u.reported = 0, u.running, now
		if d.rate == 0 && u.running == 0 && now.After(u.leaseEnd) && now.Sub(u.refilled) > time.Minute {
			delete(l.customers, name)
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.customer, b.customer) })
	return demands
}

// ApplyGrant applies the quota owner's answer to a demand that was sent at the given time.
// The lease starts at that time, so that it ends here before it ends at the owner.
func (l *Limiter) ApplyGrant(now, sent time.Time, customer string, s QuotaShare) {
	u := l.customers[customer]
	if u == nil {
		return
	}
	l.refill(now, u)
	firstGrant := u.leaseEnd.IsZero()
	u.share, u.leaseEnd = s, sent.Add(leaseDuration)
	if firstGrant && s.rate >= 1 {
		// The first grant covers the call that requested it.
		u.tokens = max(u.tokens, 1)
	}
}

// usage returns the customer's usage and creates it if there is none. A change of the
// plan's limits ends the lease.
func (l *Limiter) usage(now time.Time, customer string, p basillift.Plan) *usage {
	u := l.customers[customer]
	if u == nil {
		u = &usage{plan: p, refilled: now, reported: now}
		u.tokens = bucketCapacity(l.topology.floor(p).rate)
		if l.topology.floor(p).rate < 1 {
			u.tokens = 0
		}
		l.customers[customer] = u
	}
	if u.plan.Rate() != p.Rate() || u.plan.Concurrency() != p.Concurrency() {
		u.leaseEnd = time.Time{}
	}
	u.plan = p
	return u
}

// refill adds the tokens since the last call and returns the share in force. A
// lease that ended in between adds tokens up to its end.
func (l *Limiter) refill(now time.Time, u *usage) QuotaShare {
	floor := l.topology.floor(u.plan)
	if u.leaseEnd.After(u.refilled) {
		end := u.leaseEnd
		if end.After(now) {
			end = now
		}
		u.addTokens(end, u.share.rate)
	}
	if now.Before(u.leaseEnd) {
		return u.share
	}
	u.addTokens(now, floor.rate)
	return floor
}

func (u *usage) addTokens(until time.Time, rate float64) {
	elapsed := until.Sub(u.refilled).Seconds()
	if elapsed <= 0 {
		return
	}
	u.tokens = min(bucketCapacity(rate), u.tokens+elapsed*rate)
	u.refilled = until
}

// bucketCapacity is the maximum number of tokens: 100 ms of the rate, and at least one call.
func bucketCapacity(rate float64) float64 { return math.Max(1, rate*ReportInterval.Seconds()) }
