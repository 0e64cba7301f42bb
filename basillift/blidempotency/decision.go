package blidempotency

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

// maxReplyAge is how long after the claims were sent a call may still start on their
// grants.
const maxReplyAge = 10 * time.Second

// Reply is an owner's reply to a claim, as the claimer received it.
type Reply struct {
	owner basillift.VMID
	grant Grant
}

// NewReply returns a reply of an owner.
func NewReply(owner basillift.VMID, g Grant) Reply { return Reply{owner: owner, grant: g} }

// Owner is the VM of the owner that replied.
func (r Reply) Owner() basillift.VMID { return r.owner }

// Grant is the owner's answer to the claim.
func (r Reply) Grant() Grant { return r.grant }

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of decisions: run the call, return the stored answer, refuse the call as
// a duplicate of a running one, refuse it as not run, or answer that the outcome is
// unknown.
const (
	DecisionRun      DecisionKind = "run"
	DecisionReplay   DecisionKind = "repeat"
	DecisionConflict DecisionKind = "conflict"
	DecisionNotRun   DecisionKind = "not-run"
	DecisionUnknown  DecisionKind = "unknown"
)

// Decision tells the claimer what to do with the call.
type Decision struct {
	kind   DecisionKind
	answer Answer
	reason basillift.Reason
}

// Kind is the action that the claimer has to take.
func (d Decision) Kind() DecisionKind { return d.kind }

// Answer is the stored answer to return. It is empty for all kinds other than
// DecisionReplay.
func (d Decision) Answer() Answer { return d.answer }

// Reason is why the call may not run, or ReasonNone for DecisionRun and
// DecisionReplay.
func (d Decision) Reason() basillift.Reason { return d.reason }

// Decide evaluates the replies to the claims that were sent at claimedAt. Call it
// after each reply, and a last time when no more replies are expected: until then only
// DecisionRun and DecisionReplay are final.
//
// A stored answer has priority. A call that may have run comes before a quorum, in
// case the owner sets changed in a way that the OwnerSelector did not observe. If
// owners are cold or don't reply, an earlier request with the key may have run.
func Decide(now, claimedAt time.Time, o OwnerSets, replies []Reply) Decision {
	if r, known := earlierResult(replies); known {
		return r
	}
	if o.hasQuorum(replies, GrantGiven) {
		if now.Sub(claimedAt) > maxReplyAge {
			return Decision{kind: DecisionNotRun, reason: basillift.ReasonDeadline}
		}
		return Decision{kind: DecisionRun}
	}
	for _, r := range replies {
		if r.grant.kind == GrantRunning {
			return Decision{kind: DecisionConflict, reason: basillift.ReasonDuplicate}
		}
	}
	if o.hasQuorum(replies, GrantGiven, GrantFull) {
		return Decision{kind: DecisionNotRun, reason: basillift.ReasonOverload}
	}
	return Decision{kind: DecisionUnknown, reason: basillift.ReasonKeyUnknown}
}

// earlierResult returns the decision that follows from an earlier request with the
// key, and whether there may have been one.
func earlierResult(replies []Reply) (Decision, bool) {
	mayHaveRun := false
	for _, r := range replies {
		switch r.grant.kind {
		case GrantAnswered:
			return Decision{kind: DecisionReplay, answer: r.grant.answer}, true
		case GrantUnknown, GrantOld:
			mayHaveRun = true
		}
	}
	return Decision{kind: DecisionUnknown, reason: basillift.ReasonKeyUnknown}, mayHaveRun
}

// OwnerSets are the sets of owners of a key. A claim needs a quorum in each of them.
// There is one set, or several while members are in transition.
type OwnerSets struct {
	sets [][]basillift.VMID
}

// All returns the owners of all sets without duplicates.
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

// hasQuorum reports whether 2 owners of each set sent a reply of one of the kinds. A
// set of one member never has a quorum: otherwise a daemon that starts while it is
// partitioned from all others would grant keys to itself.
func (o OwnerSets) hasQuorum(replies []Reply, kinds ...GrantKind) bool {
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

// replied reports whether the owner's latest reply has one of the kinds.
func replied(replies []Reply, owner basillift.VMID, kinds []GrantKind) bool {
	for i := len(replies) - 1; i >= 0; i-- {
		if replies[i].owner == owner {
			return slices.Contains(kinds, replies[i].grant.kind)
		}
	}
	return false
}
