package blidempotency

import (
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

const (
	// transitionTime is how long a member that joins or leaves stays in transition.
	// Members that consider each other alive learn of a change well within this time.
	transitionTime = 30 * time.Second
	// maxObserveGap is the longest time between two observations for which they count
	// as continuous. After a longer gap, the daemon was paused and observed nothing.
	maxObserveGap = 3 * time.Second
	// maxTransitions limits the members in transition that can be owners of one key. A
	// claim needs a quorum in the owner set of each subset of them, 32 sets at most. A
	// key with more such members is refused as unknown until transitions are complete.
	maxTransitions = 5
)

// OwnerSelector selects the owners of keys from the members that one daemon knows. A
// member that joins or leaves is in transition for a time; see the package comment. It
// is not safe for concurrent use.
type OwnerSelector struct {
	established   map[basillift.VMID]bool
	transitions   map[basillift.VMID]transition
	observedAt    time.Time
	allAliveSince time.Time // since then all members were alive and observed without a gap
}

// transition tells whether a member is joining (present) or leaving, and since when.
type transition struct {
	present bool
	since   time.Time
}

// NewOwnerSelector returns a selector that starts with the snapshot of a peer's
// selector. Without a snapshot, the members of the first observation are established
// at once.
func NewOwnerSelector(snapshot []basillift.VMID) *OwnerSelector {
	s := &OwnerSelector{established: make(map[basillift.VMID]bool), transitions: make(map[basillift.VMID]transition)}
	for _, id := range snapshot {
		s.established[id] = true
	}
	return s
}

// Snapshot returns the established members, sorted by id: those that completed their
// transition after joining and have not completed one after leaving.
func (s *OwnerSelector) Snapshot() []basillift.VMID {
	ids := make([]basillift.VMID, 0, len(s.established))
	for id := range s.established {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Observe updates the selector with all members of the directory, including dead
// ones. Call it at least once per second.
func (s *OwnerSelector) Observe(now time.Time, members []basillift.Status) {
	first := s.observedAt.IsZero() && len(s.established) == 0
	present := make(map[basillift.VMID]bool, len(members))
	allAlive := now.Sub(s.observedAt) <= maxObserveGap
	for _, m := range members {
		id := m.Member().ID()
		present[id] = true
		allAlive = allAlive && m.Liveness() == basillift.LivenessAlive
		if first {
			s.established[id] = true
		}
	}
	s.observedAt = now
	if !allAlive {
		s.allAliveSince = now
	}
	s.startTransitions(now, present)
	s.completeTransitions(now)
}

// startTransitions starts the transition of members that appear or disappear. If a
// member changes back, it stays in transition and its time starts again, since other
// daemons may have completed the first transition.
func (s *OwnerSelector) startTransitions(now time.Time, present map[basillift.VMID]bool) {
	for id := range present {
		tr, inTransition := s.transitions[id]
		if inTransition && !tr.present || !inTransition && !s.established[id] {
			s.transitions[id] = transition{present: true, since: now}
		}
	}
	for id, tr := range s.transitions {
		if tr.present && !present[id] {
			s.transitions[id] = transition{since: now}
		}
	}
	for id := range s.established {
		if _, inTransition := s.transitions[id]; !inTransition && !present[id] {
			s.transitions[id] = transition{since: now}
		}
	}
}

// completeTransitions completes the transitions that all members have learned of:
// those during which all members were alive for transitionTime.
func (s *OwnerSelector) completeTransitions(now time.Time) {
	for id, tr := range s.transitions {
		since := tr.since
		if s.allAliveSince.After(since) {
			since = s.allAliveSince
		}
		if now.Sub(since) < transitionTime {
			continue
		}
		delete(s.transitions, id)
		if tr.present {
			s.established[id] = true
		} else {
			delete(s.established, id)
		}
	}
}

// Owners returns the distinct owner sets of a key: one for each subset of the members
// in transition that can be its owners. Two daemons have a set in common, that of the
// union of their stable members, if for each member their phases (absent, joining,
// stable, leaving and absent again) are equal or adjacent. For a key with more than
// maxTransitions such members the result has no set, so no claim reaches a quorum.
func (s *OwnerSelector) Owners(k Key) OwnerSets {
	var stable, changing []basillift.VMID
	for id := range s.established {
		if _, inTransition := s.transitions[id]; !inTransition {
			stable = append(stable, id)
		}
	}
	stableOwners := Owners(k, stable)
	for id := range s.transitions {
		if len(stableOwners) < ownersPerKey || ranksBefore(k, id, stableOwners[ownersPerKey-1]) {
			changing = append(changing, id)
		}
	}
	if len(changing) > maxTransitions {
		return OwnerSets{}
	}
	slices.Sort(changing)
	return OwnerSets{sets: subsets(k, stableOwners, changing)}
}

// subsets returns the distinct owner sets of the stable owners combined with each
// subset of the changing ones.
func subsets(k Key, stableOwners, changing []basillift.VMID) [][]basillift.VMID {
	var sets [][]basillift.VMID
	for mask := range 1 << len(changing) {
		members := slices.Clone(stableOwners)
		for i, id := range changing {
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

// ranksBefore reports whether a comes before b in the order of owners for the key.
func ranksBefore(k Key, a, b basillift.VMID) bool {
	wa, wb := blrendezvous.Weight(k.hash, string(a)), blrendezvous.Weight(k.hash, string(b))
	return wa > wb || wa == wb && a < b
}
