package blconfig

import (
	"maps"
	"slices"

	"basillift.dev/basillift"
)

// Change describes how a customer's plan differs between two versions.
type Change struct {
	customer string
	before   basillift.Plan
	after    basillift.Plan
	gained   []string
	lost     []string
}

// Customer returns the name of the customer.
func (c Change) Customer() string { return c.customer }

// Before returns the customer's plan in the first version. Its name is "" for a new customer.
func (c Change) Before() basillift.Plan { return c.before }

// After returns the customer's plan in the second version. Its name is "" for a removed customer.
func (c Change) After() basillift.Plan { return c.after }

// Gained returns the services that only the plan after the change allows, sorted.
func (c Change) Gained() []string { return c.gained }

// Lost returns the services that only the plan before the change allowed, sorted.
func (c Change) Lost() []string { return c.lost }

// LimitsChanged reports whether the rate, concurrency or class changes for a customer
// that exists in both versions.
func (c Change) LimitsChanged() bool {
	if c.before.Name() == "" || c.after.Name() == "" {
		return false
	}
	return c.before.Rate() != c.after.Rate() || c.before.Concurrency() != c.after.Concurrency() ||
		c.before.Class() != c.after.Class()
}

// Changes returns one Change for each customer whose plan differs between the two
// snapshots, sorted by customer.
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
			gained: disallowedServices(after.Services(), before), lost: disallowedServices(before.Services(), after),
		})
	}
	return changes
}

// disallowedServices returns those of the given services that the plan does not allow.
func disallowedServices(services []string, p basillift.Plan) []string {
	var result []string
	for _, s := range services {
		if !p.Allows(s) {
			result = append(result, s)
		}
	}
	return result
}
