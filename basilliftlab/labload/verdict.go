package labload

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basilliftlab/labtarget"
)

// Verdict is what a caller knows when its call has ended.
type Verdict string

// The verdicts. Only the first four are acceptable.
const (
	// VerdictAnswered means that the complete response of a target to this call arrived.
	VerdictAnswered Verdict = "answered"
	// VerdictRefused means a response with the outcome not-run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown means a response with the outcome unknown.
	VerdictUnknown Verdict = "unknown"
	// VerdictUnreached means that no connection could be opened, so nothing was sent.
	VerdictUnreached Verdict = "unreached"
	// VerdictCut means that the connection ended before the complete response arrived.
	VerdictCut Verdict = "cut"
	// VerdictWrong means a response that is corrupted, or belongs to another call or request
	// body.
	VerdictWrong Verdict = "wrong"
	// VerdictLost means no response in time, or one with neither status 200 nor an outcome.
	VerdictLost Verdict = "lost"
	// VerdictSkipped means that the call was not sent because too many calls were in flight.
	VerdictSkipped Verdict = "skipped"
)

// Verdicts returns all verdicts in the order in which reports list them.
func Verdicts() []Verdict {
	return []Verdict{
		VerdictAnswered, VerdictRefused, VerdictUnknown, VerdictUnreached,
		VerdictCut, VerdictWrong, VerdictLost, VerdictSkipped,
	}
}

// Acceptable reports whether the caller learned that its call ran, that it did not run,
// or that this is unknown. Any other verdict is a failure.
func (v Verdict) Acceptable() bool {
	return v == VerdictAnswered || v == VerdictRefused || v == VerdictUnknown || v == VerdictUnreached
}

// Result is the end of a call or of its repeat, as its caller observed it.
type Result struct {
	call     Call
	verdict  Verdict
	status   int
	outcome  basillift.Outcome
	reason   basillift.Reason
	target   string
	runCount int
	sent     time.Time
	ended    time.Time
	detail   string
}

// NewResult returns the result of a call. reason is that of a refusal or an unknown
// outcome.
func NewResult(c Call, v Verdict, reason basillift.Reason, sent, ended time.Time) Result {
	return Result{call: c, verdict: v, reason: reason, sent: sent, ended: ended}
}

// Call is the call that was sent.
func (r Result) Call() Call { return r.call }

// Verdict is what the caller knows about the call.
func (r Result) Verdict() Verdict { return r.verdict }

// Status is the HTTP status, or 0 without a response.
func (r Result) Status() int { return r.status }

// Outcome is the response header Basillift-Outcome.
func (r Result) Outcome() basillift.Outcome { return r.outcome }

// Reason is the response header Basillift-Reason.
func (r Result) Reason() basillift.Reason { return r.reason }

// Target is the name of the target that answered, or "".
func (r Result) Target() string { return r.target }

// Sent is when the client began to send the call.
func (r Result) Sent() time.Time { return r.sent }

// Ended is when the call ended for the caller.
func (r Result) Ended() time.Time { return r.ended }

// Latency is measured from the intended time, so that it includes delays of the
// client and delays caused by earlier calls.
func (r Result) Latency() time.Duration { return r.ended.Sub(r.call.intended) }

// Detail explains a failed exchange or an unusable response to a human. It is "" if
// the outcome and the reason say what happened.
func (r Result) Detail() string { return r.detail }

// String describes the result for a human.
func (r Result) String() string {
	return fmt.Sprintf("%s %s %s of %s to %s at %s: status %d, outcome %q, reason %q, sent %s, took %s, %s",
		r.verdict, r.call.kind, r.call.id, r.call.customer, r.call.service, r.call.address, r.status, r.outcome,
		r.reason, r.sent.Format("15:04:05.000"), r.ended.Sub(r.sent), r.detail)
}

// verdictOfError returns the verdict for the error of a failed exchange.
func verdictOfError(err error) Verdict {
	var opErr *net.OpError
	var netErr net.Error
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return VerdictUnreached
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return VerdictLost
	default:
		return VerdictCut
	}
}

// verifyResponse sets the verdict of a result whose status, headers and whole body
// arrived. requestChecksum and requestLength are those of the request body.
func verifyResponse(r Result, body []byte, requestChecksum string, requestLength int64) Result {
	switch {
	case r.outcome == basillift.OutcomeNotRun:
		r.verdict = VerdictRefused
		return r
	case r.outcome == basillift.OutcomeUnknown:
		r.verdict = VerdictUnknown
		return r
	case r.status != http.StatusOK:
		r.verdict = VerdictLost
		r.detail = "response has neither status 200 nor an outcome"
		return r
	}
	response, err := labtarget.DecodeResponse(body, r.call.id)
	if err != nil {
		r.verdict = VerdictWrong
		r.detail = err.Error()
		return r
	}
	r.target, r.runCount = response.Target(), response.RunCount()
	if response.Checksum() != requestChecksum || response.BytesRead() != requestLength {
		r.verdict = VerdictWrong
		r.detail = "target received a different request body"
		return r
	}
	r.verdict = VerdictAnswered
	return r
}
