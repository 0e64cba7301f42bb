package blidempotency

import (
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

const (
	// jointFor is how long a change of the roster is joint. Members that believe
	// each other alive learn of a change well within this time.
	jointFor = 30 * time.Second
	// observeLimit is the longest time between two observations that counts as
	// seen without a break; a paused daemon sees nothing.
	observeLimit = 3 * time.Second
	// maxJoint bounds the joint members that matter for one key. All their subsets
	// need a quorum, 32 sets at most; a key with more is refused as unknown until
	// the changes have settled.
	maxJoint = 5
)

// OwnerSelector is one daemon's list of the members that own keys. Changes go through a
// joint phase; see the package comment. It is not safe for concurrent use.
type OwnerSelector struct {
	settled   map[basillift.VMID]bool
	joint     map[basillift.VMID]change
	observed  time.Time
	calmSince time.Time
}

// change is a member's joint phase: whether it joins or leaves, and since when.
type change struct {
	present bool
	since   time.Time
}

// NewOwnerSelector returns a selector that starts with the snapshot of a peer's. With none,
// the members of the first observation are settled at once.
func NewOwnerSelector(snapshot []basillift.VMID) *OwnerSelector {
	r := &OwnerSelector{settled: make(map[basillift.VMID]bool), joint: make(map[basillift.VMID]change)}
	for _, id := range snapshot {
		r.settled[id] = true
	}
	return r
}

// Snapshot returns the settled members, sorted.
func (r *OwnerSelector) Snapshot() []basillift.VMID {
	ids := make([]basillift.VMID, 0, len(r.settled))
	for id := range r.settled {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Observe takes the directory's members, dead ones included. Call it at least each
// second.
func (r *OwnerSelector) Observe(now time.Time, members []basillift.Status) {
	first := r.observed.IsZero() && len(r.settled) == 0
	present := make(map[basillift.VMID]bool, len(members))
	calm := now.Sub(r.observed) <= observeLimit
	for _, s := range members {
		id := s.Member().ID()
		present[id] = true
		calm = calm && s.Liveness() == basillift.LivenessAlive
		if first {
			r.settled[id] = true
		}
	}
	r.observed = now
	if !calm {
		r.calmSince = now
	}
	r.change(now, present)
	r.settle(now)
}

// change starts the joint phase of members that appear or disappear. One that
// changes back stays joint and its time starts again, since other daemons may have
// completed the first change.
func (r *OwnerSelector) change(now time.Time, present map[basillift.VMID]bool) {
	for id := range present {
		c, joint := r.joint[id]
		if joint && !c.present || !joint && !r.settled[id] {
			r.joint[id] = change{present: true, since: now}
		}
	}
	for id, c := range r.joint {
		if c.present && !present[id] {
			r.joint[id] = change{since: now}
		}
	}
	for id := range r.settled {
		if _, joint := r.joint[id]; !joint && !present[id] {
			r.joint[id] = change{since: now}
		}
	}
}

// settle ends the joint phase of members whose change was seen by all: all members
// were alive throughout.
func (r *OwnerSelector) settle(now time.Time) {
	for id, c := range r.joint {
		since := c.since
		if r.calmSince.After(since) {
			since = r.calmSince
		}
		if now.Sub(since) < jointFor {
			continue
		}
		delete(r.joint, id)
		if c.present {
			r.settled[id] = true
		} else {
			delete(r.settled, id)
		}
	}
}

// Owners returns the owner sets of a key: one for each subset of the joint members
// that matter for it. Any two daemons whose phases for each member are the same or
// neighbours have a set in common, the union of what both have settled.
func (r *OwnerSelector) Owners(k Key) OwnerSets {
	var base, joint []basillift.VMID
	for id := range r.settled {
		if _, changing := r.joint[id]; !changing {
			base = append(base, id)
		}
	}
	top := Owners(k, base)
	for id := range r.joint {
		if len(top) < replicas || outranks(k, id, top[replicas-1]) {
			joint = append(joint, id)
		}
	}
	if len(joint) > maxJoint {
		return OwnerSets{}
	}
	slices.Sort(joint)
	return OwnerSets{sets: subsets(k, top, joint)}
}

// subsets returns the distinct owner sets of the base with each subset of the joint members.
func subsets(k Key, base, joint []basillift.VMID) [][]basillift.VMID {
	var sets [][]basillift.VMID
	for mask := range 1 << len(joint) {
		members := slices.Clone(base)
		for i, id := range joint {
			if mask&(1<<i) != 0 {
				members = append(members, id)
			}
		}
		set := Owners(k, members)
		if !slices.ContainsFunc(sets, func(o []basillift.VMID) bool { return slices.Equal(o, set) }) {
			sets = append(sets, set)
		}
	}
	return sets
}

// outranks reports whether a comes before b in the ranking for the key.
func outranks(k Key, a, b basillift.VMID) bool {
	wa, wb := blrendezvous.Weight(k.hash, string(a)), blrendezvous.Weight(k.hash, string(b))
	return wa > wb || wa == wb && a < b
}
