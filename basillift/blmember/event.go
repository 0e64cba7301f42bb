package blmember

import (
	"basillift.dev/basillift"
)

// AssertionKind is the kind of an assertion about a member's incarnation or a failure domain.
type AssertionKind string

// The kinds of assertions. Partitioned and rejoined are about a failure domain, all others
// about a member.
const (
	AssertionSuspect     AssertionKind = "suspect"
	AssertionDead        AssertionKind = "dead"
	AssertionLeaving     AssertionKind = "leaving"
	AssertionStaying     AssertionKind = "staying"
	AssertionDropped     AssertionKind = "dropped"
	AssertionPartitioned AssertionKind = "cut"
	AssertionRejoined    AssertionKind = "rejoined"
)

// Assertion is a statement of a daemon about one incarnation of another member. An
// assertion about a failure domain states that the domain is partitioned or reachable
// again, and has no VM id.
type Assertion struct {
	kind        AssertionKind
	id          basillift.VMID
	domain      basillift.FailureDomain
	incarnation uint64
	revision    uint64
}

// NewAssertion returns an assertion about one incarnation of a member. The revision orders
// the assertions that come from the platform's VM list and is 0 for all others.
func NewAssertion(k AssertionKind, id basillift.VMID, incarnation, revision uint64) Assertion {
	return Assertion{kind: k, id: id, incarnation: incarnation, revision: revision}
}

// NewDomainAssertion returns an assertion about a failure domain. The revision is the time
// of the observation in Unix milliseconds; a higher one replaces a lower one.
func NewDomainAssertion(k AssertionKind, fd basillift.FailureDomain, revision uint64) Assertion {
	return Assertion{kind: k, domain: fd, revision: revision}
}

// Kind returns the kind of the assertion.
func (a Assertion) Kind() AssertionKind { return a.kind }

// ID is the subject's VM id; empty for an assertion about a failure domain.
func (a Assertion) ID() basillift.VMID { return a.id }

// Domain is the subject's failure domain; empty for an assertion about a member.
func (a Assertion) Domain() basillift.FailureDomain { return a.domain }

// Incarnation is the member's incarnation; 0 for an assertion about a failure domain.
func (a Assertion) Incarnation() uint64 { return a.incarnation }

// Revision orders assertions of the same origin; a higher one replaces a lower one.
func (a Assertion) Revision() uint64 { return a.revision }

// ListedVM is an entry of the platform's VM list.
type ListedVM struct {
	id      basillift.VMID
	leaving bool
}

// NewListedVM returns an entry of the platform's VM list; leaving marks a VM that the
// platform reports as leaving.
func NewListedVM(id basillift.VMID, leaving bool) ListedVM { return ListedVM{id: id, leaving: leaving} }

// Digests maps each failure domain to the digest of its live records.
type Digests map[basillift.FailureDomain]uint64

type eventKind string

const (
	eventTick             eventKind = "tick"
	eventReceived         eventKind = "received"
	eventExchanged        eventKind = "exchanged"
	eventProbeAnswered    eventKind = "answered"
	eventProbeFailed      eventKind = "failed"
	eventIndirectAnswered eventKind = "indirect"
	eventContacted        eventKind = "contacted"
	eventVMsListed        eventKind = "listed"
	eventTargetChanged    eventKind = "state"
	eventHealthChecked    eventKind = "checked"
	eventDisconnected     eventKind = "lost"
)

// Event is an input of State.Apply.
type Event struct {
	kind       eventKind
	peer       basillift.VMID
	records    []basillift.Member
	assertions []Assertion
	digests    Digests
	reached    bool
	state      basillift.TargetState
	listed     []ListedVM
	revision   uint64
}

// Tick returns the timer event. The caller sends one every 500 ms.
func Tick() Event { return Event{kind: eventTick} }

// Received reports records and assertions that a peer sent. New ones are forwarded.
func Received(peer basillift.VMID, records []basillift.Member, assertions []Assertion) Event {
	return Event{kind: eventReceived, peer: peer, records: records, assertions: assertions}
}

// Exchanged reports the records and assertions with which a peer answered an exchange.
func Exchanged(peer basillift.VMID, records []basillift.Member, assertions []Assertion) Event {
	return Event{kind: eventExchanged, peer: peer, records: records, assertions: assertions}
}

// ProbeAnswered reports that a peer answered a probe with its record digests.
func ProbeAnswered(peer basillift.VMID, d Digests) Event {
	return Event{kind: eventProbeAnswered, peer: peer, digests: d}
}

// ProbeFailed reports that a peer did not answer a probe before the deadline.
func ProbeFailed(peer basillift.VMID) Event { return Event{kind: eventProbeFailed, peer: peer} }

// IndirectAnswered reports the result of an indirect probe: whether another member reached
// the peer.
func IndirectAnswered(peer basillift.VMID, reached bool) Event {
	return Event{kind: eventIndirectAnswered, peer: peer, reached: reached}
}

// Contacted reports that a peer sent a probe. It shows that the peer can send, not that it
// can receive.
func Contacted(peer basillift.VMID) Event { return Event{kind: eventContacted, peer: peer} }

// Disconnected reports that the last connection to a peer was closed. The connections of a
// process that ends close immediately, so a peer that this daemon probes is probed at
// once instead of at the next interval.
func Disconnected(peer basillift.VMID) Event { return Event{kind: eventDisconnected, peer: peer} }

// VMsListed reports the content of the platform's VM list at a revision.
func VMsListed(list []ListedVM, revision uint64) Event {
	return Event{kind: eventVMsListed, listed: list, revision: revision}
}

// TargetChanged reports a new state of the daemon's own target.
func TargetChanged(s basillift.TargetState) Event { return Event{kind: eventTargetChanged, state: s} }

// HealthChecked reports that the daemon checked its own target after a pause.
func HealthChecked() Event { return Event{kind: eventHealthChecked} }

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	// ActionProbe requests the version and the digests of Peer, with a deadline of 1 s.
	ActionProbe ActionKind = "probe"
	// ActionIndirect asks Via to probe Peer.
	ActionIndirect ActionKind = "indirect"
	// ActionFlood sends Records and Assertions over all links except the one to Peer.
	ActionFlood ActionKind = "flood"
	// ActionExchange exchanges the records of Domain with Peer.
	ActionExchange ActionKind = "exchange"
	// ActionReport records a timeline event about Peer.
	ActionReport ActionKind = "report"
	// ActionPaused reports that the process was paused; Detail is the duration.
	ActionPaused ActionKind = "paused"
)

// Action is an instruction to the caller of State.Apply. Which fields are set depends on its
// kind.
type Action struct {
	kind       ActionKind
	peer       basillift.VMID
	via        basillift.VMID
	domain     basillift.FailureDomain
	records    []basillift.Member
	assertions []Assertion
	report     basillift.EventKind
	state      basillift.TargetState
	detail     string
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Peer is the member to probe or to exchange records with, the sender to skip when
// flooding, or the subject of a timeline event.
func (a Action) Peer() basillift.VMID { return a.peer }

// Via is the member that performs an indirect probe.
func (a Action) Via() basillift.VMID { return a.via }

// Domain is the failure domain whose records are exchanged.
func (a Action) Domain() basillift.FailureDomain { return a.domain }

// Records are the records to flood.
func (a Action) Records() []basillift.Member { return a.records }

// Assertions are the assertions to flood.
func (a Action) Assertions() []Assertion { return a.assertions }

// Report is the kind of the timeline event.
func (a Action) Report() basillift.EventKind { return a.report }

// State is the target state that the timeline event carries.
func (a Action) State() basillift.TargetState { return a.state }

// Detail is the text of the timeline event, or the duration of a pause.
func (a Action) Detail() string { return a.detail }
