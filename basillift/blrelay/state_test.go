package blrelay

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func testOrder(domains string, count int) *Order {
	var members []basillift.Member
	for _, d := range domains {
		for i := range count {
			members = append(members, testMember(basillift.VMID(fmt.Sprintf("%c-%d", d, i)), basillift.FailureDomain(d)))
		}
	}
	return NewOrder(members)
}

// Guards against daemons that derive different readers, trees or heads, and against members
// that are not reachable over tree links.
func TestOrder(t *testing.T) {
	t.Run("independent of the order of members", func(t *testing.T) {
		is := is.New(t)
		a, b := testMember("x", "a"), testMember("y", "a")
		is.Equal(NewOrder([]basillift.Member{a, b}).Domain("a"), NewOrder([]basillift.Member{b, a}).Domain("a"))
	})
	t.Run("tree reaches all within depth 3", func(t *testing.T) {
		is := is.New(t)
		o := testOrder("a", 171)
		reached := map[basillift.VMID]bool{o.Domain("a")[0]: true}
		for range 3 {
			for id := range reached {
				for _, n := range o.Neighbors(id) {
					reached[n] = true
				}
			}
		}
		is.Equal(len(reached), 171)
	})
	t.Run("links are mutual", func(t *testing.T) {
		is := is.New(t)
		o := testOrder("abc", 30)
		for id := range o.positions {
			for _, n := range o.Links(id) {
				is.True(contains(o.Links(n), id))
			}
		}
	})
	t.Run("two readers and one head per failure domain", func(t *testing.T) {
		is := is.New(t)
		o := testOrder("ab", 5)
		is.Equal(len(o.Readers("a")), 2)
		is.Equal(o.Heads("a"), []basillift.VMID{o.Domain("b")[0]})
		is.True(o.IsHead(o.Readers("b")[0]) && o.IsReader(o.Readers("b")[1]) && !o.IsReader(o.Domain("b")[2]))
	})
	t.Run("ring of few members", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(testOrder("a", 1).Successors("a-0", 2)), 0)
		is.Equal(testOrder("a", 2).Successors("a-0", 2), []basillift.VMID{"a-1"})
		is.Equal(len(testOrder("a", 3).Predecessors("a-0", 2)), 2)
	})
}

func contains(ids []basillift.VMID, id basillift.VMID) bool {
	for _, o := range ids {
		if o == id {
			return true
		}
	}
	return false
}

// Guards against a restarted daemon that serves an older version than the mesh holds because
// the platform answers before the peers, and against one that waits for peers forever.
func TestJoin(t *testing.T) {
	start := time.Unix(1000, 0)
	older, newest := basillift.NewVersion(1, 1), basillift.NewVersion(1, 2)
	cases := []struct {
		name    string
		after   time.Duration
		members int
		answers []basillift.Version
		v       basillift.Version
		allowed bool
	}{
		{"no answers", 100 * time.Millisecond, 0, nil, newest, false},
		{"no peers within 3 s", 3 * time.Second, 0, nil, older, true},
		{"one peer", 2 * time.Second, 5, []basillift.Version{newest}, newest, false},
		{"two peers", 100 * time.Millisecond, 5, []basillift.Version{newest, older}, newest, true},
		{"peer has a newer version", 100 * time.Millisecond, 5, []basillift.Version{newest, older}, older, false},
		{"peer has a newer version after the wait", time.Minute, 5, []basillift.Version{newest}, older, false},
		{"some peers are starting too", 2 * time.Second, 5, []basillift.Version{{}, {}}, older, false},
		{"all members are starting", 2 * time.Second, 2, []basillift.Version{{}, {}}, older, true},
		{"platform is ahead of peers", 100 * time.Millisecond, 5, []basillift.Version{older, older}, newest, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			j := NewJoin(start)
			j.SetMemberCount(c.members)
			for i, v := range c.answers {
				j.RecordAnswer(basillift.VMID(fmt.Sprint(i)), v)
			}
			now := start.Add(c.after)
			is.Equal(j.MayAdoptFromPlatform(now, c.v), c.allowed)
			is.Equal(j.Ready(now, c.v), c.allowed)
		})
	}
	t.Run("peer that is gone no longer counts", func(t *testing.T) {
		is := is.New(t)
		j := NewJoin(start)
		j.RecordAnswer("a", newest)
		j.RemoveAnswer("a")
		is.True(j.Ready(start.Add(joinTimeout), older))
		is.True(j.Ready(start, older)) // stays ready
	})
}

// Guards against many daemons that fetch at the same time: they must not overload one peer
// with full transfers, and a refused daemon must not keep asking the same peer.
func TestConcurrentFetches(t *testing.T) {
	t.Run("full transfers are bounded", func(t *testing.T) {
		is := is.New(t)
		transfers := NewTransfers(rand.New(rand.NewSource(1)))
		for range maxTransfers {
			_, ok := transfers.Begin()
			is.True(ok)
		}
		wait, ok := transfers.Begin()
		is.True(!ok && wait >= transferRetryDelay)
		transfers.End()
		_, ok = transfers.Begin()
		is.True(ok)
	})
	t.Run("refused requester asks another peer", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		s := NewState("a-9", rand.New(rand.NewSource(1)))
		s.Apply(now, OrderChanged(testOrder("a", 10)))
		v := basillift.NewVersion(1, 1)
		first := s.Apply(now, VersionObserved("a-1", v, CauseJoin))
		is.Equal(first[0].Kind(), ActionFetch)
		is.Equal(len(s.Apply(now, VersionObserved("a-2", v, CauseJoin))), 0) // one at a time
		second := s.Apply(now, FetchFailed("a-1", time.Second))
		is.Equal(second[0].Peer(), basillift.VMID("a-2"))
		is.Equal(len(s.Apply(now, FetchFailed("a-2", time.Second))), 0)
		is.Equal(len(s.Apply(now.Add(2*time.Second), Tick())), 1)
	})
	t.Run("wrong digest leads to a full transfer", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		s := NewState("a-9", rand.New(rand.NewSource(1)))
		v := basillift.NewVersion(1, 1)
		s.Apply(now, VersionObserved("a-1", v, CauseProbe))
		s.Apply(now, Rejected("a-1", v))
		again := s.Apply(now.Add(time.Second), Tick())
		is.True(len(again) == 1 && again[0].Full())
	})
}

// Guards against a side of a healed partition that keeps its older version, and against the
// newer side returning to the older version.
func TestHealedPartition(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := testOrder("ab", 4)
	self, other := o.Domain("b")[0], o.Domain("a")[0]
	older, newest := basillift.NewVersion(1, 1), basillift.NewVersion(1, 2)
	s := NewState(self, rand.New(rand.NewSource(1)))
	s.Apply(now, OrderChanged(o))
	s.Apply(now, Adopted("", older))
	for _, id := range o.Domain("b")[1:] {
		s.Apply(now, VersionObserved(id, older, CauseProbe))
	}
	fetch := s.Apply(now, VersionObserved(other, newest, CauseProbe))
	is.Equal(len(fetch), 1)
	is.Equal(fetch[0].Peer(), other)
	pushed := s.Apply(now, Adopted(other, newest))
	is.Equal(len(pushed), 3) // to the three others of its failure domain, not to the sender
	for _, a := range pushed {
		is.Equal(a.Kind(), ActionPush)
		is.Equal(a.From(), older)
	}
	is.Equal(len(s.Apply(now, VersionObserved(other, older, CauseProbe))), 0)
	is.Equal(len(s.Apply(now, Adopted(other, older))), 0)
	is.Equal(s.Held(), newest)
}

// Guards against pushes to a peer that start one version too early after the peer has fetched
// once. The peer can't apply such deltas and would fetch each later version again.
func TestPushAfterFetch(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := testOrder("a", 3)
	self, peer := o.Domain("a")[0], o.Domain("a")[1]
	first, second, third := basillift.NewVersion(1, 1), basillift.NewVersion(1, 2), basillift.NewVersion(1, 3)
	s := NewState(self, rand.New(rand.NewSource(1)))
	s.Apply(now, OrderChanged(o))
	s.Apply(now, Adopted("", first))
	s.Apply(now, Adopted("", second))
	is.Equal(len(s.Apply(now, Requested(peer, first))), 0)
	pushed := false
	for _, a := range s.Apply(now, Adopted("", third)) {
		if a.Peer() == peer {
			pushed = true
			is.Equal(a.Kind(), ActionPush)
			is.Equal(a.From(), second)
		}
	}
	is.True(pushed)
}
