package blconfig

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// shardCount limits the copying for a change of one customer to about 1/256 of all
// customers.
const shardCount = 256

// Snapshot is one version of the configuration. It is immutable and safe for
// concurrent use. It implements basillift.Configuration.
type Snapshot struct {
	version        basillift.Version
	digest         uint64
	shards         [shardCount]map[string]string // customer to plan
	customers      int                           // number of customers in all shards
	plans          map[string]basillift.Plan
	customerCounts map[string]int // plan to its number of customers
	declared       map[string]bool
	services       []string // the declared services, sorted
	full           *fullCache
}

var _ basillift.Configuration = (*Snapshot)(nil)

// Build returns a snapshot of the lists, which should be valid. It checks again
// that names are unique and that references exist, and otherwise returns
// ErrDuplicate or ErrReference.
func Build(v basillift.Version, l bllist.Lists) (*Snapshot, error) {
	if err := checkUnique(l); err != nil {
		return nil, fmt.Errorf("build version %s: %w", v, err)
	}
	b := newSnapshotBuilder(emptySnapshot())
	b.preallocate(len(l.Customers()))
	for _, s := range l.Services() {
		b.addService(s)
	}
	for _, p := range l.Plans() {
		b.setPlan(p)
	}
	for _, c := range l.Customers() {
		b.setCustomer(c.Name(), c.Plan())
	}
	s, err := b.build(v)
	if err != nil {
		return nil, fmt.Errorf("build version %s: %w", v, err)
	}
	return s, nil
}

func emptySnapshot() *Snapshot { return &Snapshot{} }

// Version returns the version of the configuration.
func (s *Snapshot) Version() basillift.Version { return s.version }

// Digest returns the sum of the hashes of all entries, modulo 2^64. It does not
// cover the version.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Plan returns the plan of the customer, or false for an unknown customer.
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

// Services returns the declared services, sorted. The caller must not modify the slice.
func (s *Snapshot) Services() []string { return s.services }

// CustomerCount returns the number of customers.
func (s *Snapshot) CustomerCount() int { return s.customers }

// Plans returns the plans, sorted by name.
func (s *Snapshot) Plans() []basillift.Plan {
	plans := make([]basillift.Plan, 0, len(s.plans))
	for _, n := range slices.Sorted(maps.Keys(s.plans)) {
		plans = append(plans, s.plans[n])
	}
	return plans
}

// All iterates over each customer and the name of its plan, in no particular order.
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
