package blconfig

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// shardCount bounds what a change of one customer copies to 1/256 of all customers.
const shardCount = 256

// Snapshot is one version of the configuration. It never changes, and all its
// methods may be called at the same time. It implements basillift.Configuration.
type Snapshot struct {
	version   basillift.Version
	digest    uint64
	shards    [shardCount]map[string]string // customer to plan
	customers int
	plans     map[string]basillift.Plan
	holders   map[string]int // plan to the number of customers that hold it
	declared  map[string]bool
	services  []string
	full      *fullCache
}

var _ basillift.Configuration = (*Snapshot)(nil)

// Build returns the snapshot of valid lists. It checks again that names are
// unique and that every reference exists.
func Build(v basillift.Version, l bllist.Lists) (*Snapshot, error) {
	if err := unique(l); err != nil {
		return nil, fmt.Errorf("build version %s: %w", v, err)
	}
	d := newDraft(empty())
	d.expect(len(l.Customers()))
	for _, s := range l.Services() {
		d.declare(s)
	}
	for _, p := range l.Plans() {
		d.setPlan(p)
	}
	for _, c := range l.Customers() {
		d.setCustomer(c.Name(), c.Plan())
	}
	s, err := d.finish(v)
	if err != nil {
		return nil, fmt.Errorf("build version %s: %w", v, err)
	}
	return s, nil
}

func empty() *Snapshot { return &Snapshot{} }

// Version is the number of the configuration.
func (s *Snapshot) Version() basillift.Version { return s.version }

// Digest is the sum of the hashes of all entries; it does not cover the version.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Plan returns the plan that the customer holds.
func (s *Snapshot) Plan(customer string) (basillift.Plan, bool) {
	name, found := s.planName(customer)
	if !found {
		return basillift.Plan{}, false
	}
	plan, found := s.plans[name]
	return plan, found
}

func (s *Snapshot) planName(customer string) (string, bool) {
	name, found := s.shards[shardOf(customer)][customer]
	return name, found
}

// HasService reports whether the service is declared.
func (s *Snapshot) HasService(service string) bool { return s.declared[service] }

// Services returns the declared services, sorted. The caller must not change them.
func (s *Snapshot) Services() []string { return s.services }

// Customers returns the number of customers.
func (s *Snapshot) Customers() int { return s.customers }

// Plans returns the plans, sorted by name.
func (s *Snapshot) Plans() []basillift.Plan {
	plans := make([]basillift.Plan, 0, len(s.plans))
	for _, n := range slices.Sorted(maps.Keys(s.plans)) {
		plans = append(plans, s.plans[n])
	}
	return plans
}

// All yields each customer and the name of its plan, in no particular order.
func (s *Snapshot) All() iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, m := range s.shards {
			for c, p := range m {
				if !yield(c, p) {
					return
				}
			}
		}
	}
}

// Lists returns the content in the form of the operators' lists.
func (s *Snapshot) Lists() bllist.Lists {
	customers := make([]bllist.Customer, 0, s.customers)
	for c, p := range s.All() {
		customers = append(customers, bllist.NewCustomer(c, p))
	}
	return bllist.NewLists(s.version.Epoch(), s.services, s.Plans(), customers)
}
