package blconfig

import (
	"maps"
	"slices"

	"basillift.dev/basillift"
)

// Change is what one version changes for one customer.
type Change struct {
	customer string
	before   basillift.Plan
	after    basillift.Plan
	gained   []string
	lost     []string
}

// Customer names the customer.
func (c Change) Customer() string { return c.customer }

// Before is the plan that the customer held; its name is "" for a new customer.
func (c Change) Before() basillift.Plan { return c.before }

// After is the plan that the customer holds now; its name is "" for a removed customer.
func (c Change) After() basillift.Plan { return c.after }

// Gained are the services that the customer may use now and could not before, sorted.
func (c Change) Gained() []string { return c.gained }

// Lost are the services that the customer may no longer use, sorted.
func (c Change) Lost() []string { return c.lost }

// Limits reports whether rate, concurrency or class change for a customer that stays.
func (c Change) Limits() bool {
	if c.before.Name() == "" || c.after.Name() == "" {
		return false
	}
	return c.before.Rate() != c.after.Rate() || c.before.Concurrency() != c.after.Concurrency() ||
		c.before.Class() != c.after.Class()
}

// Changes returns what changes for each customer from one snapshot to another,
// sorted by customer. Customers for which nothing changes are left out.
func Changes(from, to *Snapshot) []Change {
	names := make(map[string]bool)
	for _, s := range []*Snapshot{from, to} {
		for c := range s.All() {
			names[c] = true
		}
	}
	var changes []Change
	for _, n := range slices.Sorted(maps.Keys(names)) {
		before, _ := from.Plan(n)
		after, _ := to.Plan(n)
		if before.Equal(after) {
			continue
		}
		changes = append(changes, Change{
			customer: n, before: before, after: after,
			gained: lacking(after.Services(), before), lost: lacking(before.Services(), after),
		})
	}
	return changes
}

// lacking returns the services that the plan does not allow.
func lacking(services []string, p basillift.Plan) []string {
	var result []string
	for _, s := range services {
		if !p.Allows(s) {
			result = append(result, s)
		}
	}
	return result
}
