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

// fleet is the truth about members: when each joined and, once dropped, when.
type fleet struct {
	joined  []time.Duration
	dropped []time.Duration
	cut     [2]time.Duration // a partition into even and odd VMs between these times
}

// view is what a daemon of one side believes at a time. It learns of joins and
// drops with a lag, and of those on the other side only while it is connected.
func (f fleet) view(side int, at, lag time.Duration) []basillift.Status {
	var members []basillift.Status
	inCut := at >= f.cut[0] && at < f.cut[1]
	for i := range f.joined {
		known := at - lag
		if i%2 != side && known >= f.cut[0] && known < f.cut[1] {
			known = f.cut[0]
		}
		if known < f.joined[i] || known >= f.dropped[i] {
			continue
		}
		l := basillift.LivenessAlive
		if inCut && i%2 != side {
			l = basillift.LivenessDead
		}
		m := basillift.NewMember(basillift.VMID(fmt.Sprintf("vm-%02d", i)), 1, basillift.Addresses{}, basillift.Place{}, "", 1)
		members = append(members, basillift.NewStatus(m, l, false))
	}
	return members
}

func newFleet(rnd *rand.Rand) fleet {
	f := fleet{cut: [2]time.Duration{2 * time.Minute, 4 * time.Minute}}
	for i := range 16 {
		joined, dropped := time.Duration(0), time.Hour
		if i >= 8 {
			// A roster without a snapshot needs a first minute without joins.
			joined = time.Duration(60+rnd.Intn(400)) * time.Second
		}
		if rnd.Intn(4) == 0 {
			dropped = joined + time.Duration(60+rnd.Intn(300))*time.Second
		}
		f.joined, f.dropped = append(f.joined, joined), append(f.dropped, dropped)
	}
	return f
}

func shareSet(a, b OwnerSets) bool {
	if len(a.sets) == 0 || len(b.sets) == 0 {
		return true // one of them refuses to run
	}
	return slices.ContainsFunc(a.sets, func(set []basillift.VMID) bool {
		return slices.ContainsFunc(b.sets, func(o []basillift.VMID) bool { return slices.Equal(set, o) })
	})
}

// disjoint counts the moments at which two quorums of plain owner lists would share no owner.
func disjoint(a, b []basillift.VMID) bool {
	common := 0
	for _, id := range a {
		if slices.Contains(b, id) {
			common++
		}
	}
	return common < replicas
}

// Guards against daemons whose owner sets have no set in common while members join
// and are dropped, with lagging views and a partition of two minutes in which both
// sides change. Plain owner lists over the same views are the baseline.
func TestRosterSharesASet(t *testing.T) {
	checks, plain, refused := 0, 0, 0
	for seed := range int64(60) {
		rnd := rand.New(rand.NewSource(seed))
		f := newFleet(rnd)
		a, b := NewOwnerSelector(nil), NewOwnerSelector(nil)
		lagA, lagB := time.Duration(rnd.Intn(5000))*time.Millisecond, time.Duration(rnd.Intn(5000))*time.Millisecond
		for at := 10 * time.Second; at < 10*time.Minute; at += time.Second {
			viewA, viewB := f.view(0, at, lagA), f.view(1, at, lagB)
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
			if disjoint(Owners(k, ids(viewA)), Owners(k, ids(viewB))) {
				plain++
			}
		}
	}
	t.Logf("%d checks: roster never without a common set, %d refused; plain lists differ in %d", checks, refused, plain)
	is.New(t).True(plain > 0)
}

func ids(members []basillift.Status) []basillift.VMID {
	var ids []basillift.VMID
	for _, s := range members {
		ids = append(ids, s.Member().ID())
	}
	return ids
}
