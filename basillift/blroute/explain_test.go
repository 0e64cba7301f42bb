package blroute

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

// testConfiguration is a configuration with one customer, two services and one plan.
type testConfiguration struct{ basillift.Configuration }

func (testConfiguration) Version() basillift.Version { return basillift.NewVersion(1, 7) }

func (testConfiguration) Plan(customer string) (basillift.Plan, bool) {
	return basillift.NewPlan("basic", []string{"catalogue"}, 0, 0, ""), customer == "kobuleti"
}

func (testConfiguration) HasService(service string) bool {
	return service == "catalogue" || service == "gallery"
}

// Guards against calls that the customer's plan does not allow.
func TestAuthorize(t *testing.T) {
	cases := []struct {
		configuration     basillift.Configuration
		customer, service string
		want              basillift.Reason
	}{
		{nil, "kobuleti", "catalogue", basillift.ReasonNoVersion},
		{testConfiguration{}, "nobody", "catalogue", basillift.ReasonCustomer},
		{testConfiguration{}, "kobuleti", "nothing", basillift.ReasonService},
		{testConfiguration{}, "kobuleti", "gallery", basillift.ReasonPlan},
		{testConfiguration{}, "kobuleti", "catalogue", basillift.ReasonNone},
	}
	for _, tc := range cases {
		_, got := Authorize(tc.configuration, tc.customer, tc.service)
		is.New(t).Equal(got, tc.want)
	}
}

// Guards against an explanation that differs from the routing decision.
func TestExplain(t *testing.T) {
	c := newChooser()
	targets := []basillift.Status{
		readyStatus(1, "a"), readyStatus(2, "a"), readyStatus(3, "b"),
		statusWith(4, "a", basillift.TargetDraining, basillift.LivenessAlive),
		statusWith(5, "a", basillift.TargetReady, basillift.LivenessDead),
	}
	countChoices(c, epoch, targets)
	c.Started(epoch, "vm-01")
	c.Finished(epoch, "vm-01", ResultCrashed)
	var results []string
	for _, e := range c.Explain(epoch, testConfiguration{}, "kobuleti", "catalogue", targets) {
		results = append(results, e.Subject()+" "+e.Result())
	}
	is.New(t).Equal(strings.Join(results, ", "), "kobuleti allowed, vm-01 skipped, vm-02 candidate, "+
		"vm-03 skipped, vm-04 skipped, vm-05 skipped, catalogue routed")
	refused := c.Explain(epoch, testConfiguration{}, "kobuleti", "gallery", targets)
	is.New(t).Equal(refused, []Explanation{{"kobuleti", "refused", "not-in-plan"}})
}

// Guards against hedges of calls that must not run twice, such as payments, and
// against hedges that add more than 5% of load.
func TestHedge(t *testing.T) {
	is := is.New(t)
	h, rnd := NewHedger(), rand.New(rand.NewSource(1))
	slower, hedges := 0, 0
	for i := range 20_000 {
		h.Started(epoch)
		elapsed := time.Duration(rnd.ExpFloat64() * float64(10*time.Millisecond))
		delay, _ := h.Delay()
		if i >= 10_000 && elapsed > delay {
			slower++
		}
		if h.Hedge(epoch, time.Minute, true, false) {
			hedges++
		}
		h.Finished(epoch, elapsed)
	}
	is.True(slower > 350 && slower < 650) // about 5% of 10,000
	is.True(hedges > 900 && hedges <= 1000)
	h.tokens = maxHedgeTokens
	is.True(!h.Hedge(epoch, time.Minute, false, false))
	is.True(!h.Hedge(epoch, time.Minute, true, true))
	is.True(!h.Hedge(epoch, 0, true, false))
	is.True(h.Hedge(epoch, time.Minute, true, false))
}
