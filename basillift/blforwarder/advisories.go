package blforwarder

import (
	"math"
	"strconv"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllog"
)

// parseAdvisory reads what a target says about itself in an answer. valid is false if it names a limit that is no number.
func parseAdvisory(names basillift.HeaderNames, a *answer) (advisory basillift.Advisory, valid bool) {
	advisory, valid = basillift.NewAdvisory(), true
	if a.header(names.Leaving()) == "1" {
		advisory = advisory.WithLeaving()
	}
	if text := a.header(names.Limit()); text != "" {
		var perSecond float64
		if perSecond, valid = parseRequestLimit(text); valid {
			advisory = advisory.WithRequestLimit(perSecond)
		}
	}
	return advisory, valid
}

// parseRequestLimit parses a decimal number of requests per second, 0 or more.
func parseRequestLimit(text string) (perSecond float64, valid bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && !math.IsInf(perSecond, 0) && perSecond >= 0
}

// ownTarget returns the entry of the VM's own target, or one with the instance alone if the entry is not known.
func (f *Forwarder) ownTarget(instance string) basillift.Endpoint {
	if e, _, known := f.fleet.EndpointAt(f.settings.targetAddress); known && (instance == "" || e.Instance() == instance) {
		return e
	}
	return basillift.NewEndpoint(instance, f.settings.service, f.settings.targetAddress, f.settings.domain, 0, basillift.TargetReady)
}

// observeOwnAnswer records what the VM's own target says about itself in an answer. An answer without the seal did not come
// from the target unless it carries an advisory: refusals have no seal.
func (f *Forwarder) observeOwnAnswer(now time.Time, instance string, a *answer) {
	advisory, valid := parseAdvisory(f.settings.headerNames, a)
	if advisory.Empty() && (!valid || a.header(f.settings.headerNames.Seal()) == "") {
		return
	}
	e := f.ownTarget(instance)
	changed, left := f.advisories.Observe(now, e, advisory)
	f.applyRequestLimit(now, e)
	f.admission.setLimitKnown(now)
	if left {
		f.accepted.lowerInstances(f.leavingLimits)
	}
	if left && f.log != nil {
		f.log.Event(bllog.TargetLeaving()).Str("instance", e.Instance()).Send()
	}
	if changed && f.log != nil {
		perSecond, limited := f.advisories.Limit(now, e)
		f.log.Event(bllog.TargetLimited()).Str("instance", e.Instance()).Bool("limited", limited).Float64("requests_per_second", perSecond).Send()
	}
}

// observeCallerAdvisory records what another daemon knows of the VM's own target. A daemon that has just started learns it
// so before it sends a request to its target.
func (f *Forwarder) observeCallerAdvisory(now time.Time, meta requestMetadata) {
	if !meta.advisory.Empty() {
		e := f.ownTarget(meta.instance)
		f.advisories.ObserveReport(now, e, meta.advisory)
		f.applyRequestLimit(now, e)
		if meta.advisory.Leaving() {
			f.accepted.lowerInstances(f.leavingLimits)
		}
		if _, limited := meta.advisory.RequestLimit(); limited {
			f.admission.setLimitKnown(now)
		}
	}
}

// applyRequestLimit makes the admission keep the limit of the VM's own target. The daemon beside a target counts all
// requests to it, from all VMs.
func (f *Forwarder) applyRequestLimit(now time.Time, e basillift.Endpoint) {
	perSecond, limited := f.advisories.Limit(now, e)
	f.admission.setRequestLimit(now, perSecond, limited)
}

// ownTargetLeaving returns since when the VM's own target is known to be leaving: by the registry, or by its answers.
func (f *Forwarder) ownTargetLeaving(instance string) (since time.Time, leaving bool) {
	_, since, _ = f.fleet.EndpointAt(f.settings.targetAddress)
	if advised, known := f.advisories.Leaving(f.ownTarget(instance)); known && (since.IsZero() || advised.Before(since)) {
		since = advised
	}
	return since, !since.IsZero()
}

// leavingLimits returns the limits of requests to an instance of the VM's own target that may be leaving.
func (f *Forwarder) leavingLimits(instance string) waitLimits {
	since, leaving := f.ownTargetLeaving(instance)
	if !leaving {
		return waitLimits{}
	}
	return waitLimits{startBy: since.Add(time.Duration(f.drainPeriod.Load()) - drainMargin)}
}
