package blfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// second returns the time of a second of the test.
func second(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func begin(revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry("evacuate a", revision).WithEvacuation("a")
}

func end(revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry("evacuate a", revision).WithEvacuationEnd("a")
}

func era(number, revision uint64) basillift.Revision {
	r, err := basillift.NewRevision(number, revision)
	if err != nil {
		panic(err)
	}
	return r
}

// newEvacuatedFleet returns a fleet with a target in domain "a", which is evacuated at revision 10 in second 1.
func newEvacuatedFleet() *Fleet {
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	f.Apply(second(1), begin(10))
	return f
}

// step is what happens in one second of a test.
type step func(f *Fleet, now time.Time)

func change(entry basillift.RegistryEntry) step {
	return func(f *Fleet, now time.Time) { f.Apply(now, entry) }
}

// listing returns a complete listing with the target and other entries.
func listing(revision basillift.Revision, entries ...basillift.RegistryEntry) step {
	return func(f *Fleet, now time.Time) { f.Replace(now, revision, append(entries, ready("i1", 1, "x:1"))) }
}

func recovery(f *Fleet, now time.Time) { f.RegistryRecovered(now) }

// assertState checks since which second domain "a" is evacuated or, if want is negative, in which second that ended.
func assertState(t *testing.T, f *Fleet, want int) {
	t.Helper()
	at, begun := f.Evacuated("a")
	ended, known := f.EvacuationEnded("a")
	usable := 0
	if want < 0 {
		at, begun, known, usable, want = ended, known, begun, 1, -want
	}
	if !begun || known || !at.Equal(second(want)) {
		t.Errorf("state as wanted: %t, also the opposite: %t, since %v, want second %d", begun, known, at, want)
	}
	is.New(t).Equal(len(f.Targets("catalogue")), usable)
	is.New(t).Equal(len(f.EvacuatedTargets("catalogue")), 1-usable)
}

// Guards against requests that are sent to targets of an evacuated failure domain, and against targets that count as gone only
// because they are evacuated.
func TestEvacuatedTargetsAreLeftOut(t *testing.T) {
	is := is.New(t)
	f := newEvacuatedFleet()
	f.Apply(second(1), ready("i0", 2, "x:0"))
	other := basillift.NewEndpoint("i2", "catalogue", "y:1", "b", 9, basillift.TargetReady).WithDaemon("y:2")
	f.Apply(second(1), basillift.NewRegistryEntry("i2", 3).WithEndpoint(other))
	assertTargets(t, f, "i2")
	is.Equal(f.VMCount(), 3)
	is.Equal(len(f.Neighbors("b")), 1)
	_, leaving, known := f.EndpointAt("x:1")
	is.True(known && leaving.IsZero())
	is.Equal(f.EvacuatedTargets("catalogue")[0].Endpoint().Instance(), "i0")
	is.Equal(f.Evacuations(), []Evacuation{{domain: "a", since: second(1), targetCount: 2}})
	f.Apply(second(2), end(11))
	assertTargets(t, f, "i0", "i1", "i2")
	is.Equal(len(f.Evacuations()), 0)
}

// Guards against a late or repeated change that begins or ends an evacuation, a listing that ends one which it does not know of or
// keeps one that has ended, an evacuation that ends because a restored registry has lost its key, and one that can't be ended any more.
func TestEvacuationState(t *testing.T) {
	// The fleet is evacuated at revision 10 in second 1; the steps follow in seconds 2, 3 and so on.
	cases := []struct {
		name  string
		want  int
		steps []step
	}{
		{"older removal", 1, []step{change(end(9))}},
		{"removal that does not name the failure domain", -2, []step{change(removal("evacuate a", 11))}},
		{"key older than its removal", -2, []step{change(end(12)), change(begin(11))}},
		{"set, removed and set again", 3, []step{change(end(11)), change(begin(12))}},
		{"set and removed again before this daemon read it", -3, []step{change(end(11)), change(end(13))}},
		{"repeated removal", -2, []step{change(end(11)), change(end(11))}},
		{"set twice", 1, []step{change(begin(11))}},
		{"listing with the key", 1, []step{listing(20, begin(10))}},
		{"listing without the key", -2, []step{listing(20)}},
		{"key older than a listing without it", -2, []step{listing(20), change(begin(15))}},
		{"key newer than a listing without it", 3, []step{listing(20), change(begin(21))}},
		{"listing without the key after an outage", -3, []step{recovery, listing(20)}},
		{"listing older than the key", 1, []step{listing(9)}},
		{"listing older than one with the key", 1, []step{listing(20, begin(10)), listing(15)}},
		{"listing with a key older than its removal", -2, []step{change(end(12)), listing(11, begin(10))}},
		{"the copy lacks the key", 1, []step{listing(era(1, 5)), listing(era(1, 9))}},
		{"the copy lacks the key, which is removed", -3, []step{listing(era(1, 5)), change(end(era(1, 6)))}},
		{"the copy lacks the key, which is set and removed", -4, []step{listing(era(1, 5)), change(begin(era(1, 6))), listing(era(1, 7))}},
		{"the copy still has a removed key", 3, []step{change(end(12)), listing(era(1, 10), begin(era(1, 10)))}},
		{"late listing of the era before", 1, []step{listing(era(1, 10), begin(era(1, 10))), listing(90)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newEvacuatedFleet()
			for i, s := range c.steps {
				s(f, second(i+2))
			}
			assertState(t, f, c.want)
		})
	}
}

// Guards against an evacuation that a new daemon does not learn from its first entries, which may be late ones or a reader's.
func TestEvacuationAtNewDaemon(t *testing.T) {
	t.Run("key older than a removal that came first", func(t *testing.T) {
		f := New()
		change(end(12))(f, second(2))
		change(begin(11))(f, second(3))
		listing(13)(f, second(4))
		assertState(t, f, -2)
	})
	t.Run("one reader knows a key that the copy lacks, the next one does not", func(t *testing.T) {
		f := New()
		listing(era(1, 50), begin(55))(f, second(1))
		listing(era(1, 60))(f, second(2))
		assertState(t, f, 1)
	})
}

// Guards against a feed that passes on less than the fleet knows.
func TestReplaceReturnsEvacuations(t *testing.T) {
	is := is.New(t)
	f := newEvacuatedFleet()
	current := f.Replace(second(2), era(1, 5), nil)
	_, evacuated := current[0].Evacuation()
	is.True(evacuated && current[0].Revision() == 10)
	f.Apply(second(3), end(era(1, 6)))
	_, ended := f.Replace(second(4), era(1, 7), nil)[0].EvacuationEnd()
	is.True(ended)
}

// Guards against memory that grows with each evacuation, and against one of a failure domain without targets.
func TestEvacuationIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newEvacuatedFleet()
	f.Apply(second(2), basillift.NewRegistryEntry("evacuate z", 11).WithEvacuation("z"))
	is.Equal(f.Evacuations()[1], Evacuation{domain: "z", since: second(2)})
	f.Apply(second(2), end(12))
	f.Tick(second(2).Add(removedEntryTTL))
	assertState(t, f, -2)
	f.Tick(second(3).Add(removedEntryTTL))
	_, known := f.EvacuationEnded("a")
	is.True(!known && len(f.evacuations) == 1)
}
