package blroute

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// Explanation is one step of a decision, for an operator.
type Explanation struct {
	subject string
	verdict string
	why     string
}

// Subject is what the step is about: a customer, a service or a VM.
func (s Explanation) Subject() string { return s.subject }

// Result is what was decided in one word.
func (s Explanation) Result() string { return s.verdict }

// Reason says why.
func (s Explanation) Reason() string { return s.why }

// Explain lists, in order, why a call of the customer to the service goes where it
// goes: the plan check, then each known target. It takes no decision and no random number.
func (c *Chooser) Explain(now time.Time, g basillift.Configuration, customer, service string, targets []basillift.Status) []Explanation {
	plan, reason := Check(g, customer, service)
	if reason != basillift.ReasonNone {
		return []Explanation{{customer, "refused", string(reason)}}
	}
	why := fmt.Sprintf("version %s: plan %s allows %s, class %s", g.Version(), plan.Name(), service, plan.Class())
	steps := []Explanation{{customer, "allowed", why}}
	all := pointers(c.subset(now, targets))
	usable := append([]*candidate(nil), c.usable(now, targets, nil)...)
	final := c.group(now, append([]*candidate(nil), usable...))
	for _, s := range targets {
		steps = append(steps, c.explain(now, s, all, usable, final))
	}
	if len(final) == 0 {
		return append(steps, Explanation{service, "refused", string(basillift.ReasonNoTarget)})
	}
	return append(steps, Explanation{service, "routed", fmt.Sprintf("less loaded of two random ones among %d", len(final))})
}

// explain says what became of one target.
func (c *Chooser) explain(now time.Time, s basillift.Status, all, usable, final []*candidate) Explanation {
	id := string(s.Member().ID())
	m := s.Member()
	switch {
	case s.Leaving():
		return Explanation{id, "skipped", "the platform lists the VM as leaving"}
	case !m.State().AcceptsRequests():
		return Explanation{id, "skipped", "target is " + string(m.State())}
	case !holds(all, m.ID()) && s.Liveness() == basillift.LivenessDead:
		return Explanation{id, "skipped", "believed dead while others are alive"}
	case !holds(all, m.ID()):
		return Explanation{id, "skipped", fmt.Sprintf("not among the %d targets that this daemon uses", c.settings.subset)}
	}
	t := c.targets[m.ID()]
	switch {
	case !holds(usable, m.ID()):
		return Explanation{id, "skipped", "ejected for another " + t.ejectedUntil.Sub(now).Round(time.Millisecond).String()}
	case !holds(final, m.ID()) && t.full(now, m.Slots(), c.settings.spill):
		return Explanation{id, "skipped", fmt.Sprintf("full: %d of %d slots used by this daemon, or refused a call just now", t.inFlight, m.Slots())}
	case !holds(final, m.ID()):
		return Explanation{id, "skipped", "a nearer failure domain has room"}
	}
	return Explanation{id, "candidate", c.describe(now, m, t)}
}

func (c *Chooser) describe(now time.Time, m basillift.Member, t *target) string {
	text := fmt.Sprintf("failure domain %s, %d in flight, latency %.1f ms",
		m.Place().FailureDomain(), t.inFlight, 1000*t.latency(c.mean))
	if r := t.ramp(now, c.settings.slowStart); r < 1 {
		text += fmt.Sprintf(", slow start at %.0f%%", 100*r)
	}
	if t.ejected(now) {
		text += ", ejected but used since most targets look bad"
	}
	return text
}

func pointers(candidates []candidate) []*candidate {
	all := make([]*candidate, len(candidates))
	for i := range candidates {
		all[i] = &candidates[i]
	}
	return all
}

func holds(candidates []*candidate, id basillift.VMID) bool {
	for _, cd := range candidates {
		if cd.member.ID() == id {
			return true
		}
	}
	return false
}
