package blmember

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basillift.dev/basillift"
)

func linkBetween(a, b byte) func(from, to basillift.VMID) bool {
	return func(from, to basillift.VMID) bool {
		return from[0] == a && to[0] == b || from[0] == b && to[0] == a
	}
}

// Guards against deaths that are not detected and against suspicion of live members.
func TestDeath(t *testing.T) {
	for _, victim := range []int{0, 1, 4, 9} {
		t.Run(fmt.Sprintf("position %d", victim), func(t *testing.T) {
			sm := newSimulation(t, int64(victim)+1)
			sm.startFleet("ab", 12)
			sm.assertAgreement()
			sm.kill(sm.states["a-0"].Order().Domain("a")[victim])
			sm.run(8 * time.Second)
			sm.assertAgreement()
		})
	}
	t.Run("many at once", func(t *testing.T) {
		sm := newSimulation(t, 9)
		sm.startFleet("ab", 16)
		for _, id := range sm.states["a-0"].Order().Domain("a")[:8] {
			sm.kill(id)
		}
		sm.run(40 * time.Second)
		sm.assertAgreement()
	})
	t.Run("whole failure domain", func(t *testing.T) {
		is := is.New(t)
		sm := newSimulation(t, 10)
		sm.startFleet("abc", 5)
		for i := range 5 {
			sm.kill(basillift.VMID(fmt.Sprintf("a-%d", i)))
		}
		sm.run(15 * time.Second)
		is.Equal(sm.states["b-0"].View().Partitioned(), []basillift.FailureDomain{"a"})
		is.Equal(sm.states["c-4"].View().Partitioned(), []basillift.FailureDomain{"a"})
		sm.start("a-0", "b-0")
		sm.run(60 * time.Second)
		is.Equal(len(sm.states["b-1"].View().Partitioned()), 0)
	})
}

// Guards against members that stay dead after a partition heals, and against one side
// declaring the other dead because the link between failure domains is partitioned.
func TestPartition(t *testing.T) {
	heal := func(sm *simulation, d time.Duration) {
		sm.blocked = func(_, _ basillift.VMID) bool { return false }
		sm.run(d)
		sm.assertAgreement()
	}
	for _, length := range []time.Duration{3 * time.Second, time.Minute, 20 * time.Minute} {
		t.Run("between failure domains for "+length.String(), func(t *testing.T) {
			sm := newSimulation(t, 1)
			sm.startFleet("abc", 6)
			sm.blocked = linkBetween('a', 'b')
			sm.run(length)
			heal(sm, 30*time.Second)
		})
	}
	t.Run("shown as partitioned, not dead", func(t *testing.T) {
		is := is.New(t)
		sm := newSimulation(t, 2)
		sm.startFleet("ab", 6)
		sm.blocked = linkBetween('a', 'b')
		sm.run(30 * time.Second)
		is.Equal(sm.states["a-5"].View().Partitioned(), []basillift.FailureDomain{"b"})
		for _, s := range sm.states["a-5"].View().members {
			is.True(s.Liveness() != basillift.LivenessDead)
		}
		heal(sm, 30*time.Second)
	})
	t.Run("one-way", func(t *testing.T) {
		sm := newSimulation(t, 3)
		sm.startFleet("ab", 6)
		sm.blocked = func(from, to basillift.VMID) bool { return from[0] == 'a' && to[0] == 'b' }
		sm.run(time.Minute)
		heal(sm, 30*time.Second)
	})
	t.Run("flapping", func(t *testing.T) {
		sm := newSimulation(t, 4)
		sm.startFleet("ab", 6)
		for range 20 {
			sm.blocked = linkBetween('a', 'b')
			sm.run(1500 * time.Millisecond)
			sm.blocked = func(_, _ basillift.VMID) bool { return false }
			sm.run(700 * time.Millisecond)
		}
		heal(sm, 30*time.Second)
	})
	t.Run("within a failure domain", func(t *testing.T) {
		is := is.New(t)
		sm := newSimulation(t, 5)
		sm.startFleet("ab", 10)
		half := func(id basillift.VMID) bool { return id[0] == 'a' && id[2] < '5' }
		sm.blocked = func(from, to basillift.VMID) bool {
			return from[0] == 'a' && to[0] == 'a' && half(from) != half(to)
		}
		sm.run(time.Minute)
		sm.blocked = func(from, to basillift.VMID) bool { return half(from) != half(to) }
		sm.run(time.Minute)
		is.Equal(sm.states["a-0"].Order().Len(), 5+10)
		heal(sm, 2*time.Minute)
	})
}

// Guards against a process that acts on stale state after a pause, and against peers
// that still consider it dead after it resumes.
func TestPause(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(t, 7)
			sm.startFleet("ab", 8)
			before := sm.states["a-3"].Self().Incarnation()
			sm.paused["a-3"] = true
			sm.run(length)
			delete(sm.paused, "a-3")
			sm.run(150 * time.Millisecond)
			is.Equal(sm.pauses, 1)
			is.True(sm.states["a-3"].Self().Incarnation() > before)
			sm.run(20 * time.Second)
			is.True(sm.states["a-3"].Verified())
			sm.assertAgreement()
		})
	}
	t.Run("probe results from before the pause are ignored", func(t *testing.T) {
		is := is.New(t)
		now := time.UnixMilli(1_800_000_000_000)
		s := NewState(now, member("a-1", 1), rand.New(rand.NewSource(1)))
		s.Apply(now, Received("a-2", []basillift.Member{member("a-2", 1)}, nil))
		is.True(len(s.Apply(now.Add(time.Second), Tick())) > 0)
		later := now.Add(time.Minute)
		s.Apply(later, ProbeFailed("a-2"))
		status, _ := s.View().Find("a-2")
		is.Equal(status.Liveness(), basillift.LivenessSuspect) // unverified after the pause
		is.Equal(s.entries["a-2"].liveness, basillift.LivenessAlive)
		s.Apply(later, HealthChecked())
		status, _ = s.View().Find("a-2")
		is.Equal(status.Liveness(), basillift.LivenessAlive)
	})
}

// Guards against old records and assertions that replace newer ones.
func TestOrderOfRecords(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	build := func() *State {
		s := NewState(now, member("a-1", 5), rand.New(rand.NewSource(1)))
		s.Apply(now, Received("a-2", []basillift.Member{member("a-2", 5)}, nil))
		return s
	}
	receive := func(s *State, k AssertionKind, incarnation uint64) {
		s.Apply(now, Received("a-3", nil, []Assertion{NewAssertion(k, "a-2", incarnation, 0)}))
	}
	expect := func(t *testing.T, s *State, l basillift.Liveness, incarnation uint64) {
		t.Helper()
		status, _ := s.View().Find("a-2")
		is.New(t).Equal(status.Liveness(), l)
		is.New(t).Equal(status.Member().Incarnation(), incarnation)
	}
	t.Run("dead member does not return with its incarnation", func(t *testing.T) {
		s := build()
		receive(s, AssertionDead, 5)
		s.Apply(now, Received("a-3", []basillift.Member{member("a-2", 5).WithState(basillift.TargetReady)}, nil))
		expect(t, s, basillift.LivenessDead, 5)
	})
	t.Run("dead member returns with a higher incarnation", func(t *testing.T) {
		s := build()
		receive(s, AssertionDead, 5)
		s.Apply(now, Received("a-3", []basillift.Member{member("a-2", 6)}, nil))
		expect(t, s, basillift.LivenessAlive, 6)
	})
	t.Run("assertion about an earlier incarnation is ignored", func(t *testing.T) {
		s := build()
		receive(s, AssertionDead, 4)
		expect(t, s, basillift.LivenessAlive, 5)
	})
	t.Run("suspect member refutes", func(t *testing.T) {
		is := is.New(t)
		s := build()
		actions := s.Apply(now, Received("a-2", nil, []Assertion{NewAssertion(AssertionSuspect, "a-1", 5, 0)}))
		is.True(s.Self().Incarnation() > 5)
		is.Equal(actions[0].Kind(), ActionFlood)
		is.Equal(actions[0].Records()[0], s.Self())
	})
	t.Run("record of an earlier start with a clock ahead", func(t *testing.T) {
		s := build()
		s.Apply(now, Received("a-2", []basillift.Member{member("a-1", 1<<50)}, nil))
		is.New(t).Equal(s.Self().Incarnation(), uint64(1<<50+1))
	})
	t.Run("known record is not forwarded", func(t *testing.T) {
		is.New(t).Equal(len(build().Apply(now, Received("a-3", []basillift.Member{member("a-2", 5)}, nil))), 0)
	})
}

// Guards against using the platform's VM list as evidence that a member is alive or dead.
func TestPlatformList(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	build := func() *State {
		s := NewState(now, member("a-1", 5), rand.New(rand.NewSource(1)))
		s.Apply(now, Received("a-2", []basillift.Member{member("a-2", 5)}, nil))
		return s
	}
	advance := func(s *State, d time.Duration) time.Time {
		for at := now; at.Before(now.Add(d)); at = at.Add(2 * time.Second) {
			s.Apply(at, Tick())
		}
		return now.Add(d)
	}
	t.Run("leaving and staying", func(t *testing.T) {
		is := is.New(t)
		s := build()
		s.Apply(now, VMsListed([]ListedVM{NewListedVM("a-2", true)}, 3))
		status, _ := s.View().Find("a-2")
		is.True(status.Leaving())
		s.Apply(now, Received("a-3", nil, []Assertion{NewAssertion(AssertionStaying, "a-2", 5, 2)}))
		status, _ = s.View().Find("a-2")
		is.True(status.Leaving()) // an older list does not clear the leaving mark
		s.Apply(now, VMsListed([]ListedVM{NewListedVM("a-2", false)}, 4))
		status, _ = s.View().Find("a-2")
		is.True(!status.Leaving())
	})
	t.Run("absent member that is alive is kept", func(t *testing.T) {
		s := build()
		s.Apply(now, VMsListed(nil, 3))
		_, found := s.View().Find("a-2")
		is.New(t).True(found)
	})
	t.Run("absent member that is dead is dropped after 10 minutes", func(t *testing.T) {
		is := is.New(t)
		s := build()
		s.Apply(now, Received("a-3", nil, []Assertion{NewAssertion(AssertionDead, "a-2", 5, 0)}))
		s.Apply(now, VMsListed(nil, 3))
		_, found := s.View().Find("a-2")
		is.True(found)
		s.Apply(advance(s, dropDelay+time.Second), VMsListed(nil, 4))
		_, found = s.View().Find("a-2")
		is.True(!found)
	})
}

// Guards against combinations of deaths, restarts, pauses, drains and partitions after
// which the running members don't converge, and against records that regress meanwhile.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sm := newSimulation(r, rapid.Int64().Draw(r, "seed"))
		sm.startFleet("ab", 5)
		pick := func(label string) basillift.VMID {
			return basillift.VMID(fmt.Sprintf("%c-%d", rapid.SampledFrom([]byte("ab")).Draw(r, label), rapid.IntRange(0, 4).Draw(r, label)))
		}
		r.Repeat(map[string]func(*rapid.T){
			"kill":    func(*rapid.T) { sm.kill(pick("victim")) },
			"pause":   func(*rapid.T) { sm.paused[pick("paused")] = true },
			"resume":  func(*rapid.T) { delete(sm.paused, pick("resumed")) },
			"cut":     func(*rapid.T) { sm.blocked = linkBetween('a', 'b') },
			"one-way": func(*rapid.T) { sm.blocked = func(f, _ basillift.VMID) bool { return f[0] == 'a' } },
			"heal":    func(*rapid.T) { sm.blocked = func(_, _ basillift.VMID) bool { return false } },
			"restart": func(*rapid.T) {
				id := pick("restarted")
				sm.kill(id)
				sm.start(id, pick("contact"))
			},
			"drain": func(*rapid.T) {
				if id := pick("drained"); sm.states[id] != nil && !sm.paused[id] {
					sm.perform(id, sm.states[id].Apply(sm.now, TargetChanged(basillift.TargetDraining)))
				}
			},
			"": func(*rapid.T) { sm.run(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond) },
		})
		sm.endFaults()
		sm.assertAgreement()
	})
}

// endFaults ends all faults and lets the members converge. Each member exchanges records
// with the first one, as daemons do with members that they lost.
func (sm *simulation) endFaults() {
	sm.blocked = func(_, _ basillift.VMID) bool { return false }
	clear(sm.paused)
	sm.run(5 * time.Second)
	if len(sm.ids()) > 0 {
		for _, id := range sm.ids() {
			sm.exchange(id, sm.ids()[0], "")
		}
	}
	sm.run(90 * time.Second)
}
