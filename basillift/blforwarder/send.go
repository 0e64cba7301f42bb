package blforwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blretry"
)

// send sends a request to the target's daemon, or directly to the VM's own target.
func (c *callerSide) send(ctx context.Context, rr *routedRequest, t *blfleet.Target) (*answer, blretry.AttemptResult) {
	f := c.forwarder
	if t.Endpoint().Address() == f.settings.targetAddress {
		a := f.targetSide.run(ctx, c.localRequest(rr.request), rr.metadata)
		return a, attemptResult(a)
	}
	if ctx.Err() != nil {
		return notRunAnswer(canceledReason(ctx), 0), blretry.AttemptRefused
	}
	remote, answerBy := f.answerDeadlines.start(rr.request.header(f.settings.headerNames.RequestID()), t.Endpoint().Daemon())
	defer f.answerDeadlines.end(remote)
	rr.metadata.answerBy = answerBy
	if c.needsReservation(rr, t) {
		if a, result, reserved := c.reserveBody(ctx, rr, t); !reserved {
			return a, result
		}
	}
	now := time.Now()
	e := f.newExchange(t.Endpoint().Daemon(), rr.request, c.requestHeader(rr, now), rr.metadata.deadline)
	received, err := e.run(ctx, now)
	if err != nil {
		return unansweredAttempt(err, e.unsent)
	}
	a := &received.answer
	a.parseInternalHeaders()
	if s, ok := parseSuspicion(time.Now(), a.header(headerSuspicion), rr.fingerprint); ok {
		a.suspicion = &s
	}
	f.gossip.ObserveRevision(a.newestRevision)
	return a, attemptResult(a)
}

// unansweredAttempt returns the result of an attempt without an answer. unsent means that no byte of the request was
// sent.
func unansweredAttempt(err error, unsent bool) (*answer, blretry.AttemptResult) {
	a, result := unknownAnswer(http.StatusBadGateway, basillift.ReasonConnectFailed), blretry.AttemptBroken
	if unsent {
		a, result = notRunAnswer(basillift.ReasonConnectFailed, 0), blretry.AttemptUnreachable
	}
	a.timedOut = isTimeout(err)
	return a, result
}

// needsReservation reports whether the body may be sent only after a reservation. That applies to large bodies for a
// VM with a slow link, or for another failure domain, where transferred bytes cost money.
func (c *callerSide) needsReservation(rr *routedRequest, t *blfleet.Target) bool {
	if rr.request.buffered() && len(rr.request.body) < blbalance.LargeBodyBytes {
		return false
	}
	e := t.Endpoint()
	return e.Domain() != c.forwarder.settings.domain || c.forwarder.balancer.SlowLink(e.Instance())
}

// reserveBody asks the target's daemon for a reservation for the body. It returns false, with the result of the
// attempt, if that daemon does not grant one.
func (c *callerSide) reserveBody(ctx context.Context, rr *routedRequest, t *blfleet.Target) (*answer, blretry.AttemptResult, bool) {
	refusal, err := c.requestReservation(ctx, rr, t.Endpoint().Daemon())
	if err != nil {
		// The request itself has not been sent.
		a, result := unansweredAttempt(err, true)
		return a, result, false
	}
	if refusal != nil {
		return refusal, attemptResult(refusal), false
	}
	return nil, "", true
}

// isTimeout reports whether an error is a timeout, as opposed to a refusal or a reset: of connecting, of data that the
// peer does not acknowledge, or of the deadline. A canceled exchange ends with a timeout too. The peer may have sent a
// part of its answer.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &timeout) && timeout.Timeout()
}

// parseInternalHeaders reads the outcome, the load report and the note on its admission from the headers of another daemon's answer.
func (a *answer) parseInternalHeaders() {
	a.parseOutcome(a.header(headerHop))
	a.load = parseLoad(a.header(headerLoad))
	if cold := a.header(headerCold); cold != "" && a.load != nil {
		*a.load = parseColdLimit(*a.load, cold)
	}
	a.admission = parseAdmissionNote(a.header(headerAdmission))
}

// attemptResult translates an answer of the target's daemon into the result of the attempt.
func attemptResult(a *answer) blretry.AttemptResult {
	switch {
	case a.outcome == basillift.OutcomeDone && a.status >= http.StatusInternalServerError:
		return blretry.AttemptFailed
	case a.outcome == basillift.OutcomeDone:
		return blretry.AttemptAnswered
	case a.outcome == basillift.OutcomeNotRun && a.reason == basillift.ReasonTarget:
		return blretry.AttemptShed
	case a.outcome == basillift.OutcomeNotRun && (a.reason == basillift.ReasonNoTarget || a.reason == basillift.ReasonDraining || a.reason == basillift.ReasonEvacuated):
		return blretry.AttemptUnreachable
	case a.outcome == basillift.OutcomeNotRun:
		return blretry.AttemptRefused
	default:
		return blretry.AttemptBroken
	}
}
