package blconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Update returns the same snapshot as Build, but shares the unchanged maps with s.
// It is for a reader that holds the previous version: Build would hash every entry
// again, and Diff skips the maps that two snapshots share.
func (s *Snapshot) Update(v basillift.Version, l bllist.Lists) (*Snapshot, error) {
	if err := checkUnique(l); err != nil {
		return nil, fmt.Errorf("update to version %s: %w", v, err)
	}
	b := newSnapshotBuilder(s)
	b.updateServices(l.Services())
	b.updatePlans(l.Plans())
	b.updateCustomers(l.Customers())
	next, err := b.build(v)
	if err != nil {
		return nil, fmt.Errorf("update to version %s: %w", v, err)
	}
	return next, nil
}

// checkUnique returns ErrDuplicate if a name occurs twice. It relies on the lists being
// sorted by name.
func checkUnique(l bllist.Lists) error {
	for i, s := range l.Services() {
		if i > 0 && l.Services()[i-1] == s {
			return fmt.Errorf("service %q: %w", s, ErrDuplicate)
		}
	}
	for i, p := range l.Plans() {
		if i > 0 && l.Plans()[i-1].Name() == p.Name() {
			return fmt.Errorf("plan %q: %w", p.Name(), ErrDuplicate)
		}
	}
	for i, c := range l.Customers() {
		if i > 0 && l.Customers()[i-1].Name() == c.Name() {
			return fmt.Errorf("customer %q: %w", c.Name(), ErrDuplicate)
		}
	}
	return nil
}

func (b *snapshotBuilder) updateServices(services []string) {
	for _, s := range b.next.services {
		if _, found := slices.BinarySearch(services, s); !found {
			b.removeService(s)
		}
	}
	for _, s := range services {
		if !b.next.declared[s] {
			b.addService(s)
		}
	}
}

func (b *snapshotBuilder) updatePlans(plans []basillift.Plan) {
	byName := func(p basillift.Plan, name string) int { return strings.Compare(p.Name(), name) }
	for _, p := range b.next.Plans() {
		if _, found := slices.BinarySearchFunc(plans, p.Name(), byName); !found {
			b.removePlan(p.Name())
		}
	}
	for _, p := range plans {
		if old, found := b.next.plans[p.Name()]; !found || !old.Equal(p) {
			b.setPlan(p)
		}
	}
}

func (b *snapshotBuilder) updateCustomers(customers []bllist.Customer) {
	for _, c := range customers {
		if old, found := b.next.planName(c.Name()); !found || old != c.Plan() {
			b.setCustomer(c.Name(), c.Plan())
		}
	}
	if b.next.customers == len(customers) {
		return // no customer was removed
	}
	byName := func(c bllist.Customer, name string) int { return strings.Compare(c.Name(), name) }
	var removed []string
	for n := range b.next.All() {
		if _, found := slices.BinarySearchFunc(customers, n, byName); !found {
			removed = append(removed, n)
		}
	}
	for _, n := range removed {
		b.removeCustomer(n)
	}
}

// sameMap reports whether a and b are the same map in memory.
func sameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
