package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

// expectMesh accepts the body of every mesh call, because daemons do not wait for "100 Continue".
func (p *Proxy) expectMesh(*fasthttp.RequestCtx) int { return fasthttp.StatusContinue }

// serveMesh handles a call from another daemon to the target on this VM.
func (p *Proxy) serveMesh(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	k, r := p.parseCall(ctx, now)
	p.startCall(k)
	class := basillift.ClassNormal
	if r == nil {
		class, r = p.authorizeMesh(ctx, k)
	}
	if r == nil {
		r = p.admit(ctx, k, class)
	}
	if r != nil {
		p.finishRefused(ctx, k, r, &p.metrics.mesh)
	}
	if p.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// authorizeMesh checks that the call is for the target on this VM and may run. It returns the
// class of the call.
func (p *Proxy) authorizeMesh(ctx *fasthttp.RequestCtx, k *call) (basillift.Class, *refusal) {
	p.observeVersion(ctx, k)
	if k.service != p.directory.Self().Service() {
		return "", refuse(basillift.OutcomeNotRun, basillift.ReasonNoTarget, "The target on this VM is of another service.")
	}
	c, plan, r := p.authorize(k)
	if r != nil && (c == nil || !k.version.NewerThan(c.Version())) {
		return "", r
	}
	// A sender with a newer version has the authoritative configuration, so its decision stands.
	class := plan.Class()
	if class == "" {
		class = basillift.ClassNormal
	}
	return class, p.checkTargetState(class)
}

// checkTargetState refuses calls that the state of the target does not allow. A shedding target
// keeps its slots for calls that are not bulk.
func (p *Proxy) checkTargetState(class basillift.Class) *refusal {
	state := p.target.State()
	switch {
	case p.draining.Load(), state == basillift.TargetDraining, state == basillift.TargetGone:
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDraining, "The target is leaving.")
	case state == basillift.TargetStarting:
		return refuse(basillift.OutcomeNotRun, basillift.ReasonNoTarget, "The target is starting.")
	case state == basillift.TargetShedding && class == basillift.ClassBulk:
		return refuse(basillift.OutcomeNotRun, basillift.ReasonOverload, "The target sheds bulk calls.")
	default:
		return nil
	}
}

// observeVersion reads the sender's configuration version and reports it to the observer if it is
// newer than the version in force here.
func (p *Proxy) observeVersion(ctx *fasthttp.RequestCtx, k *call) {
	raw := ctx.Request.Header.Peek(HeaderVersion)
	if len(raw) == 0 {
		return
	}
	v, err := basillift.ParseVersion(string(raw))
	if err != nil {
		return
	}
	k.version = v
	k.from = basillift.VMID(ctx.Request.Header.Peek(HeaderFrom))
	c, ok := p.source.Current()
	if !ok || v.NewerThan(c.Version()) {
		p.observer.ObserveVersion(v, k.from)
	}
}

// admit waits for a slot and sends the call to the target. It reads the buffered part of the body
// before, so that a slow sender does not occupy a slot.
func (p *Proxy) admit(ctx *fasthttp.RequestCtx, k *call, class basillift.Class) *refusal {
	b, r := p.bufferBody(ctx, k)
	if r != nil {
		return r
	}
	defer b.release()
	slot, r := p.admission.acquire(time.Now(), k, class)
	if r != nil {
		return r
	}
	k.slot = slot
	r = p.quarantine.start(time.Now(), k, fingerprintOf(ctx, k, b))
	if r != nil {
		return r
	}
	k.tracked = true
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	k.prepare(ctx, out)
	out.Header.Del(HeaderVersion)
	out.Header.Del(HeaderFrom)
	r = p.callTarget(ctx, k, out, b)
	if r == nil {
		p.finishAnswered(ctx, k, basillift.EventCallEnded, &p.metrics.mesh)
	}
	return r
}

// callTarget sends the call to the target and reports the result.
func (p *Proxy) callTarget(ctx *fasthttp.RequestCtx, k *call, out *fasthttp.Request, b *body) *refusal {
	now := time.Now()
	p.recordStep(now, k, basillift.EventCallAdmitted, "")
	if !k.setTimeout(now, out) {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDeadline, "The deadline has passed.")
	}
	p.recordStep(now, k, basillift.EventCallStarted, "")
	e := &exchange{call: k, pool: p.pools.Of(p.settings.targetAddress), body: b, ctx: ctx}
	failed := e.send(now, out, &ctx.Response, p.settings.maxBufferedBytes)
	p.recordInvalidAnswer(k, failed.cause())
	p.reportTargetResult(now, k, b, failed)
	if failed.brokeConnection() && b.readErr == nil && !k.isCanceled() {
		p.checkForCrash()
	}
	if failed != nil {
		return failed.refusal()
	}
	k.answered = true
	sanitize(&ctx.Response)
	return nil
}

// minSlowTimeout is the minimum time that a target must have had before a missed deadline counts
// against it. Callers may set deadlines that no target can meet.
const minSlowTimeout = time.Second

// reportTargetResult reports the result of the call to the observer. Calls that failed because of
// the caller are not reported.
func (p *Proxy) reportTargetResult(started time.Time, k *call, b *body, f *failure) {
	if p.callObserver == nil || k.isCanceled() || b.readErr != nil {
		return
	}
	result := blroute.ResultOK
	switch {
	case f == nil:
	case f.reason == basillift.ReasonOverload:
		return
	case f.reason == basillift.ReasonDeadline:
		if k.deadline.Sub(started) < minSlowTimeout {
			return
		}
		result = blroute.ResultSlow
	case f.reason == basillift.ReasonConnectFailed:
		result = blroute.ResultConnectFailed
	default:
		result = blroute.ResultCrashed
	}
	p.callObserver.ObserveCall(time.Now(), result)
}

// sanitize removes basillift headers that the target set itself. The one statement accepted from a
// target is that it did not run a call that it answers with 503.
func sanitize(response *fasthttp.Response) {
	h := &response.Header
	reported := basillift.Outcome(h.Peek(HeaderOutcome))
	if reported != "" {
		h.Del(HeaderOutcome)
		h.Del(HeaderReason)
	}
	if response.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	if reported != basillift.OutcomeNotRun {
		reported = basillift.OutcomeUnknown
	}
	h.Set(HeaderOutcome, string(reported))
	h.Set(HeaderReason, string(basillift.ReasonTarget))
}
