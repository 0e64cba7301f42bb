package blrelay

import (
	"time"

	"basillift.dev/basillift"
)

// Cause says why a daemon fetches; fetches that a probe or a call starts count as repair.
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
	eventArranged  eventKind = "arranged"
	eventHeard     eventKind = "heard"
	eventPushed    eventKind = "pushed"
	eventAdopted   eventKind = "adopted"
	eventRejected  eventKind = "rejected"
	eventFailed    eventKind = "failed"
	eventLost      eventKind = "lost"
	eventFetched   eventKind = "fetched"
	eventRequested eventKind = "requested"
	eventTick      eventKind = "tick"
)

// Event is an observation.
type Event struct {
	kind    eventKind
	peer    basillift.VMID
	from    basillift.Version
	version basillift.Version
	cause   Cause
	retry   time.Duration
	order   *Order
}

// Arranged says that the membership gives a new order.
func Arranged(o *Order) Event { return Event{kind: eventArranged, order: o} }

// Heard says that a peer holds a version.
func Heard(peer basillift.VMID, v basillift.Version, c Cause) Event {
	return Event{kind: eventHeard, peer: peer, version: v, cause: c}
}

// Pushed says that a peer sent a delta between two versions.
func Pushed(peer basillift.VMID, from, to basillift.Version) Event {
	return Event{kind: eventPushed, peer: peer, from: from, version: to}
}

// Adopted says that a version is in force now. The peer is empty for a version read from the platform.
func Adopted(peer basillift.VMID, v basillift.Version) Event {
	return Event{kind: eventAdopted, peer: peer, version: v}
}

// Rejected says that what a peer sent did not give the digest that it named.
func Rejected(peer basillift.VMID, v basillift.Version) Event {
	return Event{kind: eventRejected, peer: peer, version: v}
}

// FetchFailed says that a fetch gave nothing. A retry of 0 means that the peer did not
// answer; otherwise it asked to be left alone for that long.
func FetchFailed(peer basillift.VMID, retry time.Duration) Event {
	return Event{kind: eventFailed, peer: peer, retry: retry}
}

// Fetched says that a fetch ended and what it gave was offered.
func Fetched(peer basillift.VMID) Event { return Event{kind: eventFetched, peer: peer} }

// Lost says that the connection to a peer broke, so that what was sent last may not have arrived.
func Lost(peer basillift.VMID) Event { return Event{kind: eventLost, peer: peer} }

// Requested says that a peer asked for everything newer than a version.
func Requested(peer basillift.VMID, have basillift.Version) Event {
	return Event{kind: eventRequested, peer: peer, version: have}
}

// Tick says that time passed.
func Tick() Event { return Event{kind: eventTick} }

// ActionKind names what to do.
type ActionKind string

// The kinds of actions.
const (
	ActionPush     ActionKind = "push"
	ActionAnnounce ActionKind = "announce"
	ActionFetch    ActionKind = "fetch"
	ActionApply    ActionKind = "apply"
)

// Action is one thing to do.
type Action struct {
	kind    ActionKind
	peer    basillift.VMID
	from    basillift.Version
	version basillift.Version
	full    bool
	cause   Cause
}

// Kind names what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Peer is the peer to send to or to fetch from.
func (a Action) Peer() basillift.VMID { return a.peer }

// From is the version that the peer is believed to hold.
func (a Action) From() basillift.Version { return a.from }

// Version is the version to send or to fetch.
func (a Action) Version() basillift.Version { return a.version }

// Full reports whether the fetch must give a full snapshot, because a delta did not match its digest.
func (a Action) Full() bool { return a.full }

// Cause is why the daemon fetches.
func (a Action) Cause() Cause { return a.cause }

// FetchAll returns the action that fetches the whole version of a peer, to settle a
// conflict between two contents of the version in force.
func FetchAll(peer basillift.VMID) Action {
	return Action{kind: ActionFetch, peer: peer, full: true, cause: CauseProbe}
}
