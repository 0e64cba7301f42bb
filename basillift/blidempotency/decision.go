package blidempotency

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

// freshFor is how long after the claims were sent a call may still be started on them.
const freshFor = 10 * time.Second

// Reply is an owner's grant, as the claimer received it.
type Reply struct {
	owner basillift.VMID
	grant Grant
}

// NewReply returns a reply of an owner.
func NewReply(owner basillift.VMID, g Grant) Reply { return Reply{owner: owner, grant: g} }

// Owner is who replied.
func (r Reply) Owner() basillift.VMID { return r.owner }

// Grant is what it said.
func (r Reply) Grant() Grant { return r.grant }

// DecisionKind is what the claimer has to do with the call.
type DecisionKind string

// The kinds of rulings.
const (
	DecisionRun      DecisionKind = "run"
	DecisionRepeat   DecisionKind = "repeat"
	DecisionConflict DecisionKind = "conflict"
	DecisionNotRun   DecisionKind = "not-run"
	DecisionUnknown  DecisionKind = "unknown"
)

// Decision is what the claimer has to do with the call.
type Decision struct {
	kind   DecisionKind
	answer Answer
	reason basillift.Reason
}

// Kind is what to do.
func (r Decision) Kind() DecisionKind { return r.kind }

// Answer is the stored answer to repeat.
func (r Decision) Answer() Answer { return r.answer }

// Reason is why the call may not run.
func (r Decision) Reason() basillift.Reason { return r.reason }

// Decide judges the replies to claims sent at the time asked. Call it again
// with each further reply, and for the last time when no more are awaited: until
// then only DecisionRun and DecisionRepeat are final.
//
// A known answer goes first. A call that may have run goes before a quorum, in case the
// owner sets changed in a way that the OwnerSelector can't see. Missing and cold owners
// leave open whether an earlier request with the key ran.
func Decide(now, asked time.Time, o OwnerSets, replies []Reply) Decision {
	if r, known := earlier(replies); known {
		return r
	}
	if o.quorum(replies, GrantGiven) {
		if now.Sub(asked) > freshFor {
			return Decision{kind: DecisionNotRun, reason: basillift.ReasonDeadline}
		}
		return Decision{kind: DecisionRun}
	}
	for _, r := range replies {
		if r.grant.kind == GrantRunning {
			return Decision{kind: DecisionConflict, reason: basillift.ReasonDuplicate}
		}
	}
	if o.quorum(replies, GrantGiven, GrantFull) {
		return Decision{kind: DecisionNotRun, reason: basillift.ReasonOverload}
	}
	return Decision{kind: DecisionUnknown, reason: basillift.ReasonKeyUnknown}
}

// earlier reports what is known of an earlier request with the key.
func earlier(replies []Reply) (Decision, bool) {
	lost := false
	for _, r := range replies {
		switch r.grant.kind {
		case GrantAnswered:
			return Decision{kind: DecisionRepeat, answer: r.grant.answer}, true
		case GrantUnknown, GrantOld:
			lost = true
		}
	}
	return Decision{kind: DecisionUnknown, reason: basillift.ReasonKeyUnknown}, lost
}

// OwnerSets are the owners that a claim needs grants of: one set, or two while
// members join or leave the roster.
type OwnerSets struct {
	sets [][]basillift.VMID
}

// All returns the owners to ask, each once.
func (o OwnerSets) All() []basillift.VMID {
	var all []basillift.VMID
	for _, set := range o.sets {
		for _, id := range set {
			if !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	return all
}

// quorum reports whether each set has 2 owners with a reply of one of the kinds.
// A set of one member never has: a daemon that was started while cut off from all
// others would otherwise grant keys to itself.
func (o OwnerSets) quorum(replies []Reply, kinds ...GrantKind) bool {
	for _, set := range o.sets {
		count := 0
		for _, id := range set {
			if replied(replies, id, kinds) {
				count++
			}
		}
		if count < quorum {
			return false
		}
	}
	return len(o.sets) > 0
}

// replied reports whether the owner's latest reply is of one of the kinds.
func replied(replies []Reply, owner basillift.VMID, kinds []GrantKind) bool {
	for i := len(replies) - 1; i >= 0; i-- {
		if replies[i].owner == owner {
			return slices.Contains(kinds, replies[i].grant.kind)
		}
	}
	return false
}
