package blproxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

// expectCaller handles "Expect: 100-continue". A request that would be refused is refused before
// the caller sends its body.
func (p *Proxy) expectCaller(ctx *fasthttp.RequestCtx) int {
	k, r := p.parseCall(ctx, time.Now())
	if r == nil {
		_, _, r = p.authorize(k)
	}
	if r == nil {
		return fasthttp.StatusContinue
	}
	writeRefusal(ctx, r)
	return r.status
}

// serveCaller handles a request from a caller on this VM.
func (p *Proxy) serveCaller(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	k, r := p.parseCall(ctx, now)
	p.startCall(k)
	if r == nil && p.closed.Load() {
		r = refuse(basillift.OutcomeNotRun, basillift.ReasonDraining, "The daemon is stopping.")
	}
	if r == nil {
		p.recordStep(now, k, basillift.EventCallAccepted, "")
		r = p.forward(ctx, k, now)
	}
	if r != nil {
		p.finishRefused(ctx, k, r, &p.metrics.caller)
	}
	if p.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// authorize checks customer, plan and service against the configuration version in force.
func (p *Proxy) authorize(k *call) (basillift.Configuration, basillift.Plan, *refusal) {
	c, ok := p.source.Current()
	if !ok {
		return nil, basillift.Plan{}, refuse(basillift.OutcomeNotRun, basillift.ReasonNoVersion, "No configuration is in force yet.")
	}
	plan, reason := blroute.Authorize(c, k.customer, k.service)
	switch reason {
	case basillift.ReasonNone:
		return c, plan, nil
	case basillift.ReasonCustomer:
		return c, plan, refuse(basillift.OutcomeNotRun, reason, "The customer is not known.")
	case basillift.ReasonService:
		return c, plan, refuse(basillift.OutcomeNotRun, reason, "The service is not known.")
	default:
		return c, plan, refuse(basillift.OutcomeNotRun, reason, "The customer's plan does not include the service.")
	}
}

// forward sends the call to a target's daemon. It returns the refusal to send, or nil if there is
// a response.
func (p *Proxy) forward(ctx *fasthttp.RequestCtx, k *call, now time.Time) *refusal {
	c, plan, r := p.authorize(k)
	if r != nil {
		return r
	}
	if k.depth >= p.settings.maxDepth {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonDepth, "The call chain is too deep.")
	}
	r = p.checkLimits(now, k, plan)
	if r != nil {
		return r
	}
	k.version = c.Version()
	b, r := p.bufferBody(ctx, k)
	if r != nil {
		return r
	}
	defer b.release()
	if k.key == "" {
		r = p.send(ctx, k, b, now)
	} else {
		r = p.forwardWithKey(ctx, k, now, func() *refusal { return p.send(ctx, k, b, time.Now()) })
	}
	if r == nil {
		p.finishAnswered(ctx, k, basillift.EventCallAnswered, &p.metrics.caller)
	}
	return r
}

// send builds the outgoing request and sends it until a target answers.
func (p *Proxy) send(ctx *fasthttp.RequestCtx, k *call, b *body, now time.Time) *refusal {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	d := &dispatch{proxy: p, ctx: ctx, call: k, out: out, body: b}
	d.fillRequest(out)
	return d.run(now)
}

// fillRequest fills the outgoing request to the target's daemon.
func (d *dispatch) fillRequest(out *fasthttp.Request) {
	d.call.prepare(d.ctx, out)
	out.Header.Set(HeaderDepth, strconv.Itoa(d.call.depth+1))
	out.Header.Set(HeaderVersion, d.call.version.String())
	out.Header.Set(HeaderFrom, string(d.proxy.directory.Self().ID()))
}

// bufferBody reads the buffered part of the request body. The deadline of the call is the read
// deadline.
func (p *Proxy) bufferBody(ctx *fasthttp.RequestCtx, k *call) (*body, *refusal) {
	if ctx.Request.IsBodyStream() {
		_ = ctx.SetReadDeadline(k.deadline)
	}
	b, err := readBody(&ctx.Request, p.settings.maxBufferedBytes)
	if err != nil {
		b.release()
		return nil, refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "The request body did not arrive in full.")
	}
	return b, nil
}

func (f *failure) refusal() *refusal {
	message := "The target gave no complete answer."
	if f.outcome == basillift.OutcomeNotRun {
		message = "The target was not reached."
	}
	return refuse(f.outcome, f.reason, message)
}
