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

// Verdict is what a caller knows at the end of an attempt.
type Verdict string

// The verdicts. Only the first four are honest ends of a call.
const (
	// VerdictAnswered means the whole answer of a target to this call.
	VerdictAnswered Verdict = "answered"
	// VerdictRefused means an answer with the outcome not-run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown means an answer with the outcome unknown.
	VerdictUnknown Verdict = "unknown"
	// VerdictUnreached means that no connection could be opened, so nothing was sent.
	VerdictUnreached Verdict = "unreached"
	// VerdictCut means that the connection ended before the whole answer.
	VerdictCut Verdict = "cut"
	// VerdictWrong means an answer that is not the answer to this call.
	VerdictWrong Verdict = "wrong"
	// VerdictLost means no answer in time, or an answer that says nothing of the outcome.
	VerdictLost Verdict = "lost"
	// VerdictSkipped means that the client did not send, as too many calls were in flight.
	VerdictSkipped Verdict = "skipped"
)

// Verdicts returns all verdicts in the order of reports.
func Verdicts() []Verdict {
	return []Verdict{
		VerdictAnswered, VerdictRefused, VerdictUnknown, VerdictUnreached,
		VerdictCut, VerdictWrong, VerdictLost, VerdictSkipped,
	}
}

// Honest reports whether the caller was told the truth about its call.
func (v Verdict) Honest() bool {
	return v == VerdictAnswered || v == VerdictRefused || v == VerdictUnknown || v == VerdictUnreached
}

// Result is one attempt of a call as its caller saw it.
type Result struct {
	call    Call
	verdict Verdict
	status  int
	outcome basillift.Outcome
	reason  basillift.Reason
	target  string
	run     int
	sent    time.Time
	ended   time.Time
	detail  string
}

// NewResult returns the result of a call that was sent and has ended. Reason is
// that of a refusal or an unknown outcome.
func NewResult(c Call, v Verdict, reason basillift.Reason, sent, ended time.Time) Result {
	return Result{call: c, verdict: v, reason: reason, sent: sent, ended: ended}
}

// Call is the call.
func (r Result) Call() Call { return r.call }

// Verdict is what the caller knows.
func (r Result) Verdict() Verdict { return r.verdict }

// Status is the HTTP status, or 0 without an answer.
func (r Result) Status() int { return r.status }

// Outcome is the answer's Basillift-Outcome.
func (r Result) Outcome() basillift.Outcome { return r.outcome }

// Reason is the answer's Basillift-Reason.
func (r Result) Reason() basillift.Reason { return r.reason }

// Target names the target that answered, or is "".
func (r Result) Target() string { return r.target }

// Sent is when the request was handed to the connection.
func (r Result) Sent() time.Time { return r.sent }

// Ended is when the caller knew the verdict.
func (r Result) Ended() time.Time { return r.ended }

// Latency counts from the intended time, so that a delay of the client or of
// earlier calls is not left out.
func (r Result) Latency() time.Duration { return r.ended.Sub(r.call.intended) }

// Detail tells a human why the verdict is not VerdictAnswered.
func (r Result) Detail() string { return r.detail }

// String describes the result for a human.
func (r Result) String() string {
	return fmt.Sprintf("%s %s %s of %s to %s at %s: status %d, outcome %q, reason %q, sent %s, took %s, %s",
		r.verdict, r.call.kind, r.call.id, r.call.customer, r.call.service, r.call.address, r.status, r.outcome,
		r.reason, r.sent.Format("15:04:05.000"), r.ended.Sub(r.sent), r.detail)
}

// judgeError turns a failed exchange into a verdict.
func judgeError(err error) Verdict {
	var broken *net.OpError
	var late net.Error
	switch {
	case errors.As(err, &broken) && broken.Op == "dial":
		return VerdictUnreached
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &late) && late.Timeout():
		return VerdictLost
	default:
		return VerdictCut
	}
}

// judgeAnswer completes a result whose status and headers arrived together with
// the whole body; sum and length are those of the request's body.
func judgeAnswer(r Result, body []byte, sum string, length int64) Result {
	switch {
	case r.outcome == basillift.OutcomeNotRun:
		r.verdict = VerdictRefused
		return r
	case r.outcome == basillift.OutcomeUnknown:
		r.verdict = VerdictUnknown
		return r
	case r.status != http.StatusOK:
		r.verdict = VerdictLost
		r.detail = "status without an outcome"
		return r
	}
	answer, err := labtarget.DecodeResponse(body, r.call.id)
	if err != nil {
		r.verdict = VerdictWrong
		r.detail = err.Error()
		return r
	}
	r.target, r.run = answer.Target(), answer.RunCount()
	if answer.Checksum() != sum || answer.BytesRead() != length {
		r.verdict = VerdictWrong
		r.detail = "the target read another request body"
		return r
	}
	r.verdict = VerdictAnswered
	return r
}
