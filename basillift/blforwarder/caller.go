package blforwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

const (
	// answerMargin is the way of an answer between two daemons of a region.
	answerMargin = 4 * time.Millisecond
	// callerMargin is the way of an answer to a caller outside the VM, so that it still hears the end of its wait.
	callerMargin = 5 * time.Millisecond
	// firstTable is how long a request waits for the first routing table: some answers of the registry on a
	// calm day, and an eighth of a usual goal.
	firstTable = 50 * time.Millisecond
	// comeBack is the Retry-After of a daemon that cannot say better, e.g. before its first routing table.
	comeBack = 300 * time.Millisecond
)

// callerSide takes requests from the VM's callers.
type callerSide struct{ courier *Forwarder }

func (s *callerSide) internal() bool { return false }

func (s *callerSide) terms() terms { return s.courier.terms() }

// journey is a request on its way through its attempts.
type journey struct {
	request *request
	route   *basillift.Route
	service string
	hop     hop
	tried   []string
	soonest time.Duration
	steps   []step
	// nested is set if a target's daemon takes the request for a call of this VM's target.
	nested bool
}

// serve implements handler for requests of callers.
func (s *callerSide) serve(ctx context.Context, r *request) *answer {
	a := s.answer(ctx, r)
	id := r.header(s.courier.settings.dialect.RequestID())
	if id != "" && a.header(s.courier.settings.dialect.RequestID()) == "" {
		a.fields = append(a.fields, field{s.courier.settings.dialect.RequestID(), id})
	}
	return a
}

func (s *callerSide) answer(ctx context.Context, r *request) *answer {
	c := s.courier
	table := s.awaitTable(ctx)
	if table == nil {
		return s.turnAway(r, notRun(basillift.ReasonNoVersion, comeBack))
	}
	route, found := table.Match(r.host, r.uri)
	if !found {
		return s.turnAway(r, rejected(http.StatusNotFound, basillift.ReasonService))
	}
	j := s.begin(r, route)
	ctx, cancel := context.WithDeadline(ctx, j.hop.deadline)
	defer cancel()
	c.allowance.RecordRequest(r.arrived, j.service, c.fleet.VMCount(), j.hop.repeat)
	a := s.travel(ctx, j)
	now := time.Now()
	c.outcomes.observe(route.Name(), a.outcome != basillift.OutcomeNotRun || a.reason != basillift.ReasonOverload, j.nested)
	c.counters.ended(now, j, a)
	c.trail.ended(now, r.header(c.settings.dialect.RequestID()), table.Version(), j, a)
	return a
}

// awaitTable returns the table in force, which a daemon that has just started has in a moment; nil if it does not come.
func (s *callerSide) awaitTable(ctx context.Context) *bltable.Table {
	tables := s.courier.tables
	if t := tables.Current(); t != nil {
		return t
	}
	timer := time.NewTimer(firstTable)
	defer timer.Stop()
	select {
	case <-tables.First():
	case <-timer.C:
	case <-ctx.Done():
	}
	return tables.Current()
}

// turnAway notes a request that does not get as far as a target.
func (s *callerSide) turnAway(r *request, a *answer) *answer {
	s.courier.counters.answered(a)
	s.courier.trail.turnedAway(time.Now(), r.header(s.courier.settings.dialect.RequestID()), r, a)
	return a
}

// begin decides what is fixed for all attempts.
func (s *callerSide) begin(r *request, route *basillift.Route) *journey {
	timeout := route.Timeout()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	waited := time.Duration(0)
	if own, ok := r.millis(s.courier.settings.dialect.Deadline()); ok {
		timeout = min(timeout, max(0, own-callerMargin))
		waited = s.courier.patience.Observe(route.Name(), own)
	}
	objective := route.LatencyObjective()
	if objective == 0 {
		objective = timeout
	}
	known := s.courier.outcomes.of(route.Name())
	likely := parent{rank: noParent}
	if known.nested {
		likely = s.courier.desk.parent(route.Name(), known.room)
	}
	return &journey{
		request: r, route: route, service: s.courier.dealer.Pick(route),
		hop: hop{
			lane: route.Name(), rank: route.Priority(), repeatable: route.Kind().Repeatable(), objective: objective,
			served: known.room, parent: likely, repeat: likely.repeat,
			goal: r.arrived.Add(objective - waited), deadline: r.arrived.Add(timeout),
		},
	}
}

// travel sends a request to targets until it has its final answer.
func (s *callerSide) travel(ctx context.Context, j *journey) *answer {
	c := s.courier
	course := blretry.NewAttemptSequence(j.hop.repeatable, j.route.Attempts(), j.hop.deadline)
	// failure is what a target answered, in case nothing better follows.
	var failure *answer
	for {
		a, ending := s.attempt(ctx, j)
		now := time.Now()
		if ctx.Err() != nil && ending != blretry.AttemptAnswered {
			a.discard()
			return firstOf(failure, s.expired(ctx, course, ending))
		}
		repeat := func() bool {
			taken := c.allowance.Take(now, j.service, c.fleet.VMCount())
			if taken {
				c.counters.repeats.Inc()
				j.hop.repeat = 1
			}
			return taken
		}
		switch course.Next(now, ending, j.request.whole(), repeat) {
		case blretry.ActionForwardAnswer:
			return a
		case blretry.ActionReportNotRun:
			return notRun(a.reason, s.retryAfter(j))
		case blretry.ActionReportUnknown:
			a.discard()
			return firstOf(failure, unknown(unknownStatus(a), a.reason))
		case blretry.ActionRetry:
			if ending == blretry.AttemptFailed && a.rest == nil {
				failure = a
			}
			a.discard()
		}
	}
}

// firstOf returns the answer of a target if there is one, and the daemon's own otherwise.
func firstOf(target, own *answer) *answer {
	if target != nil {
		return target
	}
	return own
}

// unknownStatus is 504 if the last attempt ended with its time, and 502 otherwise.
func unknownStatus(a *answer) int {
	if a.reason == basillift.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (s *callerSide) retryAfter(j *journey) time.Duration {
	if j.soonest > 0 {
		return j.soonest
	}
	return comeBack
}

// expired is the final answer to a request whose time is over or whose caller left.
func (s *callerSide) expired(ctx context.Context, course *blretry.AttemptSequence, last blretry.AttemptResult) *answer {
	if course.MayHaveRun() || last.MayHaveRun() {
		return unknown(http.StatusGatewayTimeout, basillift.ReasonDeadline)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return notRun(basillift.ReasonCallerGone, comeBack)
	}
	return notRun(basillift.ReasonDeadline, comeBack)
}

// attempt sends a request to one target.
func (s *callerSide) attempt(ctx context.Context, j *journey) (*answer, blretry.AttemptResult) {
	c := s.courier
	now := time.Now()
	ask := blbalance.NewRequest(j.route.Name(), s.weight(j), j.hop.goal)
	target, found := c.placer.Choose(now, c.fleet.Targets(j.service), j.tried, ask)
	if !found {
		reason := basillift.ReasonNoTarget
		if len(j.tried) > 0 {
			reason = basillift.ReasonOverload
		}
		return notRun(reason, 0), blretry.AttemptNoTarget
	}
	instance := target.Endpoint().Instance()
	j.tried = append(j.tried, instance)
	news := c.placer.ReportAge(now, instance)
	j.hop.instance = instance
	c.placer.Started(now, target)
	a, ending := s.send(ctx, j, target)
	ended := time.Now()
	c.placer.Ended(ended, target, ask, result(ctx, ending, a.silent), ended.Sub(now), a.load)
	c.counters.attempt(ending)
	j.nested = j.nested || a.nested
	j.steps = append(j.steps, step{instance: instance, ending: ending, reason: a.reason, took: ended.Sub(now), news: news})
	if ending == blretry.AttemptAnswered {
		c.sizes.observe(j.route.Name(), len(a.body))
	}
	if ending == blretry.AttemptRefused && a.retryAfter > 0 && (j.soonest == 0 || a.retryAfter < j.soonest) {
		j.soonest = a.retryAfter
	}
	return a, ending
}

// weight is how many bytes a request and its answer are expected to have.
func (s *callerSide) weight(j *journey) int {
	return len(j.request.body) + max(0, j.request.size-len(j.request.body)) + s.courier.sizes.expected(j.route.Name())
}

// result is what an ending says of the target.
func result(ctx context.Context, e blretry.AttemptResult, silent bool) blbalance.Result {
	switch {
	case e == blretry.AttemptAnswered:
		return blbalance.ResultAnswered
	case errors.Is(ctx.Err(), context.Canceled):
		return blbalance.ResultCanceled
	case silent:
		return blbalance.ResultSilent
	case e == blretry.AttemptUnreachable:
		return blbalance.ResultUnreachable
	case e == blretry.AttemptFailed:
		return blbalance.ResultFailed
	case e == blretry.AttemptBroken:
		return blbalance.ResultBroken
	default:
		return blbalance.ResultRefused
	}
}

// send passes a request to the daemon beside the target, or to the VM's own target.
func (s *callerSide) send(ctx context.Context, j *journey, t *blfleet.Target) (*answer, blretry.AttemptResult) {
	c := s.courier
	if t.Endpoint().Address() == c.settings.target {
		a := c.targets.run(ctx, s.local(j.request), j.hop)
		return a, ending(a)
	}
	if s.needsPermit(j, t) {
		if a, e, sure := s.permitted(ctx, j, t); !sure {
			return a, e
		}
	}
	now := time.Now()
	x := &exchange{
		pool: c.pools.Of(t.Endpoint().Daemon()), request: j.request, head: s.head(j, now), deadline: j.hop.deadline,
	}
	received, err := x.run(ctx, now)
	if err != nil {
		return lost(err, x.unreachable)
	}
	a := &received.answer
	a.readInternal()
	c.news.ObserveRevision(a.seen)
	return a, ending(a)
}

// lost is the ending of an attempt without an answer. Unsent tells that no byte of the request was sent.
func lost(err error, unsent bool) (*answer, blretry.AttemptResult) {
	a, e := unknown(http.StatusBadGateway, basillift.ReasonConnectFailed), blretry.AttemptBroken
	if unsent {
		a, e = notRun(basillift.ReasonConnectFailed, 0), blretry.AttemptUnreachable
	}
	a.silent = silentError(err)
	return a, e
}

// needsPermit reports whether a request has a large body that must not be sent in vain: to a VM with a thin link,
// or to another failure domain, where bytes are dear.
func (s *callerSide) needsPermit(j *journey, t *blfleet.Target) bool {
	if j.request.whole() && len(j.request.body) < blbalance.LargeBodyBytes {
		return false
	}
	e := t.Endpoint()
	return e.Domain() != s.courier.settings.domain || s.courier.placer.SlowLink(e.Instance())
}

// permitted asks whether the body may come to a target, and returns the ending of the attempt if not.
func (s *callerSide) permitted(ctx context.Context, j *journey, t *blfleet.Target) (*answer, blretry.AttemptResult, bool) {
	refusal, err := s.askPermit(ctx, j, t.Endpoint().Daemon())
	if err != nil {
		// The request itself was not sent.
		a, e := lost(err, true)
		return a, e, false
	}
	if refusal != nil {
		return refusal, ending(refusal), false
	}
	return nil, "", true
}

// silentError reports whether an error means that nothing came back, rather than a refusal or a reset.
func silentError(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &timeout) && timeout.Timeout()
}

// local is the request as the target side expects it.
func (s *callerSide) local(r *request) *request {
	n := *r
	n.fields = append([]field(nil), r.fields...)
	n.fields = s.withCaller(n.fields)
	return &n
}

// withCaller replaces what the caller says of its service.
func (s *callerSide) withCaller(fields []field) []field {
	name := s.courier.settings.dialect.Caller()
	kept := fields[:0]
	for _, f := range fields {
		if !strings.EqualFold(f.name, name) {
			kept = append(kept, f)
		}
	}
	return append(kept, field{name, s.courier.settings.service})
}

// head is the header of the request for the daemon beside the target.
func (s *callerSide) head(j *journey, now time.Time) []byte {
	d := s.courier.settings.dialect
	b := appendRequestLine(nil, j.request)
	b = appendFields(b, j.request, d.Caller(), d.Instance())
	b = appendField(b, d.Caller(), s.courier.settings.service)
	told := j.hop
	told.seen = s.courier.news.NewestRevision()
	// The target side gives up a little earlier, so that its own answer arrives in time.
	told.deadline = told.deadline.Add(-answerMargin)
	b = appendField(b, headerHop, told.format(now))
	return append(b, "\r\n"...)
}

// readInternal takes the internal headers of another daemon's answer.
func (a *answer) readInternal() {
	a.parseOutcome(a.header(headerHop))
	a.load = parseLoad(a.header(headerLoad))
}

// ending is what an answer of the target side means.
func ending(a *answer) blretry.AttemptResult {
	switch {
	case a.outcome == basillift.OutcomeDone && a.status >= http.StatusInternalServerError:
		return blretry.AttemptFailed
	case a.outcome == basillift.OutcomeDone:
		return blretry.AttemptAnswered
	case a.outcome == basillift.OutcomeNotRun && a.reason == basillift.ReasonTarget:
		return blretry.AttemptShed
	case a.outcome == basillift.OutcomeNotRun && (a.reason == basillift.ReasonNoTarget || a.reason == basillift.ReasonDraining):
		return blretry.AttemptUnreachable
	case a.outcome == basillift.OutcomeNotRun:
		return blretry.AttemptRefused
	default:
		return blretry.AttemptBroken
	}
}
