package blroute

import "basillift.dev/basillift"

// Authorize returns the customer's plan if the plan allows the service, or the reason
// to refuse the call. A nil configuration means that the daemon has not applied any
// version of the configuration yet.
func Authorize(c basillift.Configuration, customer, service string) (basillift.Plan, basillift.Reason) {
	if c == nil {
		return basillift.Plan{}, basillift.ReasonNoVersion
	}
	plan, known := c.Plan(customer)
	if !known {
		return basillift.Plan{}, basillift.ReasonCustomer
	}
	if !c.HasService(service) {
		return basillift.Plan{}, basillift.ReasonService
	}
	if !plan.Allows(service) {
		return basillift.Plan{}, basillift.ReasonPlan
	}
	return plan, basillift.ReasonNone
}
