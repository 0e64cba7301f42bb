package blidempotency

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

// membershipHistory holds the actual times at which members join and are dropped, and
// of a partition. Members with an even and with an odd number are on different sides.
type membershipHistory struct {
	joined    []time.Duration
	dropped   []time.Duration
	partition [2]time.Duration // start and end
}

// view returns the directory of a daemon on one side. The daemon learns of joins and
// drops after a lag, and during the partition not of those on the other side.
func (h membershipHistory) view(side int, at, lag time.Duration) []basillift.Status {
	var members []basillift.Status
	partitioned := at >= h.partition[0] && at < h.partition[1]
	for i := range h.joined {
		knownAt := at - lag
		if i%2 != side && knownAt >= h.partition[0] && knownAt < h.partition[1] {
			knownAt = h.partition[0]
		}
		if knownAt < h.joined[i] || knownAt >= h.dropped[i] {
			continue
		}
		l := basillift.LivenessAlive
		if partitioned && i%2 != side {
			l = basillift.LivenessDead
		}
		m := basillift.NewMember(basillift.VMID(fmt.Sprintf("vm-%02d", i)), 1, basillift.Addresses{}, basillift.Place{}, "", 1)
		members = append(members, basillift.NewStatus(m, l, false))
	}
	return members
}

func newMembershipHistory(rnd *rand.Rand) membershipHistory {
	h := membershipHistory{partition: [2]time.Duration{2 * time.Minute, 4 * time.Minute}}
	for i := range 16 {
		joined, dropped := time.Duration(0), time.Hour
		if i >= 8 {
			// A selector without a snapshot requires that no member joins in the first minute.
			joined = time.Duration(60+rnd.Intn(400)) * time.Second
		}
		if rnd.Intn(4) == 0 {
			dropped = joined + time.Duration(60+rnd.Intn(300))*time.Second
		}
		h.joined, h.dropped = append(h.joined, joined), append(h.dropped, dropped)
	}
	return h
}

func shareSet(a, b OwnerSets) bool {
	if len(a.sets) == 0 || len(b.sets) == 0 {
		return true // one of them refuses to run
	}
	return slices.ContainsFunc(a.sets, func(set []basillift.VMID) bool {
		return slices.ContainsFunc(b.sets, func(o []basillift.VMID) bool { return slices.Equal(set, o) })
	})
}

// quorumsCanBeDisjoint reports whether two lists of owners allow two quorums without a
// common owner.
func quorumsCanBeDisjoint(a, b []basillift.VMID) bool {
	common := 0
	for _, id := range a {
		if slices.Contains(b, id) {
			common++
		}
	}
	return common < ownersPerKey
}

// Guards against two daemons without a common owner set while members join and are
// dropped. Their views lag behind, and members change on both sides of a partition of
// two minutes. The baseline is the function Owners on the same views.
func TestOwnerSelectorsShareASet(t *testing.T) {
	checks, disjointLists, refused := 0, 0, 0
	for seed := range int64(60) {
		rnd := rand.New(rand.NewSource(seed))
		h := newMembershipHistory(rnd)
		a, b := NewOwnerSelector(nil), NewOwnerSelector(nil)
		lagA, lagB := time.Duration(rnd.Intn(5000))*time.Millisecond, time.Duration(rnd.Intn(5000))*time.Millisecond
		for at := 10 * time.Second; at < 10*time.Minute; at += time.Second {
			viewA, viewB := h.view(0, at, lagA), h.view(1, at, lagB)
			a.Observe(epoch.Add(at), viewA)
			b.Observe(epoch.Add(at), viewB)
			k := NewKey("kobuleti", "reservations", fmt.Sprint(rnd.Int()))
			setsA, setsB := a.Owners(k), b.Owners(k)
			checks++
			if !shareSet(setsA, setsB) {
				t.Fatalf("seed %d at %s: %v and %v", seed, at, setsA, setsB)
			}
			if len(setsA.sets) == 0 {
				refused++
			}
			if quorumsCanBeDisjoint(Owners(k, ids(viewA)), Owners(k, ids(viewB))) {
				disjointLists++
			}
		}
	}
	t.Logf("%d checks: selectors always share a set, %d refused; plain owner lists allow disjoint quorums in %d", checks, refused, disjointLists)
	is.New(t).True(disjointLists > 0)
}

func ids(members []basillift.Status) []basillift.VMID {
	var ids []basillift.VMID
	for _, s := range members {
		ids = append(ids, s.Member().ID())
	}
	return ids
}
