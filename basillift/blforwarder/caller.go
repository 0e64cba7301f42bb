package blforwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/bltable"
)

const (
	// answerMargin is the time that an answer takes between two daemons of a region.
	answerMargin = 4 * time.Millisecond
	// callerMargin is the time that an answer takes to a caller outside the VM. It is subtracted from the caller's
	// timeout, so that the caller receives the answer before it gives up.
	callerMargin = 5 * time.Millisecond
	// firstTableTimeout is how long a request waits for the first routing table: a few responses of the registry
	// under normal load, and an eighth of a usual latency objective.
	firstTableTimeout = 50 * time.Millisecond
	// defaultRetryAfter is the value of Retry-After if no better estimate exists, e.g. before the first routing
	// table.
	defaultRetryAfter = 300 * time.Millisecond
)

// callerSide routes and forwards requests of the VM's callers, the clients that connect to this daemon.
type callerSide struct{ forwarder *Forwarder }

func (c *callerSide) internal() bool { return false }

func (c *callerSide) newBodyMemory(headerBytes int) *bodyMemory {
	return c.forwarder.bodyBudget.newMemory(headerBytes)
}

func (c *callerSide) slotsWanted(now time.Time) bool { return c.forwarder.slotsWanted(now) }

func (c *callerSide) connLimits() connLimits { return c.forwarder.connLimits() }

// routedRequest is a request with its route and the state of its attempts.
type routedRequest struct {
	request            *request
	route              *basillift.Route
	service            string
	metadata           requestMetadata
	triedInstances     []string
	earliestRetryAfter time.Duration
	late               lateAttempt
	// callerDeadline is when the caller gives up; zero if it does not say.
	callerDeadline time.Time
	// admission is what overload did to the request in its last attempt.
	admission admissionNote
	attempts  []attemptRecord
	// nestedCall is set if a target's daemon classifies the request as a nested call of this VM's target.
	nestedCall  bool
	fingerprint func() blquarantine.Fingerprint
}

// serve implements handler for requests from callers.
func (c *callerSide) serve(ctx context.Context, r *request) *answer {
	a := c.handle(ctx, r)
	id := r.header(c.forwarder.settings.headerNames.RequestID())
	if id != "" && a.header(c.forwarder.settings.headerNames.RequestID()) == "" {
		a.fields = append(a.fields, field{c.forwarder.settings.headerNames.RequestID(), id})
	}
	return a
}

func (c *callerSide) handle(ctx context.Context, r *request) *answer {
	f := c.forwarder
	table, route, refusal := c.findRoute(r, func() *bltable.Table { return c.awaitTable(ctx) })
	if refusal != nil {
		return c.recordUnrouted(r, refusal)
	}
	rr := c.prepare(r, route, recordingLookups{f})
	ctx, cancel := context.WithDeadline(ctx, rr.metadata.deadline)
	defer cancel()
	f.allowance.RecordRequest(r.arrived, rr.service, f.fleet.VMCount(), rr.metadata.retryProbability)
	a := c.forwardWithRetries(ctx, rr)
	now := time.Now()
	f.routeStats.observe(route.Name(), a.outcome != basillift.OutcomeNotRun || a.reason != basillift.ReasonOverload, rr.nestedCall)
	f.counters.countRequest(now, rr, a)
	f.requestLog.logEnded(now, r.header(f.settings.headerNames.RequestID()), table.Version(), rr, a)
	return a
}

// awaitTable returns the routing table in force. A daemon that has just started receives its first table shortly
// after; awaitTable waits for it and returns nil if none arrives in time.
func (c *callerSide) awaitTable(ctx context.Context) *bltable.Table {
	tables := c.forwarder.tables
	if t := tables.Current(); t != nil {
		return t
	}
	timer := time.NewTimer(firstTableTimeout)
	defer timer.Stop()
	select {
	case <-tables.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
	return tables.Current()
}

// recordUnrouted counts and logs a request that is answered without an attempt, and returns the answer.
func (c *callerSide) recordUnrouted(r *request, a *answer) *answer {
	c.forwarder.counters.countAnswer(a)
	c.forwarder.requestLog.logUnrouted(time.Now(), r.header(c.forwarder.settings.headerNames.RequestID()), r, a)
	return a
}

// prepare chooses the service and sets the deadlines and the metadata that all attempts share.
func (c *callerSide) prepare(r *request, route *basillift.Route, l lookups) *routedRequest {
	timeout, callerTimeout, stated := c.timeout(r, route.Timeout())
	elapsed := time.Duration(0)
	var callerDeadline time.Time
	if stated {
		elapsed = l.elapsedWait(route.Name(), callerTimeout)
		callerDeadline = r.arrived.Add(callerTimeout)
	}
	latencyObjective := route.LatencyObjective()
	if latencyObjective == 0 {
		latencyObjective = timeout
	}
	stats := c.forwarder.routeStats.get(route.Name())
	parent := parentRequest{rank: noParentRank}
	if stats.nestedCall {
		parent = l.parent(route.Name(), stats.servedRatio)
	}
	return &routedRequest{
		request: r, route: route, service: l.service(route), fingerprint: fingerprintOf(r), callerDeadline: callerDeadline,
		metadata: requestMetadata{
			route: route.Name(), rank: route.Priority(), retryable: route.Kind().Retryable(), latencyObjective: latencyObjective,
			servedRatio: stats.servedRatio, parent: parent, retryProbability: parent.retryProbability,
			softDeadline: r.arrived.Add(latencyObjective - elapsed), deadline: r.arrived.Add(timeout),
		},
	}
}

// forwardWithRetries sends a request to one target after the other until it has its final answer.
func (c *callerSide) forwardWithRetries(ctx context.Context, rr *routedRequest) *answer {
	f := c.forwarder
	sequence := blretry.NewAttemptSequence(rr.metadata.retryable, rr.route.Attempts(), rr.metadata.deadline)
	// targetFailure is the last failure that a target answered. It is returned if later attempts bring no better
	// answer.
	var targetFailure *answer
	for {
		if refusal := f.quarantine.refusal(time.Now(), rr.fingerprint); refusal != nil {
			if sequence.MayHaveRun() {
				refusal = unknownAnswer(http.StatusBadGateway, basillift.ReasonQuarantined)
			}
			return preferTargetAnswer(targetFailure, refusal)
		}
		a, result := c.attempt(ctx, rr)
		now := time.Now()
		if ctx.Err() != nil && result != blretry.AttemptAnswered {
			a.discard()
			return preferTargetAnswer(targetFailure, c.expiredAnswer(ctx, now, rr, sequence, result))
		}
		switch sequence.Next(now, result, rr.request.buffered(), func() bool { return c.takeRetry(now, rr) }) {
		case blretry.ActionForwardAnswer:
			return a
		case blretry.ActionReportNotRun:
			if rr.askLate(a) && sequence.MayAskLate(now) {
				continue
			}
			return notRunAnswer(a.reason, c.retryAfter(now, rr))
		case blretry.ActionReportUnknown:
			a.discard()
			return preferTargetAnswer(targetFailure, unknownAnswer(unknownStatus(a), a.reason))
		case blretry.ActionRetry:
			if result == blretry.AttemptFailed && a.stream == nil {
				targetFailure = a
			}
			a.discard()
		}
	}
}

// takeRetry takes a retry from the allowance.
func (c *callerSide) takeRetry(now time.Time, rr *routedRequest) bool {
	f := c.forwarder
	if !f.allowance.Take(now, rr.service, f.fleet.VMCount()) {
		return false
	}
	f.counters.retries.Inc()
	rr.metadata.retryProbability = 1
	return true
}

// preferTargetAnswer returns the answer of a target if there is one, and the daemon's own answer otherwise.
func preferTargetAnswer(target, own *answer) *answer {
	if target != nil {
		return target
	}
	return own
}

// unknownStatus returns 504 if the last attempt exceeded its deadline, and 502 otherwise.
func unknownStatus(a *answer) int {
	if a.reason == basillift.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// expiredAnswer returns the final answer to a request whose deadline has passed or whose caller disconnected.
func (c *callerSide) expiredAnswer(ctx context.Context, now time.Time, rr *routedRequest, sequence *blretry.AttemptSequence, last blretry.AttemptResult) *answer {
	if sequence.MayHaveRun() || last.MayHaveRun() {
		return unknownAnswer(http.StatusGatewayTimeout, basillift.ReasonDeadline)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return notRunAnswer(canceledReason(ctx), defaultRetryAfter)
	}
	return notRunAnswer(basillift.ReasonDeadline, c.retryAfter(now, rr))
}

// attempt chooses a target, sends the request to it and records the result.
func (c *callerSide) attempt(ctx context.Context, rr *routedRequest) (*answer, blretry.AttemptResult) {
	f := c.forwarder
	now := time.Now()
	query := blbalance.NewRequest(rr.route.Name(), c.expectedBytes(rr), rr.metadata.softDeadline)
	target, found := c.chooseTarget(now, rr, query)
	if !found {
		return c.refuseWithoutTarget(rr), blretry.AttemptNoTarget
	}
	instance := target.Endpoint().Instance()
	rr.triedInstances = append(rr.triedInstances, instance)
	reportAge := f.balancer.ReportAge(now, instance)
	rr.metadata.instance, rr.metadata.advisory = instance, f.advisories.Advisory(now, target.Endpoint())
	f.balancer.Started(now, target)
	a, result := c.send(ctx, rr, target)
	ended := time.Now()
	if a.load != nil {
		f.advisories.ObserveReport(ended, target.Endpoint(), a.load.Advisory())
	}
	f.balancer.Ended(ended, target, query, balancerResult(ctx, rr.request, result, a.timedOut), ended.Sub(now), balancerLoad(a))
	if a.suspicion != nil {
		f.adoptSuspicions(ended, *a.suspicion)
	}
	f.counters.countAttempt(result)
	c.excludeEvacuated(rr, target, a)
	rr.nestedCall = rr.nestedCall || a.nestedCall
	rr.attempts = append(rr.attempts, attemptRecord{instance: instance, result: result, reason: a.reason, duration: ended.Sub(now), reportAge: reportAge})
	if result == blretry.AttemptAnswered {
		f.answerSizes.observe(rr.route.Name(), len(a.body))
	}
	rr.admission = a.admission
	rr.observeRefusal(instance, result, a)
	return a, result
}

// expectedBytes returns the expected number of bytes of a request and its answer.
func (c *callerSide) expectedBytes(rr *routedRequest) int {
	return len(rr.request.body) + max(0, rr.request.size-len(rr.request.body)) + c.forwarder.answerSizes.expectedBytes(rr.route.Name())
}

// balancerResult translates the result of an attempt into what the balancer records about the target.
func balancerResult(ctx context.Context, r *request, result blretry.AttemptResult, timedOut bool) blbalance.Result {
	switch {
	case result == blretry.AttemptAnswered:
		return blbalance.ResultAnswered
	case errors.Is(ctx.Err(), context.Canceled), r.stalled():
		// A body that the caller does not finish is not the target's failure.
		return blbalance.ResultCanceled
	case timedOut:
		return blbalance.ResultSilent
	case result == blretry.AttemptUnreachable:
		return blbalance.ResultUnreachable
	case result == blretry.AttemptFailed:
		return blbalance.ResultFailed
	case result == blretry.AttemptBroken:
		return blbalance.ResultBroken
	default:
		return blbalance.ResultRefused
	}
}
