package blforwarder

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

// explainer explains one request. It runs the functions that decide on a request, in the order of a request, and sends nothing.
type explainer struct {
	forwarder *Forwarder
	caller    *callerSide
	now       time.Time
	rr        *routedRequest
	query     blbalance.Request
	result    blexplain.Explanation
}

// Explain says where a request would go now and why. It changes no state.
func (f *Forwarder) Explain(now time.Time, q blexplain.Query) blexplain.Explanation {
	x := &explainer{forwarder: f, caller: &callerSide{forwarder: f}, now: now, result: blexplain.Explanation{Targets: []blexplain.Target{}}}
	x.result.Lines = append([]string{"decision: " + x.decide(q)}, x.result.Lines...)
	return x.result
}

func (x *explainer) addf(format string, arguments ...any) {
	x.result.Lines = append(x.result.Lines, fmt.Sprintf(format, arguments...))
}

// decide returns the text of the decision and adds the reasons.
func (x *explainer) decide(q blexplain.Query) string {
	f := x.forwarder
	r := x.request(q)
	if limit := x.caller.connLimits().bodyBytes; r.exceeds(limit) {
		x.addf("body: %d bytes, allowed are %d", q.Bytes(), limit)
		return x.refuse(rejectedAnswer(http.StatusRequestEntityTooLarge, basillift.ReasonBadRequest))
	}
	table, route, refusal := x.caller.findRoute(r, f.tables.Current)
	x.addTable(table, q)
	if refusal != nil {
		return x.refuse(refusal)
	}
	x.rr = x.caller.prepare(r, route, previewLookups{f})
	x.query = blbalance.NewRequest(route.Name(), x.caller.expectedBytes(x.rr), x.rr.metadata.softDeadline)
	x.result.Route, x.result.Service = route.Name(), x.rr.service
	x.addRequest(q)
	text := x.attempts()
	x.addOtherServices()
	x.addOwnTarget()
	return text
}

// request returns the request of a query. Its body is in memory unless it is so large that the body of a request is streamed.
func (x *explainer) request(q blexplain.Query) *request {
	r := &request{uri: q.Path(), host: q.Host(), size: q.Bytes(), arrived: x.now}
	if q.Bytes() > maxBufferedBytes {
		r.stream = &requestStream{}
	} else {
		r.body = make([]byte, max(0, q.Bytes()))
	}
	if q.Deadline() > 0 {
		millis := strconv.FormatFloat(float64(q.Deadline())/float64(time.Millisecond), 'f', -1, 64)
		r.fields = []field{{x.forwarder.settings.headerNames.Deadline(), millis}}
	}
	return r
}

func (x *explainer) addTable(t *bltable.Table, q blexplain.Query) {
	if t == nil {
		if x.forwarder.tables.Current() == nil {
			x.addf("table: none is in force yet; the answer is 503")
		}
		return
	}
	x.result.Lines = append(x.result.Lines, t.Explain(q.Host(), q.Path())...)
}

// addRequest describes what holds for the request at all targets.
func (x *explainer) addRequest(q blexplain.Query) {
	f, rr := x.forwarder, x.rr
	if len(rr.route.Services()) > 1 {
		text := "the next request goes to " + rr.service
		if _, known := f.splitter.Preview(rr.route); !known {
			text = "not used by this daemon yet, starts at random; shown is " + rr.service
		}
		x.addf("split: %s", text)
	}
	m := rr.metadata
	stated := "the caller states no deadline"
	if q.Deadline() > 0 {
		stated = fmt.Sprintf("the caller waits %s", q.Deadline())
	}
	x.addf("deadline: in %s, soft deadline in %s, objective %s; %s", m.deadline.Sub(x.now), m.softDeadline.Sub(x.now), m.latencyObjective, stated)
	x.addf("bytes: %d expected for the request and its answer", x.caller.expectedBytes(rr))
	if m.parent.rank != noParentRank {
		x.addf("parent: nested call of a request of priority %d", m.parent.rank)
	}
	if n := len(f.quarantine.quarantines(x.now)); n > 0 {
		x.addf("quarantine: %d requests that crash targets are refused; not known whether this is one of them", n)
	}
}

// attempts follows the attempts of the request until one is sent, runs or waits, or the request is refused. An attempt at the
// VM's own target may be refused here, which makes the request go on to the next one.
func (x *explainer) attempts() string {
	m := x.rr.metadata
	sequence := blretry.NewAttemptSequence(m.retryable, x.rr.route.Attempts(), m.deadline)
	if !x.now.Before(m.deadline) {
		return x.refuse(x.expired(sequence))
	}
	for first := true; ; first = false {
		choice := x.choose(first)
		var a *answer
		result := blretry.AttemptNoTarget
		if len(choice.Candidates()) == 0 {
			a = x.caller.refuseWithoutTarget(x.rr)
		} else {
			var text string
			if text, a, result = x.attempt(choice.Candidates()[0], choice.Random()); a == nil {
				return text
			}
		}
		if sequence.Next(x.now, result, x.rr.request.buffered(), func() bool { return false }) == blretry.ActionRetry {
			continue
		}
		if x.rr.askLate(a) && sequence.MayAskLate(x.now) {
			if text, placed := x.lateAttempt(); placed {
				return text
			}
		}
		return x.refuse(notRunAnswer(a.reason, x.caller.retryAfter(x.now, x.rr)))
	}
}

// lateAttempt returns the text for a request that gets a late place. Only the VM's own target refuses a request here, so it is asked
// there.
func (x *explainer) lateAttempt() (text string, placed bool) {
	m := x.rr.metadata
	m.instance = x.rr.late.instance
	_, refusal := x.forwarder.targetSide.preview(x.now, m)
	if refusal != nil {
		return "", false
	}
	x.result.Action, x.result.Target, x.result.Domain = blexplain.ActionWait, m.instance, string(x.forwarder.ownTarget("").Domain())
	return fmt.Sprintf("waits for a late place at %s, behind all requests in time", m.instance), true
}

// expired returns the answer to a request whose deadline has passed. Its first attempt is refused before it is sent.
func (x *explainer) expired(sequence *blretry.AttemptSequence) *answer {
	ctx, cancel := context.WithDeadline(context.Background(), x.rr.metadata.deadline)
	defer cancel()
	return x.caller.expiredAnswer(ctx, x.now, x.rr, sequence, blretry.AttemptRefused)
}

// choose compares the targets that have not been tried, and describes them for the first attempt.
func (x *explainer) choose(describe bool) blbalance.Explanation {
	f := x.forwarder
	choice := f.balancer.Explain(x.now, f.fleet.Targets(x.rr.service), x.rr.triedInstances, x.query)
	if !describe {
		return choice
	}
	x.addTargets(x.rr.service, choice)
	for _, c := range choice.Candidates() {
		x.result.Targets = append(x.result.Targets, targetOf(c, true))
	}
	for _, c := range choice.LeftOut() {
		x.result.Targets = append(x.result.Targets, targetOf(c, false))
	}
	for _, t := range f.fleet.EvacuatedTargets(x.rr.service) {
		e := t.Endpoint()
		x.result.Targets = append(x.result.Targets, blexplain.Target{Target: e.Instance(), Domain: string(e.Domain()), Status: "evacuated"})
	}
	return choice
}

// attempt returns the text for a request that is sent, runs or waits at a target, or the refusal.
func (x *explainer) attempt(c blbalance.Candidate, random bool) (string, *answer, blretry.AttemptResult) {
	e := c.Target().Endpoint()
	x.rr.triedInstances = append(x.rr.triedInstances, e.Instance())
	x.rr.metadata.instance = e.Instance()
	goes := fmt.Sprintf("goes to %s in %s", e.Instance(), e.Domain())
	if random {
		goes = fmt.Sprintf("goes to the cheapest of a few random targets; of all it is %s in %s", e.Instance(), e.Domain())
	}
	action, ending := blexplain.ActionSend, ""
	if e.Address() == x.forwarder.settings.targetAddress {
		decision, refusal := x.forwarder.targetSide.preview(x.now, x.rr.metadata)
		if refusal != nil {
			result := attemptResult(refusal)
			x.rr.observeRefusal(e.Instance(), result, refusal)
			x.caller.excludeEvacuated(x.rr, c.Target(), refusal)
			x.addf("attempt: %s refuses, reason %s", e.Instance(), refusal.reason)
			return "", refusal, result
		}
		action, ending = blexplain.ActionRun, ", runs at once"
		if decision.Result() == bladmit.AdmissionWait {
			action, ending = blexplain.ActionWait, ", waits for up to "+roundedMillis(decision.WaitUntil().Sub(x.now))
		}
	} else {
		x.addf("queue of %s: %s", e.Instance(), c.DescribeQueue())
		if x.caller.needsReservation(x.rr, c.Target()) {
			x.addf("reservation: the daemon beside %s is asked for a slot before the body is sent", e.Instance())
		}
	}
	x.result.Action, x.result.Target, x.result.Domain = action, e.Instance(), string(e.Domain())
	return goes + ending, nil, ""
}

// refuse sets the answer of a refused request and returns its text.
func (x *explainer) refuse(a *answer) string {
	x.result.Action, x.result.Status, x.result.Reason, x.result.Retry = blexplain.ActionRefuse, a.status, string(a.reason), a.retryAfter.Seconds()
	return "refused with " + describeRefusal(a)
}

func describeRefusal(a *answer) string {
	text := fmt.Sprintf("%d, reason %s", a.status, a.reason)
	if a.retryAfter > 0 {
		text += fmt.Sprintf(", Retry-After %s", formatSeconds(a.retryAfter))
	}
	return text
}

func roundedMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }

// addOtherServices describes the targets of the other services of a split route.
func (x *explainer) addOtherServices() {
	f := x.forwarder
	for _, s := range x.rr.route.Services() {
		if s.Service() != x.rr.service {
			x.addTargets(s.Service(), f.balancer.Explain(x.now, f.fleet.Targets(s.Service()), nil, x.query))
		}
	}
}

// addTargets describes each target of a service.
func (x *explainer) addTargets(service string, choice blbalance.Explanation) {
	evacuated := x.forwarder.explainEvacuated(service)
	if len(choice.Candidates())+len(choice.LeftOut()) == 0 {
		x.addf("targets of %s: none; the answer is 503", service)
	} else {
		x.addf("targets of %s: %s", service, choice)
	}
	for _, c := range choice.Candidates() {
		x.addf("target %s: %s", c.Target().Endpoint().Instance(), c)
	}
	for _, c := range choice.LeftOut() {
		x.addf("target %s: left out, %s", c.Target().Endpoint().Instance(), c)
	}
	x.result.Lines = append(x.result.Lines, evacuated...)
}

// addOwnTarget describes the VM's own target, and what would be decided on the request if it went there.
func (x *explainer) addOwnTarget() {
	f := x.forwarder
	x.result.Lines = append(x.result.Lines, f.cold.explain(x.now)...)
	own := x.ownTarget()
	if own == nil {
		return
	}
	m := x.rr.metadata
	m.instance = own.Endpoint().Instance()
	decision, refusal := f.targetSide.preview(x.now, m)
	switch {
	case refusal != nil:
		x.addf("target of this VM: %s would refuse the request now with %s", m.instance, describeRefusal(refusal))
	case decision.Result() == bladmit.AdmissionWait:
		x.addf("target of this VM: the request would wait for %s now, up to %s", m.instance, roundedMillis(decision.WaitUntil().Sub(x.now)))
	default:
		x.addf("target of this VM: %s would run the request at once", m.instance)
	}
}

// ownTarget returns the VM's own target if it is of a service of the route; nil otherwise.
func (x *explainer) ownTarget() *blfleet.Target {
	f := x.forwarder
	for _, s := range x.rr.route.Services() {
		for _, targets := range [][]*blfleet.Target{f.fleet.Targets(s.Service()), f.fleet.EvacuatedTargets(s.Service())} {
			for _, t := range targets {
				if t.Endpoint().Address() == f.settings.targetAddress {
					return t
				}
			}
		}
	}
	return nil
}

// targetOf returns the structured form of a target.
func targetOf(c blbalance.Candidate, candidate bool) blexplain.Target {
	e, cost := c.Target().Endpoint(), c.Cost()
	late, probability := cost.Late()
	t := blexplain.Target{
		Target: e.Instance(), Domain: string(e.Domain()), Status: string(c.Status()), Candidate: candidate,
		Cost: cost.Total(), Failures: cost.Failure(), Utilization: cost.Utilization(), Bytes: cost.Transfer(), Late: late, Response: cost.Response(),
		Probability: probability, Expected: cost.ResponseTime().Seconds(),
	}
	if perSecond, cold := c.ColdLimit(); cold {
		t.Cold = &perSecond
	}
	if perSecond, limited := c.RequestLimit(); limited {
		t.Limit = &perSecond
	}
	return t
}
