package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/blroute"
)

// mostTries is the first attempt and the two further ones that blretry allows.
const mostTries = 3

// dispatch sends one call to targets: its attempts, and what they tell about the call.
type dispatch struct {
	proxy  *Proxy
	ctx    *fasthttp.RequestCtx
	call   *call
	out    *fasthttp.Request
	body   *body
	member basillift.Member
	tried  [mostTries]basillift.VMID
	count  int
	// mayHaveRun is set once an attempt ended with an unknown outcome. The call as a
	// whole is then never refused as "not run", however its later attempts end.
	mayHaveRun bool
}

// run sends the request until there is a response, or a failure that is final.
func (t *dispatch) run(now time.Time) *refusal {
	t.proxy.routes.called(now, t.call.service)
	reason := t.choose(now)
	if reason != basillift.ReasonNone {
		return refuse(basillift.OutcomeNotRun, reason, "No target accepts calls.")
	}
	for number := 0; ; number++ {
		if !t.admitted(now) {
			t.proxy.routes.finished(now, t.member.ID(), blroute.ResultOK)
			return t.wholeCall(quarantined())
		}
		failed, answered := t.attempt(now)
		if failed == nil {
			return nil
		}
		if failed.outcome == basillift.OutcomeUnknown {
			t.mayHaveRun = true
		}
		now = time.Now()
		if t.again(now, number, failed) {
			t.proxy.metrics.retries.Inc()
			now = time.Now()
			continue
		}
		if answered && (!t.mayHaveRun || failed.outcome == basillift.OutcomeUnknown) {
			return nil
		}
		return t.wholeCall(failed.refusal())
	}
}

// wholeCall turns a refusal of the last attempt into that of the whole call.
func (t *dispatch) wholeCall(r *refusal) *refusal {
	if t.mayHaveRun && r.outcome == basillift.OutcomeNotRun {
		return refuse(basillift.OutcomeUnknown, r.reason, "An earlier attempt may have run.")
	}
	return r
}

// admitted waits until suspicions have spread if the request just broke a target,
// and reports whether it may run.
func (t *dispatch) admitted(now time.Time) bool {
	g := t.proxy.guard
	if !g.active.Load() {
		return true
	}
	fp := fingerprintOf(t.ctx, t.call, t.body)
	verdict, hold := g.check(now, fp)
	if hold > 0 && verdict != blquarantine.DecisionQuarantine && t.call.wait(hold) {
		verdict, _ = g.check(time.Now(), fp)
	}
	return verdict != blquarantine.DecisionQuarantine
}

func (t *dispatch) choose(now time.Time) basillift.Reason {
	if t.count == mostTries {
		return basillift.ReasonNoTarget
	}
	targets := t.proxy.directory.Targets(t.call.service)
	m, reason := t.proxy.routes.start(now, targets, t.tried[:t.count])
	if reason != basillift.ReasonNone {
		return reason
	}
	t.member = m
	t.tried[t.count] = m.ID()
	t.count++
	return basillift.ReasonNone
}

// attempt sends the request to the chosen target's daemon. Answered means that
// the response holds a refusal of that daemon or of its target.
func (t *dispatch) attempt(now time.Time) (failed *failure, answered bool) {
	p, k := t.proxy, t.call
	p.recordCall(now, k, basillift.EventCallRouted, t.member.ID())
	if !k.setTimeout(now, t.out) {
		p.routes.finished(now, t.member.ID(), blroute.ResultOK)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonDeadline, nil}, false
	}
	x := &exchange{call: k, pool: p.pools.Of(t.member.Addresses().Mesh()), body: t.body, ctx: t.ctx}
	h := t.newHedge(now)
	failed = x.send(now, t.out, &t.ctx.Response, p.settings.bufferSize)
	if failed == nil {
		failed = announced(&t.ctx.Response)
		answered = failed != nil
	}
	if h != nil && h.finish(x, failed) {
		h.adopt(&t.ctx.Response)
		p.routes.finished(time.Now(), t.member.ID(), blroute.ResultOK)
		return nil, false
	}
	if failed == nil {
		at := time.Now()
		p.routes.answered(at, k.service, at.Sub(now))
	}
	if failed.broke() && t.body.failed == nil {
		p.guard.broken(time.Now(), fingerprintOf(t.ctx, k, t.body))
	}
	t.finish(failed)
	return failed, answered
}

// finish tells the chooser how the attempt ended, at the end of the response's body.
func (t *dispatch) finish(failed *failure) {
	routes, id := t.proxy.routes, t.member.ID()
	result := resultOf(failed, t.ctx.Response.StatusCode())
	stream, ok := t.ctx.Response.BodyStream().(*relay)
	if failed != nil || !ok {
		routes.finished(time.Now(), id, result)
		return
	}
	stream.onEnd(func(bool) { routes.finished(time.Now(), id, result) })
}

// announced reads a refusal out of a response. A daemon marks each of its own
// refusals, and removes such marks from what its target answers.
func announced(response *fasthttp.Response) *failure {
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

// resultOf says how an attempt ended for the choice of targets. Refusals that
// concern the customer say nothing about the target, nor does a caller that hung up.
func resultOf(f *failure, status int) blroute.Result {
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

// again waits and chooses another target if the request may be sent once more.
func (t *dispatch) again(now time.Time, number int, f *failure) bool {
	k := t.call
	reason := f.reason
	if reason == basillift.ReasonTruncated && t.body.failed == nil {
		// The response was cut, not the request.
		reason = basillift.ReasonTarget
	}
	a := blretry.NewAttempt(number, k.depth, f.outcome, reason, k.deadline).
		WithIdempotent(blretry.Idempotent(k.method)).
		WithKeyed(k.key != "").
		WithCallerGone(k.isCanceled()).
		WithBodySent(t.body.touched)
	d := t.proxy.routes.decide(now, k.service, a)
	if !d.Retry() || !k.wait(d.Delay()) {
		return false
	}
	return t.choose(time.Now()) == basillift.ReasonNone
}
