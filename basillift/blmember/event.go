package blmember

import (
	"basillift.dev/basillift"
)

// AssertionKind names what is claimed of one incarnation of a member.
type AssertionKind string

// The kinds of claims.
const (
	AssertionSuspect     AssertionKind = "suspect"
	AssertionDead        AssertionKind = "dead"
	AssertionLeaving     AssertionKind = "leaving"
	AssertionStaying     AssertionKind = "staying"
	AssertionDropped     AssertionKind = "dropped"
	AssertionPartitioned AssertionKind = "cut"
	AssertionRejoined    AssertionKind = "rejoined"
)

// Assertion is what a daemon says of another member's incarnation. Of a failure domain it
// says that the domain is cut off or back, and carries no VM id.
type Assertion struct {
	kind        AssertionKind
	id          basillift.VMID
	domain      basillift.FailureDomain
	incarnation uint64
	revision    uint64
}

// NewAssertion returns a claim about one incarnation of a member. The revision orders the
// claims that come from the platform's VM list and is 0 for others.
func NewAssertion(k AssertionKind, id basillift.VMID, incarnation, revision uint64) Assertion {
	return Assertion{kind: k, id: id, incarnation: incarnation, revision: revision}
}

// NewDomainAssertion returns a claim about a failure domain. The revision is the time of the
// observation in Unix milliseconds; a higher one replaces a lower one.
func NewDomainAssertion(k AssertionKind, fd basillift.FailureDomain, revision uint64) Assertion {
	return Assertion{kind: k, domain: fd, revision: revision}
}

// Kind names what is claimed.
func (c Assertion) Kind() AssertionKind { return c.kind }

// ID is the member concerned; empty for a claim about a failure domain.
func (c Assertion) ID() basillift.VMID { return c.id }

// Domain is the failure domain concerned; empty for a claim about a member.
func (c Assertion) Domain() basillift.FailureDomain { return c.domain }

// Incarnation is the incarnation concerned.
func (c Assertion) Incarnation() uint64 { return c.incarnation }

// Revision orders claims of the same origin.
func (c Assertion) Revision() uint64 { return c.revision }

// Listed is one entry of the platform's VM list.
type Listed struct {
	id      basillift.VMID
	leaving bool
}

// NewListed returns an entry of the platform's VM list.
func NewListed(id basillift.VMID, leaving bool) Listed { return Listed{id: id, leaving: leaving} }

// Digests holds one digest of the live records for each failure domain.
type Digests map[basillift.FailureDomain]uint64

type eventKind string

const (
	eventTick      eventKind = "tick"
	eventReceived  eventKind = "received"
	eventExchanged eventKind = "exchanged"
	eventAnswered  eventKind = "answered"
	eventFailed    eventKind = "failed"
	eventIndirect  eventKind = "indirect"
	eventContacted eventKind = "contacted"
	eventListed    eventKind = "listed"
	eventState     eventKind = "state"
	eventChecked   eventKind = "checked"
	eventLost      eventKind = "lost"
)

// Event is an observation.
type Event struct {
	kind     eventKind
	peer     basillift.VMID
	records  []basillift.Member
	claims   []Assertion
	digests  Digests
	ok       bool
	state    basillift.TargetState
	listed   []Listed
	revision uint64
}

// Tick says that time passed. The caller sends one every 500 ms.
func Tick() Event { return Event{kind: eventTick} }

// Received says that a peer sent records and claims, which are passed on when they are new.
func Received(peer basillift.VMID, records []basillift.Member, claims []Assertion) Event {
	return Event{kind: eventReceived, peer: peer, records: records, claims: claims}
}

// Exchanged says that a peer answered an exchange with its records and claims.
func Exchanged(peer basillift.VMID, records []basillift.Member, claims []Assertion) Event {
	return Event{kind: eventExchanged, peer: peer, records: records, claims: claims}
}

// ProbeAnswered says that a peer answered a probe with its record digests.
func ProbeAnswered(peer basillift.VMID, d Digests) Event {
	return Event{kind: eventAnswered, peer: peer, digests: d}
}

// ProbeFailed says that a peer did not answer a probe in time.
func ProbeFailed(peer basillift.VMID) Event { return Event{kind: eventFailed, peer: peer} }

// IndirectAnswered says whether another member reached the peer.
func IndirectAnswered(peer basillift.VMID, reached bool) Event {
	return Event{kind: eventIndirect, peer: peer, ok: reached}
}

// Contacted says that a peer sent a probe, so that it can at least send.
func Contacted(peer basillift.VMID) Event { return Event{kind: eventContacted, peer: peer} }

// Disconnected says that the last connection to a peer broke. A process that dies breaks
// its connections at once, so a probed peer is probed again without waiting for its turn.
func Disconnected(peer basillift.VMID) Event { return Event{kind: eventLost, peer: peer} }

// VMsListed says what the platform's VM list holds at a revision.
func VMsListed(list []Listed, revision uint64) Event {
	return Event{kind: eventListed, listed: list, revision: revision}
}

// TargetChanged says that the daemon's own target has another state.
func TargetChanged(s basillift.TargetState) Event { return Event{kind: eventState, state: s} }

// HealthChecked says that the daemon checked its own target after a pause.
func HealthChecked() Event { return Event{kind: eventChecked} }

// ActionKind names what to do.
type ActionKind string

// The kinds of actions.
const (
	// ActionProbe asks the peer for its version and digests, with a deadline of 1 s.
	ActionProbe ActionKind = "probe"
	// ActionIndirect asks Via to probe Peer.
	ActionIndirect ActionKind = "indirect"
	// ActionFlood sends Records and Claims along all links but Peer.
	ActionFlood ActionKind = "flood"
	// ActionExchange exchanges the records of Domain with Peer.
	ActionExchange ActionKind = "exchange"
	// ActionReport records a timeline event about Peer.
	ActionReport ActionKind = "report"
	// ActionPaused says that the process was paused.
	ActionPaused ActionKind = "paused"
)

// Action is one thing to do.
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

// Kind names what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Peer is the member to probe or to exchange with, the sender to leave out of a flood,
// or the member that an event is about.
func (a Action) Peer() basillift.VMID { return a.peer }

// Via is the member that is asked for an indirect probe.
func (a Action) Via() basillift.VMID { return a.via }

// Domain is the failure domain whose records are exchanged.
func (a Action) Domain() basillift.FailureDomain { return a.domain }

// Records are the records to flood.
func (a Action) Records() []basillift.Member { return a.records }

// Assertions are the claims to flood.
func (a Action) Assertions() []Assertion { return a.assertions }

// Report is the kind of the timeline event.
func (a Action) Report() basillift.EventKind { return a.report }

// State is the target state that the timeline event carries.
func (a Action) State() basillift.TargetState { return a.state }

// Detail is a text for the timeline event.
func (a Action) Detail() string { return a.detail }
