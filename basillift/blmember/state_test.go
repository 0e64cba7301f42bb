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

func between(a, b byte) func(from, to basillift.VMID) bool {
	return func(from, to basillift.VMID) bool {
		return from[0] == a && to[0] == b || from[0] == b && to[0] == a
	}
}

// Guards against deaths that go unnoticed and against accusations of living members.
func TestDeath(t *testing.T) {
	for _, victim := range []int{0, 1, 4, 9} {
		t.Run(fmt.Sprintf("position %d", victim), func(t *testing.T) {
			w := newWorld(t, int64(victim)+1)
			w.fleet("ab", 12)
			w.agree()
			w.kill(w.states["a-0"].Order().Domain("a")[victim])
			w.run(8 * time.Second)
			w.agree()
		})
	}
	t.Run("many at once", func(t *testing.T) {
		w := newWorld(t, 9)
		w.fleet("ab", 16)
		for _, id := range w.states["a-0"].Order().Domain("a")[:8] {
			w.kill(id)
		}
		w.run(40 * time.Second)
		w.agree()
	})
	t.Run("whole failure domain", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 10)
		w.fleet("abc", 5)
		for i := range 5 {
			w.kill(basillift.VMID(fmt.Sprintf("a-%d", i)))
		}
		w.run(15 * time.Second)
		is.Equal(w.states["b-0"].View().Partitioned(), []basillift.FailureDomain{"a"})
		is.Equal(w.states["c-4"].View().Partitioned(), []basillift.FailureDomain{"a"})
		w.start("a-0", "b-0")
		w.run(60 * time.Second)
		is.Equal(len(w.states["b-1"].View().Partitioned()), 0)
	})
}

// Guards against members that stay dead after a partition heals, and against one side
// that declares the other dead because a link is cut.
func TestPartition(t *testing.T) {
	heal := func(w *world, d time.Duration) {
		w.blocked = func(_, _ basillift.VMID) bool { return false }
		w.run(d)
		w.agree()
	}
	for _, length := range []time.Duration{3 * time.Second, time.Minute, 20 * time.Minute} {
		t.Run("between failure domains for "+length.String(), func(t *testing.T) {
			w := newWorld(t, 1)
			w.fleet("abc", 6)
			w.blocked = between('a', 'b')
			w.run(length)
			heal(w, 30*time.Second)
		})
	}
	t.Run("shows as cut off, not dead", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		w.fleet("ab", 6)
		w.blocked = between('a', 'b')
		w.run(30 * time.Second)
		is.Equal(w.states["a-5"].View().Partitioned(), []basillift.FailureDomain{"b"})
		for _, s := range w.states["a-5"].View().members {
			is.True(s.Liveness() != basillift.LivenessDead)
		}
		heal(w, 30*time.Second)
	})
	t.Run("one-way", func(t *testing.T) {
		w := newWorld(t, 3)
		w.fleet("ab", 6)
		w.blocked = func(from, to basillift.VMID) bool { return from[0] == 'a' && to[0] == 'b' }
		w.run(time.Minute)
		heal(w, 30*time.Second)
	})
	t.Run("flapping", func(t *testing.T) {
		w := newWorld(t, 4)
		w.fleet("ab", 6)
		for range 20 {
			w.blocked = between('a', 'b')
			w.run(1500 * time.Millisecond)
			w.blocked = func(_, _ basillift.VMID) bool { return false }
			w.run(700 * time.Millisecond)
		}
		heal(w, 30*time.Second)
	})
	t.Run("within a failure domain", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 5)
		w.fleet("ab", 10)
		half := func(id basillift.VMID) bool { return id[0] == 'a' && id[2] < '5' }
		w.blocked = func(from, to basillift.VMID) bool {
			return from[0] == 'a' && to[0] == 'a' && half(from) != half(to)
		}
		w.run(time.Minute)
		w.blocked = func(from, to basillift.VMID) bool { return half(from) != half(to) }
		w.run(time.Minute)
		is.Equal(w.states["a-0"].Order().Len(), 5+10)
		heal(w, 2*time.Minute)
	})
}

// Guards against a paused process that acts on what it believed before, and against peers
// that keep it dead after it resumes.
func TestPause(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 7)
			w.fleet("ab", 8)
			before := w.states["a-3"].Self().Incarnation()
			w.paused["a-3"] = true
			w.run(length)
			delete(w.paused, "a-3")
			w.run(150 * time.Millisecond)
			is.Equal(w.pauses, 1)
			is.True(w.states["a-3"].Self().Incarnation() > before)
			w.run(20 * time.Second)
			is.True(w.states["a-3"].Verified())
			w.agree()
		})
	}
	t.Run("evidence from before counts for nothing", func(t *testing.T) {
		is := is.New(t)
		now := time.UnixMilli(1_800_000_000_000)
		s := NewState(now, member("a-1", 1), rand.New(rand.NewSource(1)))
		s.Apply(now, Received("a-2", []basillift.Member{member("a-2", 1)}, nil))
		is.True(len(s.Apply(now.Add(time.Second), Tick())) > 0)
		later := now.Add(time.Minute)
		s.Apply(later, ProbeFailed("a-2"))
		status, _ := s.View().Find("a-2")
		is.Equal(status.Liveness(), basillift.LivenessSuspect) // shown, because nothing is verified
		is.Equal(s.entries["a-2"].liveness, basillift.LivenessAlive)
		s.Apply(later, HealthChecked())
		status, _ = s.View().Find("a-2")
		is.Equal(status.Liveness(), basillift.LivenessAlive)
	})
}

// Guards against old records and claims that replace newer ones.
func TestOrderOfRecords(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	build := func() *State {
		s := NewState(now, member("a-1", 5), rand.New(rand.NewSource(1)))
		s.Apply(now, Received("a-2", []basillift.Member{member("a-2", 5)}, nil))
		return s
	}
	accuse := func(s *State, k AssertionKind, incarnation uint64) {
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
		accuse(s, AssertionDead, 5)
		s.Apply(now, Received("a-3", []basillift.Member{member("a-2", 5).WithState(basillift.TargetReady)}, nil))
		expect(t, s, basillift.LivenessDead, 5)
	})
	t.Run("dead member returns with a higher incarnation", func(t *testing.T) {
		s := build()
		accuse(s, AssertionDead, 5)
		s.Apply(now, Received("a-3", []basillift.Member{member("a-2", 6)}, nil))
		expect(t, s, basillift.LivenessAlive, 6)
	})
	t.Run("claim about a former incarnation", func(t *testing.T) {
		s := build()
		accuse(s, AssertionDead, 4)
		expect(t, s, basillift.LivenessAlive, 5)
	})
	t.Run("accused member refutes", func(t *testing.T) {
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
	t.Run("known record is not passed on", func(t *testing.T) {
		is.New(t).Equal(len(build().Apply(now, Received("a-3", []basillift.Member{member("a-2", 5)}, nil))), 0)
	})
}

// Guards against the platform's VM list being taken for proof of life or death.
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
		s.Apply(now, VMsListed([]Listed{NewListed("a-2", true)}, 3))
		status, _ := s.View().Find("a-2")
		is.True(status.Leaving())
		s.Apply(now, Received("a-3", nil, []Assertion{NewAssertion(AssertionStaying, "a-2", 5, 2)}))
		status, _ = s.View().Find("a-2")
		is.True(status.Leaving()) // an older list does not take the mark back
		s.Apply(now, VMsListed([]Listed{NewListed("a-2", false)}, 4))
		status, _ = s.View().Find("a-2")
		is.True(!status.Leaving())
	})
	t.Run("absent member that lives stays", func(t *testing.T) {
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
		s.Apply(advance(s, dropTime+time.Second), VMsListed(nil, 4))
		_, found = s.View().Find("a-2")
		is.True(!found)
	})
}

// Guards against any combination of deaths, restarts, pauses, drains and partitions after
// which the members that run do not agree, and against records that go back meanwhile.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r, rapid.Int64().Draw(r, "seed"))
		w.fleet("ab", 5)
		pick := func(what string) basillift.VMID {
			return basillift.VMID(fmt.Sprintf("%c-%d", rapid.SampledFrom([]byte("ab")).Draw(r, what), rapid.IntRange(0, 4).Draw(r, what)))
		}
		r.Repeat(map[string]func(*rapid.T){
			"kill":    func(*rapid.T) { w.kill(pick("victim")) },
			"pause":   func(*rapid.T) { w.paused[pick("paused")] = true },
			"resume":  func(*rapid.T) { delete(w.paused, pick("resumed")) },
			"cut":     func(*rapid.T) { w.blocked = between('a', 'b') },
			"one-way": func(*rapid.T) { w.blocked = func(f, _ basillift.VMID) bool { return f[0] == 'a' } },
			"heal":    func(*rapid.T) { w.blocked = func(_, _ basillift.VMID) bool { return false } },
			"restart": func(*rapid.T) {
				id := pick("restarted")
				w.kill(id)
				w.start(id, pick("contact"))
			},
			"drain": func(*rapid.T) {
				if id := pick("drained"); w.states[id] != nil && !w.paused[id] {
					w.perform(id, w.states[id].Apply(w.now, TargetChanged(basillift.TargetDraining)))
				}
			},
			"": func(*rapid.T) { w.run(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond) },
		})
		w.settle()
		w.agree()
	})
}

// settle ends all faults. Each member contacts another, as the daemons' greeting does for
// members that it lost.
func (w *world) settle() {
	w.blocked = func(_, _ basillift.VMID) bool { return false }
	clear(w.paused)
	w.run(5 * time.Second)
	if len(w.ids()) > 0 {
		for _, id := range w.ids() {
			w.exchange(id, w.ids()[0], "")
		}
	}
	w.run(90 * time.Second)
}
