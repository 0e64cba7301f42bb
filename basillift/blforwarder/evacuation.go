package blforwarder

import (
	"fmt"
	"io"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

// evacuatedRetryAfter is the value of Retry-After if all targets of a service are evacuated. An evacuation lasts for minutes, but
// its end has to be noticed, and a refusal at the caller's daemon costs no message.
const evacuatedRetryAfter = time.Second

// ownTargetEvacuated returns since when the failure domain of the VM's own target is evacuated, and whether it is. The failure
// domain is the one by which others place requests, that of the target's entry, or that of the settings if there is no entry.
func (f *Forwarder) ownTargetEvacuated() (since time.Time, evacuated bool) {
	if !f.fleet.AnyEvacuated() {
		return time.Time{}, false
	}
	return f.fleet.Evacuated(f.ownTarget("").Domain())
}

// instanceLimits returns the limits of requests to an instance of the VM's own target: it may be leaving or evacuated.
func (f *Forwarder) instanceLimits(instance string) waitLimits {
	limits := f.leavingLimits(instance)
	if since, evacuated := f.ownTargetEvacuated(); evacuated {
		limits = limits.lower(waitLimits{startBy: since})
	}
	return limits
}

// withEvacuatedReason returns the refusal of a request that waited. If it was refused because its target is evacuated, it says so, and
// another target can be tried at once, whatever the queue expects.
func (f *Forwarder) withEvacuatedReason(refusal *answer) *answer {
	if _, evacuated := f.ownTargetEvacuated(); evacuated && refusal.reason == basillift.ReasonOverload {
		refusal.reason, refusal.retryAfter = basillift.ReasonEvacuated, 0
	}
	return refusal
}

// refuseWithoutTarget returns the refusal of a request for which there is no target left to try.
func (c *callerSide) refuseWithoutTarget(rr *routedRequest) *answer {
	f := c.forwarder
	switch {
	case len(rr.triedInstances) > 0:
		return notRunAnswer(basillift.ReasonOverload, 0)
	case len(f.fleet.Targets(rr.service)) == 0 && len(f.fleet.EvacuatedTargets(rr.service)) > 0:
		rr.earliestRetryAfter = evacuatedRetryAfter
		return notRunAnswer(basillift.ReasonEvacuated, 0)
	default:
		return notRunAnswer(basillift.ReasonNoTarget, 0)
	}
}

// excludeEvacuated leaves out all targets of a failure domain for a request that one of them has refused because it is evacuated.
// This daemon does not know of the evacuation yet, and the number of refusals of a request is bounded.
func (c *callerSide) excludeEvacuated(rr *routedRequest, refusing *blfleet.Target, refusal *answer) {
	if refusal.reason != basillift.ReasonEvacuated {
		return
	}
	for _, t := range c.forwarder.fleet.Targets(rr.service) {
		if t.Endpoint().Domain() == refusing.Endpoint().Domain() {
			rr.triedInstances = append(rr.triedInstances, t.Endpoint().Instance())
		}
	}
}

// explainEvacuated describes the targets of a service that get no requests because of an evacuation, one line each.
func (f *Forwarder) explainEvacuated(service string) (lines []string) {
	for _, t := range f.fleet.EvacuatedTargets(service) {
		e := t.Endpoint()
		since, _ := f.fleet.Evacuated(e.Domain())
		lines = append(lines, fmt.Sprintf("target %s: evacuated since %s, in %s", e.Instance(), since.UTC().Format(time.RFC3339), e.Domain()))
	}
	return lines
}

// writeEvacuations writes since when each failure domain is evacuated.
func (f *Forwarder) writeEvacuations(w io.Writer) {
	for _, e := range f.fleet.Evacuations() {
		_, _ = fmt.Fprintf(w, "basillift_evacuated_since_seconds{domain=%q} %d\n", e.Domain(), e.Since().Unix())
	}
}
