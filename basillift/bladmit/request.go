package bladmit

import (
	"time"

	"basillift.dev/basillift"
)

// Request is a call that asks for a slot.
type Request struct {
	id       uint64
	customer string
	class    basillift.Class
	deadline time.Time
}

// NewRequest returns a request. The owner chooses an id that no other request in
// the queue has; the call id won't do, since a hedge carries the same one.
func NewRequest(id uint64, customer string, class basillift.Class, deadline time.Time) Request {
	return Request{id: id, customer: customer, class: class, deadline: deadline}
}

// ID is the owner's number of the request.
func (r Request) ID() uint64 { return r.id }

// Customer is whose call it is.
func (r Request) Customer() string { return r.customer }

// ActionKind says what the owner has to do with a request.
type ActionKind string

// The kinds of actions.
const (
	ActionRun    ActionKind = "run"
	ActionRefuse ActionKind = "refuse"
)

// Action tells the owner what to do with one request.
type Action struct {
	kind       ActionKind
	id         uint64
	reason     basillift.Reason
	waited     time.Duration
	retryAfter time.Duration
}

// Kind says whether to run or to refuse the request.
func (a Action) Kind() ActionKind { return a.kind }

// ID is the request's number.
func (a Action) ID() uint64 { return a.id }

// Reason is why a request is refused. The outcome is always "not run".
func (a Action) Reason() basillift.Reason { return a.reason }

// Waited is how long the request was queued.
func (a Action) Waited() time.Duration { return a.waited }

// RetryAfter is the expected queueing delay, for the header of a refusal.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// Settings bounds a Queue.
type Settings struct {
	slots       int
	connections int
	length      int
}

// NewSettings returns the limits of one target: calls at once, connections, and
// waiting calls. Each running call holds one connection.
func NewSettings(slots, connections, length int) Settings {
	return Settings{slots: max(1, slots), connections: max(1, connections), length: max(1, length)}
}

// Slots is how many calls run at once.
func (s Settings) Slots() int { return min(s.slots, s.connections) }

// Length is how many calls may wait.
func (s Settings) Length() int { return s.length }
