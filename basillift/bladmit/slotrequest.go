package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

// SlotRequest asks a DeadlineQueue for a slot before a soft deadline.
type SlotRequest struct {
	id           uint64
	route        string
	rank         int
	softDeadline time.Time
	deadline     time.Time
	// latencyObjective is the total time within which the caller wants its answer.
	latencyObjective time.Duration
	nested           bool
	// startBy is when the request must have started whatever its deadline is; zero without such a time.
	startBy time.Time
	// late is set by the queue for a request that can no longer meet its soft deadline.
	late bool
	// lateAllowed is set for a request that may wait for a late place.
	lateAllowed bool
	// servedRatio is the share of its route's recent requests that were served, if servedRatioKnown is set.
	servedRatio      float64
	servedRatioKnown bool
}

// NewSlotRequest returns a slot request. Requests of one route are expected to have similar service times.
// A lower rank is better and goes first. The answer has its full value until softDeadline and none after deadline.
func NewSlotRequest(id uint64, route string, rank int, softDeadline, deadline time.Time) SlotRequest {
	return SlotRequest{id: id, route: route, rank: rank, softDeadline: softDeadline, deadline: deadline}
}

// ID returns the id that tells the request from others of its queue.
func (r SlotRequest) ID() uint64 { return r.id }

// WithLatencyObjective sets the total time within which the caller wants its answer. The time until the soft
// deadline is what remains of it.
func (r SlotRequest) WithLatencyObjective(d time.Duration) SlotRequest {
	r.latencyObjective = d
	return r
}

// WithNested marks a nested call: a request that a target makes while it runs another one. It precedes all other
// requests of its rank and may wait as long as its answer can arrive before its deadline.
func (r SlotRequest) WithNested(nested bool) SlotRequest {
	r.nested = nested
	return r
}

// WithAnswerBy lowers the deadline to a time by which the caller's daemon needs the answer. The zero time changes nothing.
func (r SlotRequest) WithAnswerBy(t time.Time) SlotRequest {
	if !t.IsZero() && t.Before(r.deadline) {
		r.deadline = t
	}
	return r
}

// WithStartBy sets a time after which the request must not start any more, earlier than the one that was set. The zero time
// changes nothing.
func (r SlotRequest) WithStartBy(t time.Time) SlotRequest {
	if !t.IsZero() && (r.startBy.IsZero() || t.Before(r.startBy)) {
		r.startBy = t
	}
	return r
}

// WithLateAllowed allows the request to wait beyond its soft deadline, behind all requests that are in time, as long as it is
// expected to end before its deadline. The caller's daemon allows it when no other target takes the request in time.
func (r SlotRequest) WithLateAllowed(allowed bool) SlotRequest {
	r.lateAllowed = allowed
	return r
}

// WithServedRatio sets the share, from 0 to 1, of the recent requests of its route that were served at the caller's daemon.
func (r SlotRequest) WithServedRatio(ratio float64) SlotRequest {
	r.servedRatio, r.servedRatioKnown = ratio, true
	return r
}

// hasObjective reports whether the caller wants its answer earlier than at its deadline.
func (r SlotRequest) hasObjective() bool {
	return r.latencyObjective > 0 && r.softDeadline.Before(r.deadline)
}

// AdmissionResult says what happens to a slot request on arrival.
type AdmissionResult string

// The admission results.
const (
	AdmissionRun    AdmissionResult = "run"
	AdmissionWait   AdmissionResult = "wait"
	AdmissionRefuse AdmissionResult = "refuse"
)

// AdmissionDecision is the decision of a DeadlineQueue on a slot request.
type AdmissionDecision struct {
	result     AdmissionResult
	reason     basillift.Reason
	waitUntil  time.Time
	retryAfter time.Duration
}

// Result says whether the request runs at once, waits or is refused.
func (a AdmissionDecision) Result() AdmissionResult { return a.result }

// Reason is the reason of a refusal, and ReasonNone otherwise.
func (a AdmissionDecision) Reason() basillift.Reason { return a.reason }

// WaitUntil is the time at which a request that still waits has to be withdrawn and refused.
func (a AdmissionDecision) WaitUntil() time.Time { return a.waitUntil }

// RetryAfter is the time after which the target is expected to have room for a refused request. It is 0 if the
// queue is closed.
func (a AdmissionDecision) RetryAfter() time.Duration { return a.retryAfter }
