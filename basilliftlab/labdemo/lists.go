package labdemo

import (
	"encoding/json"
	"fmt"
	"slices"

	"basillift.dev/basillift"
)

// The wire forms of the three lists, as the design page and schema/ give them.
// The lab has its own, so that the demo checks the published form and not the
// daemon's code against itself.
type (
	customerBody struct {
		Name string `json:"name"`
		Plan string `json:"plan"`
	}
	customersBody struct {
		Epoch     int            `json:"epoch"`
		Customers []customerBody `json:"customers"`
	}
	planBody struct {
		Name     string   `json:"name"`
		Services []string `json:"services"`
		Class    string   `json:"class"`
	}
	plansBody struct {
		Epoch    int        `json:"epoch"`
		Services []string   `json:"services"`
		Plans    []planBody `json:"plans"`
	}
	vmBody struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Service string `json:"service"`
		Domain  string `json:"domain"`
		Region  string `json:"region"`
		State   string `json:"state"`
	}
)

// The plans of the demo.
const (
	planBasic    = "basic"
	planFull     = "full"
	planSeasonal = "seasonal"
)

// The customers whose rights are edited: one by its own entry, one by its plan.
const (
	customerMoved    = "lagodekhi"
	customerSeasonal = "telavi"
)

// Customers whose rights never change: one with the first service only, one with all.
const (
	customerBasic = "kobuleti"
	customerFull  = "ozurgeti"
)

// fillers is the number of customers that only make the list as long as a small company's.
const fillers = 500

// Lists are the two lists as operators edit them.
type Lists struct {
	services []string
	plans    map[string][]string
	moved    string
}

// NewLists returns the first lists of a mesh with three services.
func NewLists(services []string) *Lists {
	return &Lists{
		services: services,
		plans: map[string][]string{
			planBasic: services[:1], planFull: services, planSeasonal: services,
		},
		moved: planFull,
	}
}

// callers are the customers in whose names the demo sends calls.
func callers() []string {
	return []string{customerBasic, customerFull, customerMoved, customerSeasonal}
}

func (l *Lists) plan(customer string) string {
	switch customer {
	case customerBasic:
		return planBasic
	case customerMoved:
		return l.moved
	case customerSeasonal:
		return planSeasonal
	default:
		return planFull
	}
}

// Allows reports whether the lists allow a customer to use a service.
func (l *Lists) Allows(customer, service string) bool {
	return slices.Contains(l.plans[l.plan(customer)], service)
}

// Edit makes the n-th edit and returns the key that it changes. Each even edit
// takes services away and the next one gives them back; pairs alternate between
// the two lists.
func (l *Lists) Edit(n int) string {
	take := n%2 == 0
	if n/2%2 == 0 {
		l.moved = planFull
		if take {
			l.moved = planBasic
		}
		return basillift.KeyCustomers
	}
	l.plans[planSeasonal] = l.services
	if take {
		l.plans[planSeasonal] = l.services[:2]
	}
	return basillift.KeyPlans
}

// Encode returns the value of a key.
func (l *Lists) Encode(key string) ([]byte, error) {
	var value any
	switch key {
	case basillift.KeyCustomers:
		value = l.customers()
	default:
		value = l.planList()
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", key, err)
	}
	return data, nil
}

func (l *Lists) customers() customersBody {
	b := customersBody{Epoch: 1}
	for _, c := range callers() {
		b.Customers = append(b.Customers, customerBody{Name: c, Plan: l.plan(c)})
	}
	for i := range fillers {
		b.Customers = append(b.Customers, customerBody{Name: fmt.Sprintf("merchant-%03d", i), Plan: planBasic})
	}
	return b
}

func (l *Lists) planList() plansBody {
	b := plansBody{Epoch: 1, Services: l.services}
	for _, p := range []string{planBasic, planFull, planSeasonal} {
		b.Plans = append(b.Plans, planBody{Name: p, Services: l.plans[p], Class: string(basillift.ClassNormal)})
	}
	return b
}

// encodeVMs returns the value of the key vms.
func encodeVMs(vms []VM) ([]byte, error) {
	list := make([]vmBody, 0, len(vms))
	for _, v := range vms {
		list = append(list, vmBody{
			Name: v.name, Address: v.control(), Service: v.service, Domain: v.domain, Region: v.region, State: "live",
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode vms: %w", err)
	}
	return data, nil
}
