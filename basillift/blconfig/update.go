package blconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Update returns the same snapshot as Build, but shares with s whatever is equal.
// A reader that holds the version before uses it, because Build hashes every
// entry again, and because Diff skips what two snapshots share.
func (s *Snapshot) Update(v basillift.Version, l bllist.Lists) (*Snapshot, error) {
	if err := unique(l); err != nil {
		return nil, fmt.Errorf("update to version %s: %w", v, err)
	}
	d := newDraft(s)
	d.updateServices(l.Services())
	d.updatePlans(l.Plans())
	d.updateCustomers(l.Customers())
	next, err := d.finish(v)
	if err != nil {
		return nil, fmt.Errorf("update to version %s: %w", v, err)
	}
	return next, nil
}

// unique relies on the order of lists, which are sorted by name.
func unique(l bllist.Lists) error {
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

func (d *draft) updateServices(services []string) {
	for _, s := range d.next.services {
		if _, found := slices.BinarySearch(services, s); !found {
			d.retire(s)
		}
	}
	for _, s := range services {
		if !d.next.declared[s] {
			d.declare(s)
		}
	}
}

func (d *draft) updatePlans(plans []basillift.Plan) {
	byName := func(p basillift.Plan, name string) int { return strings.Compare(p.Name(), name) }
	for _, p := range d.next.Plans() {
		if _, found := slices.BinarySearchFunc(plans, p.Name(), byName); !found {
			d.dropPlan(p.Name())
		}
	}
	for _, p := range plans {
		if old, found := d.next.plans[p.Name()]; !found || !old.Equal(p) {
			d.setPlan(p)
		}
	}
}

func (d *draft) updateCustomers(customers []bllist.Customer) {
	for _, c := range customers {
		if old, found := d.next.planName(c.Name()); !found || old != c.Plan() {
			d.setCustomer(c.Name(), c.Plan())
		}
	}
	if d.next.customers == len(customers) {
		return // none was removed
	}
	byName := func(c bllist.Customer, name string) int { return strings.Compare(c.Name(), name) }
	var removed []string
	for n := range d.next.All() {
		if _, found := slices.BinarySearchFunc(customers, n, byName); !found {
			removed = append(removed, n)
		}
	}
	for _, n := range removed {
		d.removeCustomer(n)
	}
}

// shared reports whether two snapshots hold the very same map.
func shared[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
