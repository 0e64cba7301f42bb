package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/blroute"
)

// maxAttempts counts the first attempt and the two retries that blretry allows.
const maxAttempts = 3

// dispatch sends one call to targets, with retries, and keeps the state of its attempts.
type dispatch struct {
	proxy    *Proxy
	ctx      *fasthttp.RequestCtx
	call     *call
	out      *fasthttp.Request
	body     *body
	member   basillift.Member
	tried    [maxAttempts]basillift.VMID
	attempts int
	// mayHaveRun is set once an attempt ended with an unknown outcome. From then on the call as a
	// whole is never refused as "not run", whatever the results of later attempts are.
	mayHaveRun bool
}

// run sends the request until there is a response or a final failure.
func (d *dispatch) run(now time.Time) *refusal {
	d.proxy.selection.recordCall(now, d.call.service)
	reason := d.chooseTarget(now)
	if reason != basillift.ReasonNone {
		return refuse(basillift.OutcomeNotRun, reason, "No target accepts calls.")
	}
	for number := 0; ; number++ {
		if !d.passesQuarantine(now) {
			d.proxy.selection.finished(now, d.member.ID(), blroute.ResultOK)
			return d.callRefusal(quarantineRefusal())
		}
		failed, reported := d.attempt(now)
		if failed == nil {
			return nil
		}
		if failed.outcome == basillift.OutcomeUnknown {
			d.mayHaveRun = true
		}
		now = time.Now()
		if d.prepareRetry(now, number, failed) {
			d.proxy.metrics.retries.Inc()
			now = time.Now()
			continue
		}
		if reported && (!d.mayHaveRun || failed.outcome == basillift.OutcomeUnknown) {
			return nil
		}
		return d.callRefusal(failed.refusal())
	}
}

// callRefusal converts the refusal of the last attempt into the refusal of the whole call.
func (d *dispatch) callRefusal(r *refusal) *refusal {
	if d.mayHaveRun && r.outcome == basillift.OutcomeNotRun {
		return refuse(basillift.OutcomeUnknown, r.reason, "An earlier attempt may have run.")
	}
	return r
}

// passesQuarantine reports whether the request may run. If the request just broke the connection to
// a target, it first waits long enough for suspicions to spread between the daemons.
func (d *dispatch) passesQuarantine(now time.Time) bool {
	q := d.proxy.quarantine
	if !q.active.Load() {
		return true
	}
	fp := fingerprintOf(d.ctx, d.call, d.body)
	decision, delay := q.check(now, fp)
	if delay > 0 && decision != blquarantine.DecisionQuarantine && d.call.wait(delay) {
		decision, _ = q.check(time.Now(), fp)
	}
	return decision != blquarantine.DecisionQuarantine
}

func (d *dispatch) chooseTarget(now time.Time) basillift.Reason {
	if d.attempts == maxAttempts {
		return basillift.ReasonNoTarget
	}
	targets := d.proxy.directory.Targets(d.call.service)
	m, reason := d.proxy.selection.start(now, targets, d.tried[:d.attempts])
	if reason != basillift.ReasonNone {
		return reason
	}
	d.member = m
	d.tried[d.attempts] = m.ID()
	d.attempts++
	return basillift.ReasonNone
}

// attempt sends the request to the daemon beside the chosen target. reported is true if the
// response reports the failure: a refusal by that daemon or by its target.
func (d *dispatch) attempt(now time.Time) (failed *failure, reported bool) {
	p, k := d.proxy, d.call
	p.recordStep(now, k, basillift.EventCallRouted, d.member.ID())
	if !k.setTimeout(now, d.out) {
		p.selection.finished(now, d.member.ID(), blroute.ResultOK)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonDeadline, nil}, false
	}
	e := &exchange{call: k, pool: p.pools.Of(d.member.Addresses().Mesh()), body: d.body, ctx: d.ctx}
	h := d.newHedge(now)
	failed = e.send(now, d.out, &d.ctx.Response, p.settings.maxBufferedBytes)
	p.recordInvalidAnswer(k, failed.cause())
	if failed == nil {
		failed = reportedFailure(&d.ctx.Response)
		reported = failed != nil
	}
	if h != nil && h.finish(e, failed) {
		h.copyTo(&d.ctx.Response)
		p.selection.finished(time.Now(), d.member.ID(), blroute.ResultOK)
		return nil, false
	}
	if failed == nil {
		at := time.Now()
		p.selection.recordLatency(at, k.service, at.Sub(now))
	}
	if failed.brokeConnection() && d.body.readErr == nil {
		p.quarantine.recordBroken(time.Now(), fingerprintOf(d.ctx, k, d.body))
	}
	d.reportResult(failed)
	return failed, reported
}

// reportResult reports the result of the attempt to the chooser, for a streamed response when its
// body ends.
func (d *dispatch) reportResult(failed *failure) {
	selection, id := d.proxy.selection, d.member.ID()
	result := routeResult(failed, d.ctx.Response.StatusCode())
	stream, ok := d.ctx.Response.BodyStream().(*responseStream)
	if failed != nil || !ok {
		selection.finished(time.Now(), id, result)
		return
	}
	stream.onEnd(func(bool) { selection.finished(time.Now(), id, result) })
}

// reportedFailure reads a refusal from the headers of a response. A daemon marks its own refusals
// with these headers and removes them from the responses of its target.
func reportedFailure(response *fasthttp.Response) *failure {
	outcome := response.Header.Peek(HeaderOutcome)
	if len(outcome) == 0 {
		return nil
	}
	f := &failure{outcome: basillift.OutcomeUnknown, reason: basillift.Reason(response.Header.Peek(HeaderReason))}
	if string(outcome) == string(basillift.OutcomeNotRun) {
		f.outcome = basillift.OutcomeNotRun
	}
	return f
}

// routeResult returns the result of an attempt for the target selection. Refusals caused by the
// customer's limits or by the request, and callers that disconnected, do not count against the
// target.
func routeResult(f *failure, status int) blroute.Result {
	if f == nil {
		if status >= fasthttp.StatusInternalServerError {
			return blroute.ResultError
		}
		return blroute.ResultOK
	}
	switch f.reason {
	case basillift.ReasonCallerGone, basillift.ReasonPlan, basillift.ReasonCustomer, basillift.ReasonRate,
		basillift.ReasonConcurrency, basillift.ReasonQuarantined, basillift.ReasonBadRequest:
		return blroute.ResultOK
	case basillift.ReasonConnectFailed:
		return blroute.ResultConnectFailed
	case basillift.ReasonDeadline:
		return blroute.ResultSlow
	}
	if f.outcome == basillift.OutcomeNotRun {
		return blroute.ResultRefused
	}
	if f.err != nil {
		return blroute.ResultCrashed
	}
	return blroute.ResultError
}

// prepareRetry waits for the retry delay and chooses another target. It reports whether the
// request may be retried.
func (d *dispatch) prepareRetry(now time.Time, number int, f *failure) bool {
	k := d.call
	reason := f.reason
	if reason == basillift.ReasonTruncated && d.body.readErr == nil {
		// The response was truncated, not the request.
		reason = basillift.ReasonTarget
	}
	a := blretry.NewAttempt(number, k.depth, f.outcome, reason, k.deadline).
		WithIdempotent(blretry.Idempotent(k.method)).
		WithKeyed(k.key != "").
		WithCallerGone(k.isCanceled()).
		WithBodySent(d.body.streamStarted)
	decision := d.proxy.selection.decide(now, k.service, a)
	if !decision.Retry() || !k.wait(decision.Delay()) {
		return false
	}
	return d.chooseTarget(time.Now()) == basillift.ReasonNone
}
