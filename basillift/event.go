package basillift

import "time"

// EventKind is the kind of a timeline event.
type EventKind string

// The kinds of timeline events. docs/events.md describes each.
const (
	EventStarted         EventKind = "daemon.started"
	EventStopping        EventKind = "daemon.stopping"
	EventStopped         EventKind = "daemon.stopped"
	EventPaused          EventKind = "daemon.paused"
	EventVersionSeen     EventKind = "version.seen"
	EventVersionApplied  EventKind = "version.applied"
	EventVersionRefused  EventKind = "version.refused"
	EventVersionIgnored  EventKind = "version.ignored"
	EventReaderStarted   EventKind = "reader.started"
	EventReaderStopped   EventKind = "reader.stopped"
	EventMemberJoined    EventKind = "member.joined"
	EventMemberSuspected EventKind = "member.suspected"
	EventMemberDied      EventKind = "member.died"
	EventMemberReturned  EventKind = "member.returned"
	EventTargetState     EventKind = "target.state"
	EventCallAccepted    EventKind = "call.accepted"
	EventCallRouted      EventKind = "call.routed"
	EventCallAdmitted    EventKind = "call.admitted"
	EventCallStarted     EventKind = "call.started"
	EventCallEnded       EventKind = "call.ended"
	EventCallRefused     EventKind = "call.refused"
	EventCallAnswered    EventKind = "call.answered"
	EventCallTruncated   EventKind = "call.cut"
	EventAnswerInvalid   EventKind = "answer.invalid"
	EventKeyClaimed      EventKind = "key.claimed"
	EventKeySettled      EventKind = "key.settled"
	EventTargetCrashed   EventKind = "target.crashed"
	EventQuarantined     EventKind = "request.quarantined"
	EventNoticeOpened    EventKind = "notice.opened"
	EventNoticeClosed    EventKind = "notice.closed"
)

// Event is one entry of the timeline. Fields that do not apply are zero.
type Event struct {
	at          time.Time
	vm          VMID
	incarnation uint64
	sequence    uint64
	kind        EventKind
	version     Version
	digest      uint64
	call        string
	customer    string
	service     string
	method      string
	key         string
	target      VMID
	state       TargetState
	outcome     Outcome
	reason      Reason
	status      int
	detail      string
}

// NewEvent returns an event that happened at the given time.
func NewEvent(now time.Time, kind EventKind) Event { return Event{at: now, kind: kind} }

// At is the time of the event by the clock of its VM.
func (e Event) At() time.Time { return e.at }

// VM is the VM whose daemon recorded the event.
func (e Event) VM() VMID { return e.vm }

// Incarnation is the daemon's start time in Unix milliseconds.
func (e Event) Incarnation() uint64 { return e.incarnation }

// Sequence numbers the events of one incarnation from 1; a gap shows dropped events.
func (e Event) Sequence() uint64 { return e.sequence }

// Kind is one of the kinds that EventKinds lists.
func (e Event) Kind() EventKind { return e.kind }

// Version is the configuration version that the event is about, or that the caller's daemon applied to the call.
func (e Event) Version() Version { return e.version }

// Digest is the digest of the configuration with that Version; 0 if it is not known.
func (e Event) Digest() uint64 { return e.digest }

// Call is the id of the call. All attempts and forwardings of one caller's request have the same id.
func (e Event) Call() string { return e.call }

// Customer is the name of the customer to whom the call belongs.
func (e Event) Customer() string { return e.customer }

// Service is the name of the called service.
func (e Event) Service() string { return e.service }

// Method is the HTTP method of the call.
func (e Event) Method() string { return e.method }

// Key is the idempotency key of the call, the platform's key, or the id of an alert.
func (e Event) Key() string { return e.key }

// Target is the VM of the call's target, or the member or peer that the event is about.
func (e Event) Target() VMID { return e.target }

// State is the state of the target of the VM that Target names.
func (e Event) State() TargetState { return e.state }

// Outcome says whether the call ran, as far as is known.
func (e Event) Outcome() Outcome { return e.outcome }

// Reason is why a call was refused or failed.
func (e Event) Reason() Reason { return e.reason }

// Status is the HTTP status of the answer; for EventStopped the number of calls that were cut.
func (e Event) Status() int { return e.status }

// Detail is free text for a human.
func (e Event) Detail() string { return e.detail }

// WithOrigin returns a copy with the recording daemon, its incarnation and the event's sequence number.
func (e Event) WithOrigin(vm VMID, incarnation, sequence uint64) Event {
	e.vm, e.incarnation, e.sequence = vm, incarnation, sequence
	return e
}

// WithVersion returns a copy with a configuration version and its digest, 0 if the digest is not known.
func (e Event) WithVersion(v Version, digest uint64) Event {
	e.version, e.digest = v, digest
	return e
}

// WithCall returns a copy with the id, customer, service and HTTP method of a call.
func (e Event) WithCall(call, customer, service, method string) Event {
	e.call, e.customer, e.service, e.method = call, customer, service, method
	return e
}

// WithKey returns a copy with an idempotency key, a platform key or the id of an alert.
func (e Event) WithKey(key string) Event {
	e.key = key
	return e
}

// WithTarget returns a copy with the VM of a target, or with a member or peer.
func (e Event) WithTarget(target VMID) Event {
	e.target = target
	return e
}

// WithState returns a copy with a target state.
func (e Event) WithState(s TargetState) Event {
	e.state = s
	return e
}

// WithOutcome returns a copy with the outcome of a call, why it was refused or failed, and the HTTP status.
func (e Event) WithOutcome(o Outcome, r Reason, status int) Event {
	e.outcome, e.reason, e.status = o, r, status
	return e
}

// WithDetail returns a copy with free text for a human.
func (e Event) WithDetail(detail string) Event {
	e.detail = detail
	return e
}

// Recorder records events in the timeline. Record never blocks.
type Recorder interface {
	Record(e Event)
}
