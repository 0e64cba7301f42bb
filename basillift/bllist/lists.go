package bllist

import (
	"slices"
	"strings"

	"basillift.dev/basillift"
)

// Customer is a customer and the name of its plan.
type Customer struct {
	name string
	plan string
}

// NewCustomer returns a customer with the given plan. It validates neither name.
func NewCustomer(name, plan string) Customer { return Customer{name: name, plan: plan} }

// Name returns the unique name of the customer.
func (c Customer) Name() string { return c.name }

// Plan returns the name of the customer's plan.
func (c Customer) Plan() string { return c.plan }

// Lists is the content of both lists, independent of how they are split into parts.
// Its methods return shared slices, which callers must not modify.
type Lists struct {
	epoch     uint64
	services  []string
	plans     []basillift.Plan
	customers []Customer
}

// NewLists returns lists with sorted copies of the given slices. It does not validate
// them; Assemble and Parse return only valid lists.
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

// Epoch returns the larger epoch of the two lists.
func (l Lists) Epoch() uint64 { return l.epoch }

// Services returns the declared services, sorted.
func (l Lists) Services() []string { return l.services }

// Plans returns the plans, sorted by name.
func (l Lists) Plans() []basillift.Plan { return l.plans }

// Customers returns the customers, sorted by name.
func (l Lists) Customers() []Customer { return l.customers }
