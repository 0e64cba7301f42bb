package blproxy

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blretry"
)

// hedge is a second copy of a slow call, sent to another target. The first response without a
// failure is used and the connection of the other copy is closed.
type hedge struct {
	dispatch *dispatch
	started  time.Time
	timer    *time.Timer
	// done is closed when run ends. Until then run may use the request of the caller.
	done chan struct{}

	mutex    sync.Mutex
	stopped  bool
	exchange *exchange
	member   basillift.Member
	response *fasthttp.Response
	won      bool
}

// newHedge starts the timer of a hedge. It returns nil for calls that must not run twice, and
// while too few calls have ended to estimate the latency.
func (d *dispatch) newHedge(now time.Time) *hedge {
	k := d.call
	if k.depth > 0 || k.key != "" || !d.body.isBuffered() || !blretry.Idempotent(k.method) {
		return nil
	}
	delay, known := d.proxy.selection.hedgeDelay(k.service)
	if !known {
		return nil
	}
	h := &hedge{dispatch: d, started: now, done: make(chan struct{})}
	h.timer = time.AfterFunc(delay, h.run)
	return h
}

// run sends the copy if the hedge budget and the available targets allow it.
func (h *hedge) run() {
	defer close(h.done)
	d, now := h.dispatch, time.Now()
	if !h.prepare(now) {
		return
	}
	d.proxy.metrics.hedges.Inc()
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	d.fillRequest(out)
	// The response is not pooled: its stream may be handed over to the caller's response.
	h.response = &fasthttp.Response{}
	h.response.Header.SetNoDefaultContentType(true)
	failed := &failure{basillift.OutcomeNotRun, basillift.ReasonDeadline, nil}
	if d.call.setTimeout(now, out) {
		failed = h.exchange.send(now, out, h.response, d.proxy.settings.maxBufferedBytes)
		d.proxy.recordInvalidAnswer(d.call, failed.cause())
	}
	if failed == nil {
		failed = reportedFailure(h.response)
	}
	d.proxy.selection.finished(time.Now(), h.member.ID(), routeResult(failed, h.response.StatusCode()))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if failed == nil && !h.stopped {
		h.won = true
		d.call.closeOtherConns(h.exchange.conn)
	}
}

// prepare chooses the target of the copy and reports whether to send it.
func (h *hedge) prepare(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	d := h.dispatch
	if h.stopped || !d.proxy.selection.hedge(now, d.call.service, now.Sub(h.started)) {
		return false
	}
	targets := d.proxy.directory.Targets(d.call.service)
	m, reason := d.proxy.selection.start(now, targets, d.tried[:d.attempts])
	if reason != basillift.ReasonNone {
		return false
	}
	h.member = m
	d.proxy.recordStep(now, d.call, basillift.EventCallRouted, m.ID())
	h.exchange = &exchange{call: d.call, pool: d.proxy.pools.Of(m.Addresses().Mesh()), body: d.body, ctx: d.ctx}
	return true
}

// finish ends the hedge after the first copy and reports whether the response to the second copy is
// used. If the first copy failed, it waits for the second.
func (h *hedge) finish(first *exchange, failed *failure) bool {
	if h.timer.Stop() {
		return false
	}
	if failed == nil && !h.stop(first) {
		<-h.done
		if h.response != nil {
			_ = h.response.CloseBodyStream()
		}
		return false
	}
	<-h.done
	return h.won
}

// stop closes the second copy's connection. It reports whether the second copy has already won.
func (h *hedge) stop(first *exchange) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.won {
		return true
	}
	h.stopped = true
	h.dispatch.call.closeOtherConns(first.conn)
	return false
}

// copyTo replaces the response to the first copy with the response to the second copy.
func (h *hedge) copyTo(response *fasthttp.Response) {
	response.ResetBody()
	h.response.Header.CopyTo(&response.Header)
	response.SkipBody = h.response.SkipBody
	stream, ok := h.response.BodyStream().(*responseStream)
	switch {
	case ok:
		response.SetBodyStream(stream, max(h.response.Header.ContentLength(), -1))
	case !response.SkipBody:
		response.SetBody(h.response.Body())
	}
}
