package blproxy

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// MethodQuota is the call that reports the demand of customers to their quota owner.
const MethodQuota = "quota"

const (
	// quotaTimeout bounds the wait for a quota owner. A call that needs a new share waits for this
	// request.
	quotaTimeout = 200 * time.Millisecond
	// evictIdleEveryReports is the number of demand reports after which the allocator evicts idle
	// customers.
	evictIdleEveryReports = 50
)

// quota enforces the limits of the plans for this daemon's callers. It also divides the limits of
// the customers whose quota owner this daemon is.
type quota struct {
	mutex             sync.Mutex
	limiter           *bladmit.Limiter
	allocator         *bladmit.QuotaAllocator
	topology          bladmit.Topology
	alive             []basillift.VMID
	generation        uint64
	topologyKnown     bool
	reportCount       int
	configuredDomains []basillift.FailureDomain
}

// newQuota returns a quota for the configured failure domains. These count even before any member
// of them is known.
func newQuota(configured []basillift.FailureDomain) *quota {
	return &quota{configuredDomains: configured, limiter: bladmit.NewLimiter(), allocator: bladmit.NewQuotaAllocator()}
}

// currentTopology returns the topology by which limits are divided, and the living members that
// may own them. It is recomputed only when the directory has changed.
func (q *quota) currentTopology(d basillift.Directory) (bladmit.Topology, []basillift.VMID) {
	generation := d.Generation()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.topologyKnown && q.generation == generation {
		return q.topology, q.alive
	}
	q.topology, q.alive = topologyOf(d, q.configuredDomains)
	q.limiter.SetTopology(q.topology)
	q.generation, q.topologyKnown = generation, true
	return q.topology, q.alive
}

// topologyOf computes the topology. Dead members count too, so that both sides of a partition
// divide by the same number.
func topologyOf(d basillift.Directory, configured []basillift.FailureDomain) (bladmit.Topology, []basillift.VMID) {
	self := d.Self()
	own := self.Place().FailureDomain()
	domains := map[basillift.FailureDomain]bool{own: true}
	for _, fd := range configured {
		domains[fd] = true
	}
	daemons, alive := 1, []basillift.VMID{self.ID()}
	for _, s := range d.Members() {
		m := s.Member()
		domains[m.Place().FailureDomain()] = true
		if m.ID() == self.ID() || m.Place().FailureDomain() != own {
			continue
		}
		daemons++
		if s.Liveness() != basillift.LivenessDead {
			alive = append(alive, m.ID())
		}
	}
	return bladmit.NewTopology(len(domains), daemons, len(alive)), alive
}

func (q *quota) allow(now time.Time, customer string, plan basillift.Plan) bladmit.LimitDecision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Allow(now, customer, plan)
}

func (q *quota) finished(now time.Time, customer string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Finished(now, customer)
}

func (q *quota) demand(now time.Time, customer string) bladmit.Demand {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.limiter.Demand(now, customer)
}

func (q *quota) demands(now time.Time) []bladmit.Demand {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reportCount++
	if q.reportCount%evictIdleEveryReports == 0 {
		q.allocator.EvictIdle(now)
	}
	return q.limiter.Demands(now)
}

func (q *quota) applyShare(now, sent time.Time, customer string, s bladmit.QuotaShare) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.ApplyGrant(now, sent, customer, s)
}

func (q *quota) grant(now time.Time, from basillift.VMID, d bladmit.Demand, p basillift.Plan, t bladmit.Topology) bladmit.QuotaShare {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.allocator.Grant(now, from, d, p, t)
}

// checkLimits counts a call against its customer's limits, or refuses it. A call counts only at
// the daemon where it enters the mesh.
func (p *Proxy) checkLimits(now time.Time, k *call, plan basillift.Plan) *refusal {
	if k.depth > 0 || plan.Rate() == 0 && plan.Concurrency() == 0 {
		return nil
	}
	_, alive := p.quota.currentTopology(p.directory)
	decision := p.quota.allow(now, k.customer, plan)
	if decision == bladmit.LimitNeedsQuota {
		p.requestShares([]bladmit.Demand{p.quota.demand(now, k.customer)}, alive)
		decision = p.quota.allow(time.Now(), k.customer, plan)
	}
	if decision == bladmit.LimitAllowed {
		k.limited = true
		return nil
	}
	return refuse(basillift.OutcomeNotRun, decision.Reason(), "The customer's plan allows no more calls now.")
}

// quotaLoop reports the demand that exceeds what a daemon may use without a share, at a fixed
// interval.
func (p *Proxy) quotaLoop(ctx context.Context) {
	ticker := time.NewTicker(bladmit.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			demands := p.quota.demands(now)
			if len(demands) > 0 {
				_, alive := p.quota.currentTopology(p.directory)
				p.requestShares(demands, alive)
			}
		}
	}
}

// requestShares reports demands to their quota owners in parallel and applies the returned shares.
func (p *Proxy) requestShares(demands []bladmit.Demand, alive []basillift.VMID) {
	byOwner := map[basillift.VMID][]bladmit.Demand{}
	for _, d := range demands {
		owner, ok := bladmit.QuotaOwner(d.Customer(), alive)
		if ok {
			byOwner[owner] = append(byOwner[owner], d)
		}
	}
	var group sync.WaitGroup
	for owner, ownerDemands := range byOwner {
		group.Go(func() { p.requestSharesFrom(owner, ownerDemands) })
	}
	group.Wait()
}

// requestSharesFrom reports demands to one quota owner. If the owner cannot be reached, the shares
// stay unchanged.
func (p *Proxy) requestSharesFrom(owner basillift.VMID, demands []bladmit.Demand) {
	var m QuotaMessage
	for _, d := range demands {
		m.Demands = append(m.Demands, QuotaDemand{
			Customer: d.Customer(), Rate: d.Rate(), Concurrency: d.Concurrency(), Running: d.Running(),
		})
	}
	sent := time.Now()
	var r QuotaResult
	if owner == p.directory.Self().ID() {
		r = p.grantShares(sent, owner, m)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
		defer cancel()
		err := p.peers.Call(ctx, owner, MethodQuota, m, &r)
		if err != nil {
			return
		}
	}
	now := time.Now()
	for _, s := range r.Shares {
		p.quota.applyShare(now, sent, s.Customer, bladmit.NewQuotaShare(s.Rate, s.Concurrency))
	}
}

// grantShares answers demands according to the plans in force here.
func (p *Proxy) grantShares(now time.Time, from basillift.VMID, m QuotaMessage) QuotaResult {
	var r QuotaResult
	c, ok := p.source.Current()
	if !ok {
		return r
	}
	t, _ := p.quota.currentTopology(p.directory)
	for _, d := range m.Demands {
		plan, ok := c.Plan(d.Customer)
		if !ok {
			continue
		}
		s := p.quota.grant(now, from, bladmit.NewDemand(d.Customer, d.Rate, d.Concurrency, d.Running), plan, t)
		r.Shares = append(r.Shares, QuotaShare{Customer: d.Customer, Rate: s.Rate(), Concurrency: s.Concurrency()})
	}
	return r
}

// HandleQuota answers a "quota" call from another daemon.
func (p *Proxy) HandleQuota(_ context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	var m QuotaMessage
	err := json.Unmarshal(params, &m)
	if err != nil {
		return nil, fmt.Errorf("decode quota: %w", err)
	}
	return p.grantShares(time.Now(), from, m), nil
}
