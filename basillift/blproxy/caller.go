package blproxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// expectCaller answers a caller that waits for "100 Continue" before it sends
// its body: a request that would be refused anyway is refused without it.
func (p *Proxy) expectCaller(ctx *fasthttp.RequestCtx) int {
	k, r := p.begin(ctx, time.Now())
	if r == nil {
		_, _, r = p.allowed(k)
	}
	if r == nil {
		return fasthttp.StatusContinue
	}
	answer(ctx, r)
	return r.status
}

// serveCaller handles a request of a caller on this VM.
func (p *Proxy) serveCaller(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	p.inFlight.Add(1)
	k, r := p.begin(ctx, now)
	if r == nil {
		r = p.forward(ctx, k, now)
	}
	if r != nil {
		p.finishRefused(ctx, k, r)
	}
	if p.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (p *Proxy) finishRefused(ctx *fasthttp.RequestCtx, k *call, r *refusal) {
	now := time.Now()
	p.record(now, RecordRefused, k.event(now, basillift.EventCallRefused).WithOutcome(r.outcome, r.reason, r.status))
	answer(ctx, r)
	p.finish(k)
}

func (p *Proxy) finish(k *call) {
	if k.conn != nil {
		k.conn.finish()
	}
	p.inFlight.Add(-1)
}

// allowed checks customer, plan and service against the version in force.
func (p *Proxy) allowed(k *call) (basillift.Configuration, basillift.Plan, *refusal) {
	c, ok := p.source.Current()
	if !ok {
		return nil, basillift.Plan{}, refuse(basillift.OutcomeNotRun, basillift.ReasonNoVersion, "No configuration is in force yet.")
	}
	plan, ok := c.Plan(k.customer)
	if !ok {
		return c, plan, refuse(basillift.OutcomeNotRun, basillift.ReasonCustomer, "The customer is not known.")
	}
	if !c.HasService(k.service) {
		return c, plan, refuse(basillift.OutcomeNotRun, basillift.ReasonService, "The service is not known.")
	}
	if !plan.Allows(k.service) {
		return c, plan, refuse(basillift.OutcomeNotRun, basillift.ReasonPlan, "The customer's plan does not include the service.")
	}
	return c, plan, nil
}

// forward sends the call to a target's daemon. It returns the refusal to answer, or nil if there is a response.
func (p *Proxy) forward(ctx *fasthttp.RequestCtx, k *call, now time.Time) *refusal {
	if k.conn != nil {
		k.conn.start(k)
	}
	c, _, r := p.allowed(k)
	if r != nil {
		return r
	}
	if k.depth >= p.settings.depthLimit {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDepth, "The call chain is too deep.")
	}
	b, r := p.takeBody(ctx, k)
	if r != nil {
		return r
	}
	out := fasthttp.AcquireRequest()
	k.prepare(ctx, out)
	out.Header.Set(HeaderDepth, strconv.Itoa(k.depth+1))
	out.Header.Set(HeaderVersion, c.Version().String())
	out.Header.Set(HeaderFrom, string(p.directory.Self().ID()))
	r = p.attempt(ctx, k, now, out, b)
	fasthttp.ReleaseRequest(out)
	b.release()
	if r == nil {
		p.finishAnswered(ctx, k)
	}
	return r
}

// takeBody reads the buffered part of the body within the deadline.
func (p *Proxy) takeBody(ctx *fasthttp.RequestCtx, k *call) (*body, *refusal) {
	if ctx.Request.IsBodyStream() {
		_ = ctx.SetReadDeadline(k.deadline)
	}
	b, err := readBody(&ctx.Request, p.settings.bufferSize)
	if err != nil {
		b.release()
		return nil, refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "The request body did not arrive in full.")
	}
	return b, nil
}

// finishAnswered ends the call now, or at the end of a streamed response.
func (p *Proxy) finishAnswered(ctx *fasthttp.RequestCtx, k *call) {
	stream, ok := ctx.Response.BodyStream().(*relay)
	if !ok {
		p.finish(k)
		return
	}
	_ = ctx.SetWriteDeadline(k.deadline)
	stream.finish = func(bool) { p.finish(k) }
}

// attempt chooses a target and sends the request to its daemon.
func (p *Proxy) attempt(ctx *fasthttp.RequestCtx, k *call, now time.Time, out *fasthttp.Request, b *body) *refusal {
	m, ok := p.choose(k.service)
	if !ok {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonNoTarget, "No target accepts calls.")
	}
	if !k.setTimeout(now, out) {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDeadline, "The deadline has passed.")
	}
	x := &exchange{call: k, pool: p.pools.of(m.Addresses().Mesh()), body: b, interrupt: interrupter(ctx)}
	failed := x.send(now, out, &ctx.Response, p.settings.bufferSize)
	if failed != nil {
		return failed.refusal()
	}
	return nil
}

// interrupter returns a function that ends a read from the caller's connection.
func interrupter(ctx *fasthttp.RequestCtx) func() {
	return func() { _ = ctx.SetReadDeadline(time.Unix(1, 0)) }
}

func (f *failure) refusal() *refusal {
	message := "The target gave no complete answer."
	if f.outcome == basillift.OutcomeNotRun {
		message = "The target was not reached."
	}
	return refuse(f.outcome, f.reason, message)
}

// choose takes the first willing target.
func (p *Proxy) choose(service string) (basillift.Member, bool) {
	for _, s := range p.directory.Targets(service) {
		if s.Willing() {
			return s.Member(), true
		}
	}
	return basillift.Member{}, false
}
