package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// expectMesh lets the body of another daemon's call come: daemons do not wait for "100 Continue".
func (p *Proxy) expectMesh(*fasthttp.RequestCtx) int { return fasthttp.StatusContinue }

// serveMesh handles a call of another daemon for the target on this VM.
func (p *Proxy) serveMesh(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	p.inFlight.Add(1)
	k, r := p.begin(ctx, now)
	if r == nil {
		r = p.accept(ctx, k)
	}
	if r == nil {
		r = p.pass(ctx, k, now)
	}
	if r != nil {
		p.finishRefused(ctx, k, r)
	}
	if p.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// accept checks whether the call belongs here and may run.
func (p *Proxy) accept(ctx *fasthttp.RequestCtx, k *call) *refusal {
	if k.conn != nil {
		k.conn.start(k)
	}
	p.observe(ctx, k)
	if p.draining.Load() {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDraining, "The target is leaving.")
	}
	if k.service != p.directory.Self().Service() {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonService, "The target on this VM is of another service.")
	}
	c, _, r := p.allowed(k)
	if r == nil || c == nil || k.version.NewerThan(c.Version()) {
		// The sender decided by a newer version than the one here.
		return nil
	}
	return r
}

// observe hands on the version that the sender decided by.
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

// pass sends the call to the target.
func (p *Proxy) pass(ctx *fasthttp.RequestCtx, k *call, now time.Time) *refusal {
	b, r := p.takeBody(ctx, k)
	if r != nil {
		return r
	}
	out := fasthttp.AcquireRequest()
	k.prepare(ctx, out)
	out.Header.Del(HeaderVersion)
	out.Header.Del(HeaderFrom)
	r = p.run(ctx, k, now, out, b)
	fasthttp.ReleaseRequest(out)
	b.release()
	if r == nil {
		p.finishAnswered(ctx, k)
	}
	return r
}

func (p *Proxy) run(ctx *fasthttp.RequestCtx, k *call, now time.Time, out *fasthttp.Request, b *body) *refusal {
	if !k.setTimeout(now, out) {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDeadline, "The deadline has passed.")
	}
	x := &exchange{call: k, pool: p.pools.of(p.settings.targetAddress), body: b, interrupt: interrupter(ctx)}
	failed := x.send(now, out, &ctx.Response, p.settings.bufferSize)
	if failed != nil {
		return failed.refusal()
	}
	sanitize(&ctx.Response)
	return nil
}

// sanitize keeps a target from speaking for basillift, except for the one thing
// it may announce: that it did not run a call that it answers with 503.
func sanitize(response *fasthttp.Response) {
	h := &response.Header
	announced := basillift.Outcome(h.Peek(HeaderOutcome))
	h.Del(HeaderOutcome)
	h.Del(HeaderReason)
	if response.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	if announced == basillift.OutcomeNotRun {
		h.Set(HeaderOutcome, string(basillift.OutcomeNotRun))
	} else {
		h.Set(HeaderOutcome, string(basillift.OutcomeUnknown))
	}
	h.Set(HeaderReason, string(basillift.ReasonTarget))
}
