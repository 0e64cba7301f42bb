package blconfig

import (
	"fmt"
	"maps"
	"slices"

	"basillift.dev/basillift"
)

// snapshotBuilder builds a snapshot from a base. It copies each map on write, so
// that the base is not modified, and keeps the digest and the counts up to date.
type snapshotBuilder struct {
	next           *Snapshot
	shardCopied    [shardCount]bool
	plansCopied    bool
	servicesCopied bool
}

func newSnapshotBuilder(base *Snapshot) *snapshotBuilder {
	next := *base
	next.full = &fullCache{}
	next.customerCounts = maps.Clone(base.customerCounts)
	if next.customerCounts == nil {
		next.customerCounts = make(map[string]int)
	}
	return &snapshotBuilder{next: &next}
}

// shard returns the i-th customer map after copying it from the base if needed.
// The caller may modify it.
func (b *snapshotBuilder) shard(i int) map[string]string {
	if !b.shardCopied[i] {
		b.shardCopied[i] = true
		b.next.shards[i] = cloneOrMake(b.next.shards[i])
	}
	return b.next.shards[i]
}

// preallocate replaces all shards by empty maps sized for the given number of
// customers.
func (b *snapshotBuilder) preallocate(customers int) {
	for i := range b.next.shards {
		b.shardCopied[i] = true
		b.next.shards[i] = make(map[string]string, customers/shardCount)
	}
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (b *snapshotBuilder) setCustomer(name, plan string) {
	i := shardOf(name)
	if old, found := b.next.shards[i][name]; found {
		b.subtractCustomer(name, old)
	}
	// Use the plan's own string, so that all its customers share one string instead
	// of keeping the buffers from which they were decoded.
	if p, found := b.next.plans[plan]; found {
		plan = p.Name()
	}
	b.shard(i)[name] = plan
	b.next.customers++
	b.next.customerCounts[plan]++
	b.next.digest += hashCustomer(name, plan)
}

func (b *snapshotBuilder) removeCustomer(name string) {
	i := shardOf(name)
	plan, found := b.next.shards[i][name]
	if !found {
		return
	}
	delete(b.shard(i), name)
	b.subtractCustomer(name, plan)
}

// subtractCustomer removes a customer from the counts and from the digest.
func (b *snapshotBuilder) subtractCustomer(name, plan string) {
	b.next.customers--
	b.next.digest -= hashCustomer(name, plan)
	b.next.customerCounts[plan]--
	if b.next.customerCounts[plan] == 0 {
		delete(b.next.customerCounts, plan)
	}
}

func (b *snapshotBuilder) setPlan(p basillift.Plan) {
	b.removePlan(p.Name())
	b.next.plans[p.Name()] = p
	b.next.digest += hashPlan(p)
}

func (b *snapshotBuilder) removePlan(name string) {
	if !b.plansCopied {
		b.plansCopied = true
		b.next.plans = cloneOrMake(b.next.plans)
	}
	if p, found := b.next.plans[name]; found {
		b.next.digest -= hashPlan(p)
		delete(b.next.plans, name)
	}
}

func (b *snapshotBuilder) addService(service string) {
	b.copyServices()
	if !b.next.declared[service] {
		b.next.declared[service] = true
		b.next.digest += hashService(service)
	}
}

func (b *snapshotBuilder) removeService(service string) {
	b.copyServices()
	if b.next.declared[service] {
		delete(b.next.declared, service)
		b.next.digest -= hashService(service)
	}
}

func (b *snapshotBuilder) copyServices() {
	if !b.servicesCopied {
		b.servicesCopied = true
		b.next.declared = cloneOrMake(b.next.declared)
	}
}

// build returns the snapshot, or ErrReference if a customer's plan or a plan's
// service does not exist.
func (b *snapshotBuilder) build(v basillift.Version) (*Snapshot, error) {
	if err := b.checkPlans(); err != nil {
		return nil, fmt.Errorf("check plans: %w", err)
	}
	for _, p := range slices.Sorted(maps.Keys(b.next.customerCounts)) {
		if _, found := b.next.plans[p]; !found {
			return nil, fmt.Errorf("%d customers hold the plan %q: %w", b.next.customerCounts[p], p, ErrReference)
		}
	}
	if b.servicesCopied {
		b.next.services = slices.Sorted(maps.Keys(b.next.declared))
	}
	b.next.version = v
	return b.next, nil
}

func (b *snapshotBuilder) checkPlans() error {
	if !b.plansCopied && !b.servicesCopied {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(b.next.plans)) {
		for _, s := range b.next.plans[n].Services() {
			if !b.next.declared[s] {
				return fmt.Errorf("plan %q allows the service %q: %w", n, s, ErrReference)
			}
		}
	}
	return nil
}
