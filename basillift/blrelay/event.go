package blrelay

import (
	"time"

	"basillift.dev/basillift"
)

// Cause is the reason of a fetch. Fetches due to a probe or a call count as repair.
type Cause string

// The causes of a fetch.
const (
	CauseAnnounce Cause = "announce"
	CausePush     Cause = "push"
	CauseProbe    Cause = "probe"
	CauseCall     Cause = "call"
	CauseJoin     Cause = "join"
)

type eventKind string

const (
	eventOrderChanged    eventKind = "arranged"
	eventVersionObserved eventKind = "heard"
	eventPushed          eventKind = "pushed"
	eventAdopted         eventKind = "adopted"
	eventRejected        eventKind = "rejected"
	eventFetchFailed     eventKind = "failed"
	eventDisconnected    eventKind = "lost"
	eventFetched         eventKind = "fetched"
	eventRequested       eventKind = "requested"
	eventTick            eventKind = "tick"
)

// Event is an input of State.Apply.
type Event struct {
	kind       eventKind
	peer       basillift.VMID
	from       basillift.Version
	version    basillift.Version
	cause      Cause
	retryAfter time.Duration
	order      *Order
}

// OrderChanged reports a new order of the members.
func OrderChanged(o *Order) Event { return Event{kind: eventOrderChanged, order: o} }

// VersionObserved reports that a peer holds a version, and through which message it was learned.
func VersionObserved(peer basillift.VMID, v basillift.Version, c Cause) Event {
	return Event{kind: eventVersionObserved, peer: peer, version: v, cause: c}
}

// Pushed reports that a peer sent a delta between two versions.
func Pushed(peer basillift.VMID, from, to basillift.Version) Event {
	return Event{kind: eventPushed, peer: peer, from: from, version: to}
}

// Adopted reports that a version is now in force. The peer is empty for a version that was
// read from the platform.
func Adopted(peer basillift.VMID, v basillift.Version) Event {
	return Event{kind: eventAdopted, peer: peer, version: v}
}

// Rejected reports that the content sent by a peer does not match its digest. The next fetch
// requests a full snapshot.
func Rejected(peer basillift.VMID, v basillift.Version) Event {
	return Event{kind: eventRejected, peer: peer, version: v}
}

// FetchFailed reports that a fetch returned no content. A retryAfter of 0 means that the peer
// did not answer; otherwise the peer asked for no further fetch during that time.
func FetchFailed(peer basillift.VMID, retryAfter time.Duration) Event {
	return Event{kind: eventFetchFailed, peer: peer, retryAfter: retryAfter}
}

// Fetched reports that a fetch ended and its content was offered for adoption.
func Fetched(peer basillift.VMID) Event { return Event{kind: eventFetched, peer: peer} }

// Disconnected reports that the connection to a peer was closed. The last messages to it may
// not have arrived, so the version that the peer holds is unknown.
func Disconnected(peer basillift.VMID) Event { return Event{kind: eventDisconnected, peer: peer} }

// Requested reports that a peer requested all changes since a version.
func Requested(peer basillift.VMID, have basillift.Version) Event {
	return Event{kind: eventRequested, peer: peer, version: have}
}

// Tick returns the timer event, which starts a fetch when one is due.
func Tick() Event { return Event{kind: eventTick} }

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	ActionPush     ActionKind = "push"
	ActionAnnounce ActionKind = "announce"
	ActionFetch    ActionKind = "fetch"
	ActionApply    ActionKind = "apply"
)

// Action is an instruction to the caller of State.Apply. Which fields are set depends on its
// kind.
type Action struct {
	kind    ActionKind
	peer    basillift.VMID
	from    basillift.Version
	version basillift.Version
	full    bool
	cause   Cause
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Peer is the peer to send to or to fetch from.
func (a Action) Peer() basillift.VMID { return a.peer }

// From is the version that a delta starts from: for a push the version that the peer is
// assumed to hold, for a fetch the version that this daemon holds.
func (a Action) From() basillift.Version { return a.from }

// Version is the version to send or to fetch.
func (a Action) Version() basillift.Version { return a.version }

// Full reports whether to fetch a full snapshot, because a delta did not match its digest.
func (a Action) Full() bool { return a.full }

// Cause is the reason of a fetch.
func (a Action) Cause() Cause { return a.cause }

// FetchFull returns the action that fetches a full snapshot from a peer. It resolves a
// conflict between two contents of the version in force.
func FetchFull(peer basillift.VMID) Action {
	return Action{kind: ActionFetch, peer: peer, full: true, cause: CauseProbe}
}
