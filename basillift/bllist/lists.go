package bllist

import (
	"slices"
	"strings"

	"basillift.dev/basillift"
)

// Customer is one customer and the name of the plan that it holds.
type Customer struct {
	name string
	plan string
}

// NewCustomer returns a customer.
func NewCustomer(name, plan string) Customer { return Customer{name: name, plan: plan} }

// Name identifies the customer.
func (c Customer) Name() string { return c.name }

// Plan is the name of the customer's plan.
func (c Customer) Plan() string { return c.plan }

// Lists is the content of both lists, independent of how they are split. The
// returned slices are shared; callers must not change them.
type Lists struct {
	epoch     uint64
	services  []string
	plans     []basillift.Plan
	customers []Customer
}

// NewLists returns lists with copies of the given entries, sorted by name. It
// validates nothing; Assemble and Parse return only valid lists.
func NewLists(epoch uint64, services []string, plans []basillift.Plan, customers []Customer) Lists {
	l := Lists{
		epoch:     epoch,
		services:  slices.Clone(services),
		plans:     slices.Clone(plans),
		customers: slices.Clone(customers),
	}
	slices.Sort(l.services)
	slices.SortFunc(l.plans, func(a, b basillift.Plan) int { return strings.Compare(a.Name(), b.Name()) })
	slices.SortFunc(l.customers, func(a, b Customer) int { return strings.Compare(a.name, b.name) })
	return l
}

// Epoch is the larger of the two lists' epochs.
func (l Lists) Epoch() uint64 { return l.epoch }

// Services are the declared services, sorted.
func (l Lists) Services() []string { return l.services }

// Plans are the plans, sorted by name.
func (l Lists) Plans() []basillift.Plan { return l.plans }

// Customers are the customers, sorted by name.
func (l Lists) Customers() []Customer { return l.customers }
