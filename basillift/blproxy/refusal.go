package blproxy

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// refusal is a response that the daemon sends instead of one from the target.
type refusal struct {
	status     int
	outcome    basillift.Outcome
	reason     basillift.Reason
	retryAfter time.Duration
	message    string
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome basillift.Outcome `json:"outcome"`
	Reason  basillift.Reason  `json:"reason"`
	Message string            `json:"message"`
}

// defaultRetryAfter is the Retry-After value when no better estimate is known.
const defaultRetryAfter = time.Second

// refuse returns the refusal for a reason. The message describes the cause in one sentence.
func refuse(outcome basillift.Outcome, reason basillift.Reason, message string) *refusal {
	r := &refusal{status: statusOf(outcome, reason), outcome: outcome, reason: reason, message: message}
	if r.status == fasthttp.StatusTooManyRequests || r.status == fasthttp.StatusServiceUnavailable {
		r.retryAfter = defaultRetryAfter
	}
	return r
}

// statusOf returns the HTTP status of a refusal. An unknown outcome is a 502 unless the deadline
// passed.
func statusOf(outcome basillift.Outcome, reason basillift.Reason) int {
	switch reason {
	case basillift.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case basillift.ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case basillift.ReasonCustomer:
		return fasthttp.StatusUnauthorized
	case basillift.ReasonPlan:
		return fasthttp.StatusForbidden
	case basillift.ReasonService:
		return fasthttp.StatusNotFound
	case basillift.ReasonDepth:
		return fasthttp.StatusLoopDetected
	case basillift.ReasonDuplicate, basillift.ReasonKeyUnknown:
		return fasthttp.StatusConflict
	case basillift.ReasonRate, basillift.ReasonConcurrency:
		return fasthttp.StatusTooManyRequests
	}
	if outcome == basillift.OutcomeUnknown {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

// write replaces the content of the response with the refusal.
func (r *refusal) write(response *fasthttp.Response) {
	response.Reset()
	response.SetStatusCode(r.status)
	response.Header.SetContentType("application/json")
	response.Header.Set(HeaderOutcome, string(r.outcome))
	response.Header.Set(HeaderReason, string(r.reason))
	if r.retryAfter > 0 {
		seconds := int((r.retryAfter + time.Second - 1) / time.Second)
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusalBody{Outcome: r.outcome, Reason: r.reason, Message: r.message})
	if err == nil {
		response.SetBodyRaw(body)
	}
}
