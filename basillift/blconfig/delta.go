package blconfig

import (
	"fmt"
	"maps"
	"slices"

	"basillift.dev/basillift"
)

// Delta holds the differences between one version and a later one. It is immutable.
type Delta struct {
	from             basillift.Version
	to               basillift.Version
	digest           uint64
	customers        map[string]string // customer to its new plan
	removedCustomers []string
	plans            []basillift.Plan
	removedPlans     []string
	addedServices    []string
	removedServices  []string
}

// From returns the base version to which the delta applies.
func (d Delta) From() basillift.Version { return d.from }

// To returns the version that results from applying the delta.
func (d Delta) To() basillift.Version { return d.to }

// Digest returns the expected digest of the resulting snapshot.
func (d Delta) Digest() uint64 { return d.digest }

// ChangeCount returns the number of entries that the delta sets or removes.
func (d Delta) ChangeCount() int {
	return len(d.customers) + len(d.removedCustomers) + len(d.plans) + len(d.removedPlans) + len(d.addedServices) + len(d.removedServices)
}

// Diff returns the delta from one snapshot to another. A nil from stands for an
// empty configuration with the zero version.
func Diff(from, to *Snapshot) Delta {
	if from == nil {
		from = emptySnapshot()
	}
	d := Delta{from: from.version, to: to.version, digest: to.digest, customers: make(map[string]string)}
	for i := range to.shards {
		if sameMap(from.shards[i], to.shards[i]) {
			continue
		}
		d.diffShard(from.shards[i], to.shards[i])
	}
	slices.Sort(d.removedCustomers)
	for _, p := range to.Plans() {
		if old, found := from.plans[p.Name()]; !found || !old.Equal(p) {
			d.plans = append(d.plans, p)
		}
	}
	d.removedPlans = keysNotIn(from.plans, to.plans)
	d.addedServices = keysNotIn(to.declared, from.declared)
	d.removedServices = keysNotIn(from.declared, to.declared)
	return d
}

func (d *Delta) diffShard(from, to map[string]string) {
	for c, p := range to {
		if old, found := from[c]; !found || old != p {
			d.customers[c] = p
		}
	}
	for c := range from {
		if _, found := to[c]; !found {
			d.removedCustomers = append(d.removedCustomers, c)
		}
	}
}

// keysNotIn returns the keys of a that are not in b, sorted.
func keysNotIn[V any](a, b map[string]V) []string {
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(a)) {
		if _, found := b[k]; !found {
			keys = append(keys, k)
		}
	}
	return keys
}

// Apply returns the snapshot that results from the delta; s is not modified. It
// returns ErrBase if the delta starts at another version or its result is not
// newer, ErrDigest if the digest of the result differs, and ErrReference if a plan
// or service does not exist.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	if d.from != s.version {
		return nil, fmt.Errorf("apply delta from %s to version %s: %w", d.from, s.version, ErrBase)
	}
	if !d.to.NewerThan(d.from) {
		return nil, fmt.Errorf("apply delta from %s to %s: result is not newer: %w", d.from, d.to, ErrBase)
	}
	next, err := d.applyTo(newSnapshotBuilder(s)).build(d.to)
	if err != nil {
		return nil, fmt.Errorf("apply delta to %s: %w", d.to, err)
	}
	if next.digest != d.digest {
		return nil, fmt.Errorf("apply delta to %s: %w", d.to, ErrDigest)
	}
	return next, nil
}

func (d Delta) applyTo(b *snapshotBuilder) *snapshotBuilder {
	for _, s := range d.removedServices {
		b.removeService(s)
	}
	for _, s := range d.addedServices {
		b.addService(s)
	}
	for _, n := range d.removedPlans {
		b.removePlan(n)
	}
	for _, p := range d.plans {
		b.setPlan(p)
	}
	for _, c := range d.removedCustomers {
		b.removeCustomer(c)
	}
	for c, p := range d.customers {
		b.setCustomer(c, p)
	}
	return b
}

// Merge combines consecutive deltas into one with the same result. It returns
// ErrBase if a delta does not start at the version where the previous one ends.
func Merge(first Delta, rest ...Delta) (Delta, error) {
	m := newMerger(first)
	for _, d := range rest {
		if d.from != m.to {
			return Delta{}, fmt.Errorf("merge delta from %s after %s: %w", d.from, m.to, ErrBase)
		}
		m.add(d)
	}
	return m.delta(), nil
}

// merger keeps the last change of each name. A nil or false value means that the
// entry was removed.
type merger struct {
	from, to  basillift.Version
	digest    uint64
	customers map[string]*string
	plans     map[string]*basillift.Plan
	services  map[string]bool
}

func newMerger(d Delta) *merger {
	m := &merger{
		from:      d.from,
		customers: make(map[string]*string, len(d.customers)),
		plans:     make(map[string]*basillift.Plan),
		services:  make(map[string]bool),
	}
	m.add(d)
	return m
}

func (m *merger) add(d Delta) {
	m.to, m.digest = d.to, d.digest
	for _, s := range d.removedServices {
		m.services[s] = false
	}
	for _, s := range d.addedServices {
		m.services[s] = true
	}
	for _, n := range d.removedPlans {
		m.plans[n] = nil
	}
	for _, p := range d.plans {
		m.plans[p.Name()] = &p
	}
	for _, c := range d.removedCustomers {
		m.customers[c] = nil
	}
	for c, p := range d.customers {
		m.customers[c] = &p
	}
}

func (m *merger) delta() Delta {
	d := Delta{from: m.from, to: m.to, digest: m.digest, customers: make(map[string]string, len(m.customers))}
	for _, c := range slices.Sorted(maps.Keys(m.customers)) {
		if p := m.customers[c]; p != nil {
			d.customers[c] = *p
		} else {
			d.removedCustomers = append(d.removedCustomers, c)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(m.plans)) {
		if p := m.plans[n]; p != nil {
			d.plans = append(d.plans, *p)
		} else {
			d.removedPlans = append(d.removedPlans, n)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(m.services)) {
		if m.services[s] {
			d.addedServices = append(d.addedServices, s)
		} else {
			d.removedServices = append(d.removedServices, s)
		}
	}
	return d
}
