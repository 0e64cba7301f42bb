package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

// Request asks a Queue for a slot.
type Request struct {
	id       uint64
	customer string
	class    basillift.Class
	deadline time.Time
}

// NewRequest returns a request. The id must be unique among the requests in the queue. The
// value of the Basillift-Call header is not, since both copies of a hedged call carry it.
func NewRequest(id uint64, customer string, class basillift.Class, deadline time.Time) Request {
	return Request{id: id, customer: customer, class: class, deadline: deadline}
}

// ID is the id that was passed to NewRequest.
func (r Request) ID() uint64 { return r.id }

// Customer is the name of the customer that the request counts for.
func (r Request) Customer() string { return r.customer }

// ActionKind says whether a request has to be run or refused.
type ActionKind string

// The kinds of actions. After ActionRun, Finish must follow.
const (
	ActionRun    ActionKind = "run"
	ActionRefuse ActionKind = "refuse"
)

// Action is the queue's decision on one request.
type Action struct {
	kind       ActionKind
	id         uint64
	reason     basillift.Reason
	waited     time.Duration
	retryAfter time.Duration
}

// Kind says whether to run or to refuse the request.
func (a Action) Kind() ActionKind { return a.kind }

// ID is the id of the request.
func (a Action) ID() uint64 { return a.id }

// Reason is the reason of a refusal. The outcome of a refused request is always "not run".
func (a Action) Reason() basillift.Reason { return a.reason }

// Waited is how long the request was queued.
func (a Action) Waited() time.Duration { return a.waited }

// RetryAfter is the expected queueing delay, for the Retry-After header of a refusal.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// QueueSettings holds the bounds of a Queue.
type QueueSettings struct {
	slots       int
	connections int
	length      int
}

// NewQueueSettings returns the limits of one target: concurrent requests, connections and
// waiting requests. Each limit is at least 1. Each running request occupies one connection.
func NewQueueSettings(slots, connections, length int) QueueSettings {
	return QueueSettings{slots: max(1, slots), connections: max(1, connections), length: max(1, length)}
}

// Slots is the maximum number of concurrent requests, which connections limit too.
func (s QueueSettings) Slots() int { return min(s.slots, s.connections) }

// Length is the maximum number of waiting requests.
func (s QueueSettings) Length() int { return s.length }
