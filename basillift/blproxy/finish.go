package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// enter counts a call that begins and ties it to its caller's connection.
func (p *Proxy) enter(k *call) {
	p.inFlight.Add(1)
	if k.conn != nil {
		k.conn.start(k)
	}
}

// leave counts a call that ended, frees its slot and unties it from the connection.
func (p *Proxy) leave(k *call) {
	if k.limited {
		p.quota.finished(time.Now(), k.customer)
	}
	if k.guarded {
		p.spread(p.guard.leave(time.Now(), k, k.answered))
	}
	if k.slot != 0 {
		p.gate.leave(time.Now(), k.slot)
	}
	if k.conn != nil {
		k.conn.finish()
	}
	p.inFlight.Add(-1)
}

// finishRefused answers with a refusal and ends the call.
func (p *Proxy) finishRefused(ctx *fasthttp.RequestCtx, k *call, r *refusal, side *sideCounters) {
	if p.records(RecordRefused) {
		now := time.Now()
		e := k.event(now, basillift.EventCallRefused).WithOutcome(r.outcome, r.reason, r.status)
		p.recorder.Record(e.WithDetail(r.message))
	}
	side.count(r.outcome)
	answer(ctx, r)
	p.leave(k)
}

// finishAnswered ends the call now, or at the end of a streamed response. A
// response that carries an outcome is a refusal of the target or its daemon.
func (p *Proxy) finishAnswered(ctx *fasthttp.RequestCtx, k *call, kind basillift.EventKind, side *sideCounters) {
	status := ctx.Response.StatusCode()
	outcome, reason := outcomeOf(announced(&ctx.Response))
	stream, ok := ctx.Response.BodyStream().(*relay)
	if !ok {
		p.end(k, kind, status, outcome, reason, side)
		return
	}
	_ = ctx.SetWriteDeadline(k.deadline)
	stream.onEnd(func(complete bool) {
		if complete {
			p.end(k, kind, status, outcome, reason, side)
			return
		}
		k.answered = false
		if stream.broken && side == &p.metrics.mesh && !k.isCanceled() {
			p.suspectCrash()
		}
		p.end(k, basillift.EventCallTruncated, status, basillift.OutcomeUnknown, basillift.ReasonTruncated, side)
	})
}

func outcomeOf(f *failure) (basillift.Outcome, basillift.Reason) {
	if f == nil {
		return basillift.OutcomeDone, basillift.ReasonNone
	}
	return f.outcome, f.reason
}

func (p *Proxy) end(k *call, kind basillift.EventKind, status int, o basillift.Outcome, r basillift.Reason, side *sideCounters) {
	side.count(o)
	now := time.Now()
	if side == &p.metrics.caller {
		p.metrics.observe(now, k.since)
	}
	level := RecordAll
	if o != basillift.OutcomeDone {
		level = RecordRefused
	}
	if p.records(level) {
		p.recorder.Record(k.event(now, kind).WithOutcome(o, r, status))
	}
	p.leave(k)
}

func (c *sideCounters) count(o basillift.Outcome) {
	switch o {
	case basillift.OutcomeDone:
		c.answered.Inc()
	case basillift.OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}

// records reports whether events of the level are wanted.
func (p *Proxy) records(level Recording) bool {
	return p.settings.recording == RecordAll || p.settings.recording == level
}

// recordCall records a step of a call that goes well.
func (p *Proxy) recordCall(now time.Time, k *call, kind basillift.EventKind, target basillift.VMID) {
	if p.records(RecordAll) {
		p.recorder.Record(k.event(now, kind).WithTarget(target).WithVersion(k.version, 0))
	}
}
