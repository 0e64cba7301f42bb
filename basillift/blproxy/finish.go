package blproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
)

// startCall counts a call as in flight and sets it as the call of its connection.
func (p *Proxy) startCall(k *call) {
	p.inFlight.Add(1)
	if k.conn != nil {
		k.conn.setCall(k)
	}
}

// endCall undoes the effects of a call at its end: limits, quarantine tracking, slot, connection
// and in-flight count.
func (p *Proxy) endCall(k *call) {
	if k.limited {
		p.quota.finished(time.Now(), k.customer)
	}
	if k.tracked {
		p.broadcastSuspicions(p.quarantine.finish(time.Now(), k, k.answered))
	}
	if k.slot != 0 {
		p.admission.release(time.Now(), k.slot)
	}
	if k.conn != nil {
		k.conn.clearCall()
	}
	p.inFlight.Add(-1)
}

// finishRefused sends the refusal and ends the call.
func (p *Proxy) finishRefused(ctx *fasthttp.RequestCtx, k *call, r *refusal, counters *outcomeCounters) {
	if p.records(RecordRefused) {
		now := time.Now()
		e := k.event(now, basillift.EventCallRefused).WithOutcome(r.outcome, r.reason, r.status)
		p.recorder.Record(e.WithDetail(r.message))
	}
	counters.count(r.outcome)
	writeRefusal(ctx, r)
	p.endCall(k)
}

// finishAnswered ends the call now, or at the end of a streamed response. A response with an
// outcome header is a refusal by the target or its daemon.
func (p *Proxy) finishAnswered(ctx *fasthttp.RequestCtx, k *call, kind basillift.EventKind, counters *outcomeCounters) {
	status := ctx.Response.StatusCode()
	outcome, reason := outcomeOf(reportedFailure(&ctx.Response))
	stream, ok := ctx.Response.BodyStream().(*responseStream)
	if !ok {
		p.completeCall(k, kind, status, outcome, reason, counters)
		return
	}
	_ = ctx.SetWriteDeadline(k.deadline)
	stream.onEnd(func(complete bool) {
		if complete {
			p.completeCall(k, kind, status, outcome, reason, counters)
			return
		}
		k.answered = false
		if stream.err != nil && counters == &p.metrics.mesh && !k.isCanceled() {
			p.checkForCrash()
		}
		p.recordInvalidAnswer(k, stream.err)
		p.completeCall(k, basillift.EventCallTruncated, status, basillift.OutcomeUnknown, basillift.ReasonTruncated, counters)
	})
}

func outcomeOf(f *failure) (basillift.Outcome, basillift.Reason) {
	if f == nil {
		return basillift.OutcomeDone, basillift.ReasonNone
	}
	return f.outcome, f.reason
}

func (p *Proxy) completeCall(k *call, kind basillift.EventKind, status int, o basillift.Outcome, r basillift.Reason, counters *outcomeCounters) {
	counters.count(o)
	now := time.Now()
	if counters == &p.metrics.caller {
		p.metrics.observeDuration(now, k.startedAt)
	}
	level := RecordAll
	if o != basillift.OutcomeDone {
		level = RecordRefused
	}
	if p.records(level) {
		p.recorder.Record(k.event(now, kind).WithOutcome(o, r, status))
	}
	p.endCall(k)
}

func (oc *outcomeCounters) count(o basillift.Outcome) {
	switch o {
	case basillift.OutcomeDone:
		oc.answered.Inc()
	case basillift.OutcomeNotRun:
		oc.notRun.Inc()
	default:
		oc.unknown.Inc()
	}
}

// records reports whether events of the level are recorded.
func (p *Proxy) records(level Recording) bool {
	return p.settings.recording == RecordAll || p.settings.recording == level
}

// recordInvalidAnswer records an answer that is malformed or ended early.
func (p *Proxy) recordInvalidAnswer(k *call, err error) {
	if p.records(RecordRefused) && blhttp.Invalid(err) {
		p.recorder.Record(k.event(time.Now(), basillift.EventAnswerInvalid).WithDetail(err.Error()))
	}
}

// recordStep records a successful step of a call.
func (p *Proxy) recordStep(now time.Time, k *call, kind basillift.EventKind, target basillift.VMID) {
	if p.records(RecordAll) {
		p.recorder.Record(k.event(now, kind).WithTarget(target).WithVersion(k.version, 0))
	}
}
