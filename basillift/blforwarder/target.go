package blforwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"basillift.dev/basillift"
)

// leaveMargin is how long before the end of its drain time a leaving target gets no more requests: the
// way to it, and the time until its leaving was known here, which a storm of changes or a lost answer delays.
const leaveMargin = 1300 * time.Millisecond

// hop is what the caller side tells the target side of a request.
type hop struct {
	instance string
	// caller is the service of the VM at which the request began.
	caller string
	lane   string
	rank   int
	// served is how much of its lane was served to its caller lately, from 0 to 1.
	served float64
	// parent describes the request that has made this one, if a target did.
	parent parent
	// repeat is how likely it is that this is a repeat, from 0 to 1: it follows another attempt, or a repeat made it.
	repeat float64
	// nested and first are set at the target side: for calls that targets make, and those that go before all else.
	nested, first bool
	repeatable    bool
	objective     time.Duration
	goal          time.Time
	deadline      time.Time
	// seen is the newest revision of the registry that the caller side has seen.
	seen uint64
}

// parent is what a target's daemon tells of the request that has most likely made a call.
type parent struct {
	// rank is noParent if the target ran nothing.
	rank   int
	served float64
	// repeat is how likely it is that the parent is a repeat. It is used by the caller side only.
	repeat float64
}

// targetSide runs requests at the VM's own target.
type targetSide struct{ courier *Forwarder }

func (t *targetSide) internal() bool { return true }

func (t *targetSide) terms() terms {
	own := t.courier.terms()
	// The caller side adds headers of its own.
	own.headerBytes += 4 << 10
	own.idleTimeout = meshWait
	return own
}

// serve implements handler for requests of other daemons.
func (t *targetSide) serve(ctx context.Context, r *request) *answer {
	if text := r.header(headerFeed); text != "" {
		return t.answerFeed(ctx, text)
	}
	h, ok := parseHop(r.header(headerHop), r.arrived)
	if !ok {
		return rejected(http.StatusBadRequest, basillift.ReasonBadRequest)
	}
	t.courier.news.ObserveRevision(h.seen)
	if r.header(headerPermit) != "" {
		a := t.permit(ctx, r, h)
		a.seen = t.courier.news.NewestRevision()
		return a
	}
	if l := t.courier.link; l != nil {
		defer l.received(r, r.header(t.courier.settings.dialect.RequestID()))()
	}
	a := t.run(ctx, r, h)
	a.seen = t.courier.news.NewestRevision()
	return a
}

// run admits a request and passes it to the target. The answer carries the target's load.
func (t *targetSide) run(ctx context.Context, r *request, h hop) *answer {
	h.caller = r.header(t.courier.settings.dialect.Caller())
	a := t.admit(ctx, r, h)
	a.load = t.load()
	return a
}

func (t *targetSide) admit(ctx context.Context, r *request, h hop) *answer {
	c := t.courier
	now := time.Now()
	if refusal := t.unable(now, h); refusal != nil {
		return refusal
	}
	h = c.desk.arrived(now, h)
	id, refusal := c.desk.enter(ctx, now, r.header(c.settings.dialect.RequestID()), h)
	if refusal != nil {
		refusal.nested = h.nested
		return refusal
	}
	started := time.Now()
	c.counters.held.Update(started.Sub(now).Seconds())
	c.desk.started(h)
	a, observed := t.ask(ctx, r, h)
	c.desk.ended(h, time.Since(started))
	a.nested = h.nested
	if a.rest == nil {
		c.desk.leave(time.Now(), id, observed)
		return a
	}
	finish := a.rest.finish
	a.rest.finish = func(complete bool) {
		finish(complete)
		c.desk.leave(time.Now(), id, complete)
	}
	return a
}

// unable is the refusal of a request that cannot run here, whatever the load; nil if it can.
func (t *targetSide) unable(now time.Time, h hop) (refusal *answer) {
	c := t.courier
	if c.closing.Load() {
		return notRun(basillift.ReasonDraining, 0)
	}
	_, leaving, known := c.fleet.EndpointAt(c.settings.target)
	if known && !leaving.IsZero() && now.Sub(leaving) > time.Duration(c.leaving.Load())-leaveMargin {
		return notRun(basillift.ReasonDraining, 0)
	}
	if c.desk.lacks(now, h.instance) {
		return notRun(basillift.ReasonNoTarget, 0)
	}
	return nil
}

// ask passes a request to the target. Observed tells that it ran to its end.
func (t *targetSide) ask(ctx context.Context, r *request, h hop) (a *answer, observed bool) {
	c := t.courier
	d := c.settings.dialect
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, h.deadline)
	defer cancel()
	if ctx.Err() != nil {
		return notRun(basillift.ReasonDeadline, 0), false
	}
	x := &exchange{
		pool: c.pools.Of(c.settings.target), request: r, head: t.head(r, h, now), deadline: h.deadline,
		requestID: r.header(d.RequestID()), idHeader: d.RequestID(), notRun: d.NotRun(),
	}
	running := ctx
	if !h.repeatable {
		// A request that must not run twice is not broken off when its caller leaves.
		running = context.WithoutCancel(ctx)
	}
	received, err := x.run(running, now)
	if err != nil {
		return t.failed(time.Now(), x, err), false
	}
	return t.judge(received, h)
}

// head is the header of the request for the target.
func (t *targetSide) head(r *request, h hop, now time.Time) []byte {
	d := t.courier.settings.dialect
	b := appendRequestLine(nil, r)
	b = appendFields(b, r, d.Deadline(), d.Instance())
	left := max(1, h.deadline.Sub(now).Milliseconds())
	b = appendField(b, d.Deadline(), strconv.FormatInt(left, 10))
	if h.instance != "" {
		b = appendField(b, d.Instance(), h.instance)
	}
	return append(b, "\r\n"...)
}

// failed says what is known of a request that brought no answer.
func (t *targetSide) failed(now time.Time, x *exchange, err error) *answer {
	c := t.courier
	var timeout net.Error
	expired := !now.Before(x.deadline) || errors.As(err, &timeout) && timeout.Timeout()
	switch {
	case x.unreachable && errors.Is(err, syscall.ECONNREFUSED):
		c.desk.down(now)
		return notRun(basillift.ReasonNoTarget, downPause)
	case x.unreachable:
		return notRun(basillift.ReasonConnectFailed, 0)
	case expired:
		return unknown(http.StatusGatewayTimeout, basillift.ReasonDeadline)
	default:
		return unknown(http.StatusBadGateway, basillift.ReasonTarget)
	}
}

// judge decides what an answer of the target says.
func (t *targetSide) judge(r *received, h hop) (a *answer, observed bool) {
	d := t.courier.settings.dialect
	a = &r.answer
	switch {
	case r.status == http.StatusMisdirectedRequest:
		// Another run of the target, or another one, has the address.
		a.discard()
		t.courier.desk.misdirected(time.Now(), h.instance)
		return notRun(basillift.ReasonNoTarget, 0), false
	case r.header(d.NotRun()) != "":
		a.discard()
		retry, _ := strconv.ParseFloat(r.header("Retry-After"), 64)
		refusal := notRun(basillift.ReasonTarget, time.Duration(retry*float64(time.Second)))
		return refusal, false
	case r.encoded, r.status < http.StatusMultipleChoices && r.header(d.Seal()) == "":
		// These bytes are not the target's answer.
		a.discard()
		return unknown(http.StatusBadGateway, basillift.ReasonTruncated), true
	}
	a.outcome = basillift.OutcomeDone
	return a, true
}

func appendRequestLine(b []byte, r *request) []byte {
	b = append(append(append(b, r.method...), ' '), r.uri...)
	return append(b, " HTTP/1.1\r\n"...)
}

// appendFields adds the headers that are passed on, without those that the daemon sets itself, and the framing.
func appendFields(b []byte, r *request, own ...string) []byte {
	options := r.header("Connection")
	for _, f := range r.fields {
		if !connectionHeader(f.name) && !internalHeader(f.name) && !listsOption(options, f.name) && !listed(own, f.name) {
			b = appendField(b, f.name, f.value)
		}
	}
	switch {
	case r.rest != nil && r.size < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case r.rest != nil:
		b = appendField(b, "Content-Length", strconv.Itoa(r.size))
	case len(r.body) > 0 || r.size != 0 || r.method == http.MethodPost || r.method == http.MethodPut:
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.body)))
	}
	return b
}

// listed reports whether a header's name is among others.
func listed(names []string, name string) bool {
	return slices.ContainsFunc(names, func(each string) bool { return strings.EqualFold(each, name) })
}

// listsOption reports whether the value of a Connection header names a header.
func listsOption(options, name string) bool {
	if options == "" {
		return false
	}
	for option := range strings.SplitSeq(options, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}
