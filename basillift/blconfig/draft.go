package blconfig

import (
	"fmt"
	"maps"
	"slices"

	"basillift.dev/basillift"
)

// draft is a snapshot in the making. It copies a map of its base before the
// first change to it, so that the base stays as it is.
type draft struct {
	next          *Snapshot
	copied        [shardCount]bool
	plansCopied   bool
	serviceCopied bool
}

func newDraft(base *Snapshot) *draft {
	next := *base
	next.full = &fullCache{}
	next.holders = maps.Clone(base.holders)
	if next.holders == nil {
		next.holders = make(map[string]int)
	}
	return &draft{next: &next}
}

// shard returns the map that holds the customer, ready to be changed.
func (d *draft) shard(i int) map[string]string {
	if !d.copied[i] {
		d.copied[i] = true
		d.next.shards[i] = cloned(d.next.shards[i])
	}
	return d.next.shards[i]
}

// expect makes room for a whole configuration.
func (d *draft) expect(customers int) {
	for i := range d.next.shards {
		d.copied[i] = true
		d.next.shards[i] = make(map[string]string, customers/shardCount)
	}
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (d *draft) setCustomer(name, plan string) {
	i := shardOf(name)
	if old, found := d.next.shards[i][name]; found {
		d.forget(name, old)
	}
	// The plan's own text is shared by all its customers, whatever text they were decoded from.
	if p, found := d.next.plans[plan]; found {
		plan = p.Name()
	}
	d.shard(i)[name] = plan
	d.next.customers++
	d.next.holders[plan]++
	d.next.digest += hashCustomer(name, plan)
}

func (d *draft) removeCustomer(name string) {
	i := shardOf(name)
	plan, found := d.next.shards[i][name]
	if !found {
		return
	}
	delete(d.shard(i), name)
	d.forget(name, plan)
}

// forget takes a customer out of the counts and the digest.
func (d *draft) forget(name, plan string) {
	d.next.customers--
	d.next.digest -= hashCustomer(name, plan)
	d.next.holders[plan]--
	if d.next.holders[plan] == 0 {
		delete(d.next.holders, plan)
	}
}

func (d *draft) setPlan(p basillift.Plan) {
	d.dropPlan(p.Name())
	d.next.plans[p.Name()] = p
	d.next.digest += hashPlan(p)
}

func (d *draft) dropPlan(name string) {
	if !d.plansCopied {
		d.plansCopied = true
		d.next.plans = cloned(d.next.plans)
	}
	if p, found := d.next.plans[name]; found {
		d.next.digest -= hashPlan(p)
		delete(d.next.plans, name)
	}
}

func (d *draft) declare(service string) {
	d.copyServices()
	if !d.next.declared[service] {
		d.next.declared[service] = true
		d.next.digest += hashService(service)
	}
}

func (d *draft) retire(service string) {
	d.copyServices()
	if d.next.declared[service] {
		delete(d.next.declared, service)
		d.next.digest -= hashService(service)
	}
}

func (d *draft) copyServices() {
	if !d.serviceCopied {
		d.serviceCopied = true
		d.next.declared = cloned(d.next.declared)
	}
}

// finish returns the snapshot when every reference exists.
func (d *draft) finish(v basillift.Version) (*Snapshot, error) {
	if err := d.checkPlans(); err != nil {
		return nil, fmt.Errorf("check plans: %w", err)
	}
	for _, p := range slices.Sorted(maps.Keys(d.next.holders)) {
		if _, found := d.next.plans[p]; !found {
			return nil, fmt.Errorf("%d customers hold the plan %q: %w", d.next.holders[p], p, ErrReference)
		}
	}
	if d.serviceCopied {
		d.next.services = slices.Sorted(maps.Keys(d.next.declared))
	}
	d.next.version = v
	return d.next, nil
}

func (d *draft) checkPlans() error {
	if !d.plansCopied && !d.serviceCopied {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(d.next.plans)) {
		for _, s := range d.next.plans[n].Services() {
			if !d.next.declared[s] {
				return fmt.Errorf("plan %q allows the service %q: %w", n, s, ErrReference)
			}
		}
	}
	return nil
}
