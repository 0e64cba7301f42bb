package blroute

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

// lists is a configuration with one customer, two services and one plan.
type lists struct{ basillift.Configuration }

func (lists) Version() basillift.Version { return basillift.NewVersion(1, 7) }

func (lists) Plan(customer string) (basillift.Plan, bool) {
	return basillift.NewPlan("basic", []string{"catalogue"}, 0, 0, ""), customer == "kobuleti"
}

func (lists) HasService(service string) bool { return service == "catalogue" || service == "gallery" }

// Guards against traffic that a plan does not allow.
func TestCheck(t *testing.T) {
	cases := []struct {
		lists             basillift.Configuration
		customer, service string
		want              basillift.Reason
	}{
		{nil, "kobuleti", "catalogue", basillift.ReasonNoVersion},
		{lists{}, "nobody", "catalogue", basillift.ReasonCustomer},
		{lists{}, "kobuleti", "nothing", basillift.ReasonService},
		{lists{}, "kobuleti", "gallery", basillift.ReasonPlan},
		{lists{}, "kobuleti", "catalogue", basillift.ReasonNone},
	}
	for _, tc := range cases {
		_, got := Check(tc.lists, tc.customer, tc.service)
		is.New(t).Equal(got, tc.want)
	}
}

// Guards against an explanation that differs from the decision.
func TestExplain(t *testing.T) {
	c := newChooser()
	targets := []basillift.Status{
		status(1, "a"), status(2, "a"), status(3, "b"),
		believed(4, "a", basillift.TargetDraining, basillift.LivenessAlive),
		believed(5, "a", basillift.TargetReady, basillift.LivenessDead),
	}
	counts(c, epoch, targets)
	c.Started(epoch, "vm-01")
	c.Finished(epoch, "vm-01", ResultCrashed)
	var verdicts []string
	for _, s := range c.Explain(epoch, lists{}, "kobuleti", "catalogue", targets) {
		verdicts = append(verdicts, s.Subject()+" "+s.Result())
	}
	is.New(t).Equal(strings.Join(verdicts, ", "), "kobuleti allowed, vm-01 skipped, vm-02 candidate, "+
		"vm-03 skipped, vm-04 skipped, vm-05 skipped, catalogue routed")
	refused := c.Explain(epoch, lists{}, "kobuleti", "gallery", targets)
	is.New(t).Equal(refused, []Explanation{{"kobuleti", "refused", "not-in-plan"}})
}

// Guards against hedges that run a payment twice or add more than 5% of load.
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
	h.tokens = hedgeBurst
	is.True(!h.Hedge(epoch, time.Minute, false, false))
	is.True(!h.Hedge(epoch, time.Minute, true, true))
	is.True(!h.Hedge(epoch, 0, true, false))
	is.True(h.Hedge(epoch, time.Minute, true, false))
}
