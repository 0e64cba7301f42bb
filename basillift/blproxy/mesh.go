package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

// expectMesh lets the body of another daemon's call come: daemons do not wait for "100 Continue".
func (p *Proxy) expectMesh(*fasthttp.RequestCtx) int { return fasthttp.StatusContinue }

// serveMesh handles a call of another daemon for the target on this VM.
func (p *Proxy) serveMesh(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	k, r := p.begin(ctx, now)
	p.enter(k)
	class := basillift.ClassNormal
	if r == nil {
		class, r = p.accept(ctx, k)
	}
	if r == nil {
		r = p.pass(ctx, k, class)
	}
	if r != nil {
		p.finishRefused(ctx, k, r, &p.metrics.mesh)
	}
	if p.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// accept checks whether the call belongs here and may run, and returns its class.
func (p *Proxy) accept(ctx *fasthttp.RequestCtx, k *call) (basillift.Class, *refusal) {
	p.observe(ctx, k)
	if k.service != p.directory.Self().Service() {
		return "", refuse(basillift.OutcomeNotRun, basillift.ReasonNoTarget, "The target on this VM is of another service.")
	}
	c, plan, r := p.allowed(k)
	if r != nil && (c == nil || !k.version.NewerThan(c.Version())) {
		return "", r
	}
	// A sender with a newer version knows better than this daemon what is allowed.
	class := plan.Class()
	if class == "" {
		class = basillift.ClassNormal
	}
	return class, p.willing(class)
}

// willing refuses what the target's state does not admit. A shedding target keeps
// its slots for calls that are not bulk.
func (p *Proxy) willing(class basillift.Class) *refusal {
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

// observe hands on the version that the sender decided by, if it is newer than the one in force here.
func (p *Proxy) observe(ctx *fasthttp.RequestCtx, k *call) {
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

// pass sends the call to the target as soon as it has a slot. The buffered part
// of the body is read first, so that a slow sender does not hold a slot.
func (p *Proxy) pass(ctx *fasthttp.RequestCtx, k *call, class basillift.Class) *refusal {
	b, r := p.takeBody(ctx, k)
	if r != nil {
		return r
	}
	defer b.release()
	slot, r := p.gate.enter(time.Now(), k, class)
	if r != nil {
		return r
	}
	k.slot = slot
	r = p.guard.enter(time.Now(), k, fingerprintOf(ctx, k, b))
	if r != nil {
		return r
	}
	k.guarded = true
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	k.prepare(ctx, out)
	out.Header.Del(HeaderVersion)
	out.Header.Del(HeaderFrom)
	r = p.run(ctx, k, out, b)
	if r == nil {
		p.finishAnswered(ctx, k, basillift.EventCallEnded, &p.metrics.mesh)
	}
	return r
}

// run sends the call to the target.
func (p *Proxy) run(ctx *fasthttp.RequestCtx, k *call, out *fasthttp.Request, b *body) *refusal {
	now := time.Now()
	p.recordCall(now, k, basillift.EventCallAdmitted, "")
	if !k.setTimeout(now, out) {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDeadline, "The deadline has passed.")
	}
	p.recordCall(now, k, basillift.EventCallStarted, "")
	x := &exchange{call: k, pool: p.pools.Of(p.settings.targetAddress), body: b, ctx: ctx}
	failed := x.send(now, out, &ctx.Response, p.settings.bufferSize)
	p.tellObserver(now, k, b, failed)
	if failed.broke() && b.failed == nil && !k.isCanceled() {
		p.suspectCrash()
	}
	if failed != nil {
		return failed.refusal()
	}
	k.answered = true
	sanitize(&ctx.Response)
	return nil
}

// slowFrom is the least time that a target must have had for a missed deadline to
// count against it: callers may set deadlines that no target can meet.
const slowFrom = time.Second

// tellObserver reports how the target did. A call that ended because of its caller says nothing about it.
func (p *Proxy) tellObserver(started time.Time, k *call, b *body, f *failure) {
	if p.calls == nil || k.isCanceled() || b.failed != nil {
		return
	}
	result := blroute.ResultOK
	switch {
	case f == nil:
	case f.reason == basillift.ReasonOverload:
		return
	case f.reason == basillift.ReasonDeadline:
		if k.deadline.Sub(started) < slowFrom {
			return
		}
		result = blroute.ResultSlow
	case f.reason == basillift.ReasonConnectFailed:
		result = blroute.ResultConnectFailed
	default:
		result = blroute.ResultCrashed
	}
	p.calls.ObserveCall(time.Now(), result)
}

// sanitize keeps a target from speaking for basillift, except for the one thing
// it may announce: that it did not run a call that it answers with 503.
func sanitize(response *fasthttp.Response) {
	h := &response.Header
	said := basillift.Outcome(h.Peek(HeaderOutcome))
	if said != "" {
		h.Del(HeaderOutcome)
		h.Del(HeaderReason)
	}
	if response.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	if said != basillift.OutcomeNotRun {
		said = basillift.OutcomeUnknown
	}
	h.Set(HeaderOutcome, string(said))
	h.Set(HeaderReason, string(basillift.ReasonTarget))
}
