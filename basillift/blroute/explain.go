package blroute

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// Explanation describes one step of a routing decision to an operator.
type Explanation struct {
	subject string
	result  string
	reason  string
}

// Subject is the customer, the service or the VM that the step concerns.
func (e Explanation) Subject() string { return e.subject }

// Result is "allowed", "refused", "skipped", "candidate" or "routed".
func (e Explanation) Result() string { return e.result }

// Reason explains the result in a short text.
func (e Explanation) Reason() string { return e.reason }

// Explain returns the steps of routing a call of the customer to the service, in
// order: the plan check, each known target, and the overall result. It selects no
// target and leaves the random source untouched.
func (c *Chooser) Explain(now time.Time, configuration basillift.Configuration, customer, service string, targets []basillift.Status) []Explanation {
	plan, reason := Authorize(configuration, customer, service)
	if reason != basillift.ReasonNone {
		return []Explanation{{customer, "refused", string(reason)}}
	}
	detail := fmt.Sprintf("version %s: plan %s allows %s, class %s", configuration.Version(), plan.Name(), service, plan.Class())
	steps := []Explanation{{customer, "allowed", detail}}
	all := pointers(c.subset(now, targets))
	usable := append([]*candidate(nil), c.usable(now, targets, nil)...)
	group := c.nearestGroup(now, append([]*candidate(nil), usable...))
	for _, s := range targets {
		steps = append(steps, c.explainTarget(now, s, all, usable, group))
	}
	if len(group) == 0 {
		return append(steps, Explanation{service, "refused", string(basillift.ReasonNoTarget)})
	}
	return append(steps, Explanation{service, "routed", fmt.Sprintf("the less loaded of two random candidates out of %d", len(group))})
}

// explainTarget returns whether one target is a candidate, or why it is skipped.
func (c *Chooser) explainTarget(now time.Time, s basillift.Status, all, usable, group []*candidate) Explanation {
	id := string(s.Member().ID())
	m := s.Member()
	switch {
	case s.Leaving():
		return Explanation{id, "skipped", "the platform lists the VM as leaving"}
	case !m.State().AcceptsRequests():
		return Explanation{id, "skipped", "target is " + string(m.State())}
	case !containsCandidate(all, m.ID()) && s.Liveness() == basillift.LivenessDead:
		return Explanation{id, "skipped", "considered dead while other targets are alive"}
	case !containsCandidate(all, m.ID()):
		return Explanation{id, "skipped", fmt.Sprintf("not in the subset of %d targets that this daemon uses", c.settings.subset)}
	}
	t := c.targets[m.ID()]
	switch {
	case !containsCandidate(usable, m.ID()):
		return Explanation{id, "skipped", "ejected for another " + t.ejectedUntil.Sub(now).Round(time.Millisecond).String()}
	case !containsCandidate(group, m.ID()) && t.saturated(now, m.Slots(), c.settings.spillThreshold):
		return Explanation{id, "skipped", fmt.Sprintf("saturated: %d of %d slots in use by this daemon, or a call was refused just now", t.inFlight, m.Slots())}
	case !containsCandidate(group, m.ID()):
		return Explanation{id, "skipped", "a nearer group of targets has free slots"}
	}
	return Explanation{id, "candidate", c.describe(now, m, t)}
}

func (c *Chooser) describe(now time.Time, m basillift.Member, t *target) string {
	text := fmt.Sprintf("failure domain %s, %d in flight, latency %.1f ms",
		m.Place().FailureDomain(), t.inFlight, 1000*t.estimatedLatency(c.meanLatencySeconds))
	if r := t.slowStartFactor(now, c.settings.slowStart); r < 1 {
		text += fmt.Sprintf(", slow start at %.0f%%", 100*r)
	}
	if t.ejected(now) {
		text += ", ejected but used because most targets are ejected"
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

func containsCandidate(candidates []*candidate, id basillift.VMID) bool {
	for _, cd := range candidates {
		if cd.member.ID() == id {
			return true
		}
	}
	return false
}
