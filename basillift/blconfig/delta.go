package blconfig

import (
	"fmt"
	"maps"
	"slices"

	"basillift.dev/basillift"
)

// Delta is what changes from one version to a later one. It never changes.
type Delta struct {
	from      basillift.Version
	to        basillift.Version
	digest    uint64
	customers map[string]string // customer to its new plan
	removed   []string
	plans     []basillift.Plan
	dropped   []string
	services  []string
	retired   []string
}

// From is the version to which the delta applies.
func (d Delta) From() basillift.Version { return d.from }

// To is the version that results.
func (d Delta) To() basillift.Version { return d.to }

// Digest is the digest of the result.
func (d Delta) Digest() uint64 { return d.digest }

// Changes is the number of entries that the delta sets or removes.
func (d Delta) Changes() int {
	return len(d.customers) + len(d.removed) + len(d.plans) + len(d.dropped) + len(d.services) + len(d.retired)
}

// Diff returns the delta that leads from one snapshot to another. A nil from
// stands for an empty configuration of the zero version.
func Diff(from, to *Snapshot) Delta {
	if from == nil {
		from = empty()
	}
	d := Delta{from: from.version, to: to.version, digest: to.digest, customers: make(map[string]string)}
	for i := range to.shards {
		if shared(from.shards[i], to.shards[i]) {
			continue
		}
		d.diffShard(from.shards[i], to.shards[i])
	}
	slices.Sort(d.removed)
	for _, p := range to.Plans() {
		if old, found := from.plans[p.Name()]; !found || !old.Equal(p) {
			d.plans = append(d.plans, p)
		}
	}
	d.dropped = missing(from.plans, to.plans)
	d.services = missing(to.declared, from.declared)
	d.retired = missing(from.declared, to.declared)
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
			d.removed = append(d.removed, c)
		}
	}
}

// missing returns the keys of a that b lacks, sorted.
func missing[V any](a, b map[string]V) []string {
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(a)) {
		if _, found := b[k]; !found {
			keys = append(keys, k)
		}
	}
	return keys
}

// Apply returns the snapshot that results from the delta, or an error and no
// snapshot: when the delta starts at another version, when the result's digest
// differs, or when a reference does not exist.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	if d.from != s.version {
		return nil, fmt.Errorf("apply delta from %s to version %s: %w", d.from, s.version, ErrBase)
	}
	if !d.to.NewerThan(d.from) {
		return nil, fmt.Errorf("apply delta from %s to %s: result is not newer: %w", d.from, d.to, ErrBase)
	}
	next, err := d.applyTo(newDraft(s)).finish(d.to)
	if err != nil {
		return nil, fmt.Errorf("apply delta to %s: %w", d.to, err)
	}
	if next.digest != d.digest {
		return nil, fmt.Errorf("apply delta to %s: %w", d.to, ErrDigest)
	}
	return next, nil
}

func (d Delta) applyTo(next *draft) *draft {
	for _, s := range d.retired {
		next.retire(s)
	}
	for _, s := range d.services {
		next.declare(s)
	}
	for _, n := range d.dropped {
		next.dropPlan(n)
	}
	for _, p := range d.plans {
		next.setPlan(p)
	}
	for _, c := range d.removed {
		next.removeCustomer(c)
	}
	for c, p := range d.customers {
		next.setCustomer(c, p)
	}
	return next
}

// Merge joins consecutive deltas into one with the same result.
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

// merger keeps the last change of each name; nil or false means removed.
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
	for _, s := range d.retired {
		m.services[s] = false
	}
	for _, s := range d.services {
		m.services[s] = true
	}
	for _, n := range d.dropped {
		m.plans[n] = nil
	}
	for _, p := range d.plans {
		m.plans[p.Name()] = &p
	}
	for _, c := range d.removed {
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
			d.removed = append(d.removed, c)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(m.plans)) {
		if p := m.plans[n]; p != nil {
			d.plans = append(d.plans, *p)
		} else {
			d.dropped = append(d.dropped, n)
		}
	}
	for _, s := range slices.Sorted(maps.Keys(m.services)) {
		if m.services[s] {
			d.services = append(d.services, s)
		} else {
			d.retired = append(d.retired, s)
		}
	}
	return d
}
