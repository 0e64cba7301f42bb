package labdemo

import (
	"encoding/json"
	"fmt"
	"slices"

	"basillift.dev/basillift"
)

// The JSON forms of the three lists, as specified by the design page and schema/. The lab
// defines its own types, so that the demo checks the published form and not the daemon's
// code against itself.
type (
	customerBody struct {
		Name string `json:"name"`
		Plan string `json:"plan"`
	}
	customerListBody struct {
		Epoch     int            `json:"epoch"`
		Customers []customerBody `json:"customers"`
	}
	planBody struct {
		Name     string   `json:"name"`
		Services []string `json:"services"`
		Class    string   `json:"class"`
	}
	planListBody struct {
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

// The customers whose permissions are edited: customerReassigned gets another plan, and
// the plan of customerSeasonal gets other services.
const (
	customerReassigned = "lagodekhi"
	customerSeasonal   = "telavi"
)

// The customers whose permissions never change: customerBasic may use only the first
// service, customerFull all of them.
const (
	customerBasic = "kobuleti"
	customerFull  = "ozurgeti"
)

// fillerCustomers is the number of customers without calls. They make the list as long as
// that of a small company.
const fillerCustomers = 500

// Lists is the state of the two lists that operators edit: customers and plans.
type Lists struct {
	services       []string
	plans          map[string][]string
	reassignedPlan string
}

// NewLists returns the initial lists. There must be at least two services; with exactly
// two, the edits of the plans change nothing.
func NewLists(services []string) *Lists {
	return &Lists{
		services: services,
		plans: map[string][]string{
			planBasic: services[:1], planFull: services, planSeasonal: services,
		},
		reassignedPlan: planFull,
	}
}

// callingCustomers returns the customers on whose behalf the demo sends calls.
func callingCustomers() []string {
	return []string{customerBasic, customerFull, customerReassigned, customerSeasonal}
}

func (l *Lists) planOf(customer string) string {
	switch customer {
	case customerBasic:
		return planBasic
	case customerReassigned:
		return l.reassignedPlan
	case customerSeasonal:
		return planSeasonal
	default:
		return planFull
	}
}

// Allows reports whether the lists allow a customer to call a service.
func (l *Lists) Allows(customer, service string) bool {
	return slices.Contains(l.plans[l.planOf(customer)], service)
}

// ApplyEdit applies the n-th edit, counted from 0, and returns the key that it changes. An
// even edit revokes services and the next one grants them again; these pairs alternate
// between the customer list and the plan list.
func (l *Lists) ApplyEdit(n int) string {
	revoke := n%2 == 0
	if n/2%2 == 0 {
		l.reassignedPlan = planFull
		if revoke {
			l.reassignedPlan = planBasic
		}
		return basillift.KeyCustomers
	}
	l.plans[planSeasonal] = l.services
	if revoke {
		l.plans[planSeasonal] = l.services[:2]
	}
	return basillift.KeyPlans
}

// Encode returns the JSON value of the key of one of the two lists.
func (l *Lists) Encode(key string) ([]byte, error) {
	var value any
	switch key {
	case basillift.KeyCustomers:
		value = l.customerList()
	default:
		value = l.planList()
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", key, err)
	}
	return data, nil
}

func (l *Lists) customerList() customerListBody {
	b := customerListBody{Epoch: 1}
	for _, c := range callingCustomers() {
		b.Customers = append(b.Customers, customerBody{Name: c, Plan: l.planOf(c)})
	}
	for i := range fillerCustomers {
		b.Customers = append(b.Customers, customerBody{Name: fmt.Sprintf("merchant-%03d", i), Plan: planBasic})
	}
	return b
}

func (l *Lists) planList() planListBody {
	b := planListBody{Epoch: 1, Services: l.services}
	for _, p := range []string{planBasic, planFull, planSeasonal} {
		b.Plans = append(b.Plans, planBody{Name: p, Services: l.plans[p], Class: string(basillift.ClassNormal)})
	}
	return b
}

// encodeVMs returns the JSON value of the key vms.
func encodeVMs(vms []VM) ([]byte, error) {
	list := make([]vmBody, 0, len(vms))
	for _, v := range vms {
		list = append(list, vmBody{
			Name: v.name, Address: v.controlAddress(), Service: v.service, Domain: v.domain, Region: v.region, State: "live",
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode vms: %w", err)
	}
	return data, nil
}
