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

// MethodQuota is the call that reports demand to a quota owner.
const MethodQuota = "quota"

const (
	// quotaTimeout bounds the wait for a quota owner. A call that asks waits for it.
	quotaTimeout = 200 * time.Millisecond
	// forgetEvery is the number of reports after which the owner's idle customers are forgotten.
	forgetEvery = 50
)

// quota keeps the calls of this daemon's callers within their plans' limits, and
// divides the limits of the customers that this daemon is the quota owner of.
type quota struct {
	mutex      sync.Mutex
	limiter    *bladmit.Limiter
	owner      *bladmit.Owner
	topology   bladmit.Topology
	alive      []basillift.VMID
	generation uint64
	known      bool
	reports    int
	configured []basillift.FailureDomain
}

// newQuota takes the failure domains of the settings, which count before any member of them is known.
func newQuota(configured []basillift.FailureDomain) *quota {
	return &quota{configured: configured, limiter: bladmit.NewLimiter(), owner: bladmit.NewOwner()}
}

// view returns how limits are divided, and the members that own them. It is
// computed anew when the directory has changed.
func (q *quota) view(d basillift.Directory) (bladmit.Topology, []basillift.VMID) {
	generation := d.Generation()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.known && q.generation == generation {
		return q.topology, q.alive
	}
	q.topology, q.alive = topologyOf(d, q.configured)
	q.limiter.SetTopology(q.topology)
	q.generation, q.known = generation, true
	return q.topology, q.alive
}

// topologyOf counts dead members too, so that both sides of a partition divide by the same number.
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
	q.reports++
	if q.reports%forgetEvery == 0 {
		q.owner.Forget(now)
	}
	return q.limiter.Demands(now)
}

func (q *quota) granted(now, sent time.Time, customer string, s bladmit.QuotaShare) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limiter.Granted(now, sent, customer, s)
}

func (q *quota) grant(now time.Time, from basillift.VMID, d bladmit.Demand, p basillift.Plan, t bladmit.Topology) bladmit.QuotaShare {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.owner.Grant(now, from, d, p, t)
}

// limit takes a call within its customer's limits, or refuses it. A call counts
// only where it enters the mesh.
func (p *Proxy) limit(now time.Time, k *call, plan basillift.Plan) *refusal {
	if k.depth > 0 || plan.Rate() == 0 && plan.Concurrency() == 0 {
		return nil
	}
	_, alive := p.quota.view(p.directory)
	permit := p.quota.allow(now, k.customer, plan)
	if permit == bladmit.LimitNeedsQuota {
		p.askQuota([]bladmit.Demand{p.quota.demand(now, k.customer)}, alive)
		permit = p.quota.allow(time.Now(), k.customer, plan)
	}
	if permit == bladmit.LimitAllowed {
		k.limited = true
		return nil
	}
	return refuse(basillift.OutcomeNotRun, permit.Reason(), "The customer's plan allows no more calls now.")
}

// quotaLoop reports demand while there is any above what a daemon has without asking.
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
				_, alive := p.quota.view(p.directory)
				p.askQuota(demands, alive)
			}
		}
	}
}

// askQuota reports demands to their owners, all at once, and takes the shares.
func (p *Proxy) askQuota(demands []bladmit.Demand, alive []basillift.VMID) {
	byOwner := map[basillift.VMID][]bladmit.Demand{}
	for _, d := range demands {
		owner, ok := bladmit.QuotaOwner(d.Customer(), alive)
		if ok {
			byOwner[owner] = append(byOwner[owner], d)
		}
	}
	var group sync.WaitGroup
	for owner, theirs := range byOwner {
		group.Go(func() { p.askOwner(owner, theirs) })
	}
	group.Wait()
}

// askOwner leaves the shares as they are if the owner cannot be reached.
func (p *Proxy) askOwner(owner basillift.VMID, demands []bladmit.Demand) {
	var m QuotaMessage
	for _, d := range demands {
		m.Demands = append(m.Demands, QuotaDemand{
			Customer: d.Customer(), Rate: d.Rate(), Concurrency: d.Concurrency(), Running: d.Running(),
		})
	}
	sent := time.Now()
	var r QuotaResult
	if owner == p.directory.Self().ID() {
		r = p.divide(sent, owner, m)
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
		p.quota.granted(now, sent, s.Customer, bladmit.NewQuotaShare(s.Rate, s.Concurrency))
	}
}

// divide answers demands by the plans in force here.
func (p *Proxy) divide(now time.Time, from basillift.VMID, m QuotaMessage) QuotaResult {
	var r QuotaResult
	c, ok := p.source.Current()
	if !ok {
		return r
	}
	t, _ := p.quota.view(p.directory)
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

// HandleQuota answers a "quota" call of another daemon.
func (p *Proxy) HandleQuota(_ context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
	var m QuotaMessage
	err := json.Unmarshal(params, &m)
	if err != nil {
		return nil, fmt.Errorf("decode quota: %w", err)
	}
	return p.divide(time.Now(), from, m), nil
}
