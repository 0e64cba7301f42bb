package bllist

import (
	"fmt"
	"slices"

	"basillift.dev/basillift"
)

// decodedValue is a decoded value: a whole list or a part.
type decodedValue[T any] struct {
	key  string
	list T
}

// validator checks what cannot be checked within a single value: duplicates across
// all parts, and references between and within the lists.
type validator struct {
	report   *report
	services map[string]bool
	plans    map[string]bool
}

func (v *validator) problem(k Kind, key, field, found, allowed string) {
	v.report.add(Problem{kind: k, key: key, field: field, found: found, allowed: allowed})
}

func (v *validator) checkServices(parts []decodedValue[PlanList]) {
	v.services = make(map[string]bool)
	for _, p := range parts {
		for i, s := range p.list.Services {
			if v.services[s] {
				v.problem(KindDuplicate, p.key, fmt.Sprintf("services[%d]", i), "the service "+quoteTruncated(s)+" twice", "each service once")
			}
			v.services[s] = true
		}
	}
	if len(v.services) == 0 {
		v.problem(KindEmpty, basillift.KeyPlans, "services", "no service in the whole list", "at least one service")
	}
}

func (v *validator) checkPlans(parts []decodedValue[PlanList]) {
	v.plans = make(map[string]bool)
	for _, p := range parts {
		for i, e := range p.list.Plans {
			if v.plans[e.Name] {
				v.problem(KindDuplicate, p.key, fmt.Sprintf("plans[%d].name", i), "the plan "+quoteTruncated(e.Name)+" twice", "each plan once")
			}
			v.plans[e.Name] = true
			v.checkPlanServices(p.key, i, e)
		}
	}
	if len(v.plans) == 0 {
		v.problem(KindEmpty, basillift.KeyPlans, "plans", "no plan in the whole list", "at least one plan")
	}
}

func (v *validator) checkPlanServices(key string, index int, e PlanEntry) {
	for i, s := range e.Services {
		field := fmt.Sprintf("plans[%d].services[%d]", index, i)
		if !v.services[s] {
			v.problem(KindReference, key, field, "the unknown service "+quoteTruncated(s), "a service that the list declares in services")
		}
		if slices.Contains(e.Services[:i], s) {
			v.problem(KindDuplicate, key, field, "the service "+quoteTruncated(s)+" twice", "each service once in a plan")
		}
	}
}

func (v *validator) checkCustomers(parts []decodedValue[CustomerList]) {
	count := 0
	for _, p := range parts {
		count += len(p.list.Customers)
	}
	seen := make(map[string]bool, count)
	for _, p := range parts {
		for i, c := range p.list.Customers {
			if v.report.full() {
				v.report.more = true
				return
			}
			if seen[c.Name] {
				v.problem(KindDuplicate, p.key, fmt.Sprintf("customers[%d].name", i), "the customer "+quoteTruncated(c.Name)+" twice", "each customer once")
			}
			seen[c.Name] = true
			if !v.plans[c.Plan] {
				v.problem(KindReference, p.key, fmt.Sprintf("customers[%d].plan", i), "the unknown plan "+quoteTruncated(c.Plan), "a plan of the list plans")
			}
		}
	}
}
