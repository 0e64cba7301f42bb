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

func inEra(t *testing.T, era, number uint64) basillift.Revision {
	t.Helper()
	r, err := basillift.NewRevision(era, number)
	is.New(t).NoErr(err)
	return r
}

// newEvacuatedFleet returns a fleet with a target in domain "a", which is evacuated at revision 10 in second 1.
func newEvacuatedFleet() *Fleet {
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	f.Apply(second(1), begin(10))
	return f
}

// assertEvacuated checks since which second domain "a" is evacuated.
func assertEvacuated(t *testing.T, f *Fleet, since int) {
	t.Helper()
	at, evacuated := f.Evacuated("a")
	if !evacuated || !at.Equal(second(since)) {
		t.Errorf("evacuated %v since %v, want since second %d", evacuated, at, since)
	}
	if _, ended := f.EvacuationEnded("a"); ended || len(f.Targets("catalogue")) != 0 {
		t.Errorf("ended %v, %d targets, want an evacuation without targets", ended, len(f.Targets("catalogue")))
	}
}

// assertEnded checks in which second the evacuation of domain "a" ended.
func assertEnded(t *testing.T, f *Fleet, want int) {
	t.Helper()
	at, ended := f.EvacuationEnded("a")
	if !ended || !at.Equal(second(want)) {
		t.Errorf("ended %v at %v, want second %d", ended, at, want)
	}
	if _, evacuated := f.Evacuated("a"); evacuated || len(f.EvacuatedTargets("catalogue")) != 0 {
		t.Error("the failure domain is still evacuated")
	}
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

// Guards against a late or repeated change that begins or ends an evacuation.
func TestEvacuationChanges(t *testing.T) {
	t.Run("older removal", func(t *testing.T) {
		f := newEvacuatedFleet()
		is.New(t).True(!f.Apply(second(2), end(9)))
		assertEvacuated(t, f, 1)
	})
	t.Run("removal that does not name the failure domain", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Apply(second(2), removal("evacuate a", 11))
		assertEnded(t, f, 2)
	})
	t.Run("key older than its removal", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Apply(second(2), end(12))
		is.New(t).True(!f.Apply(second(3), begin(11)))
		assertEnded(t, f, 2)
	})
	t.Run("key older than a removal that came first", func(t *testing.T) {
		f := New()
		f.Apply(second(2), end(12))
		f.Apply(second(3), begin(11))
		assertEnded(t, f, 2)
	})
	t.Run("set, removed and set again within a second", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Apply(second(1).Add(300*time.Millisecond), end(11))
		f.Apply(second(2), begin(12))
		assertEvacuated(t, f, 2)
	})
	t.Run("set and removed again before this daemon read it", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Apply(second(2), end(11))
		f.Apply(second(3), end(13))
		assertEnded(t, f, 3)
		f.Apply(second(4), end(13))
		assertEnded(t, f, 3)
	})
	t.Run("set twice", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Apply(second(2), begin(11))
		assertEvacuated(t, f, 1)
	})
	t.Run("a removal is forgotten", func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet()
		f.Apply(second(2), end(11))
		f.Tick(second(2).Add(removedEntryTTL))
		assertEnded(t, f, 2)
		f.Tick(second(3).Add(removedEntryTTL))
		_, known := f.EvacuationEnded("a")
		is.True(!known && len(f.evacuations) == 0)
	})
	t.Run("all failure domains, also one without targets", func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet()
		f.Apply(second(2), basillift.NewRegistryEntry("evacuate z", 11).WithEvacuation("z"))
		assertEvacuated(t, f, 1)
		is.Equal(f.Evacuations()[1], Evacuation{domain: "z", since: second(2)})
		is.Equal(f.VMCount(), 1)
	})
}

// Guards against a listing that ends an evacuation which it does not know of, or keeps one that has ended.
func TestEvacuationInListings(t *testing.T) {
	t.Run("with the key", func(t *testing.T) {
		f := New()
		f.Replace(second(1), 20, []basillift.RegistryEntry{ready("i1", 1, "x:1"), begin(10)})
		assertEvacuated(t, f, 1)
	})
	t.Run("without the key", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Replace(second(2), 20, []basillift.RegistryEntry{ready("i1", 1, "x:1")})
		assertEnded(t, f, 2)
		f.Apply(second(3), begin(15))
		assertEnded(t, f, 2)
		f.Apply(second(4), begin(21))
		assertEvacuated(t, f, 4)
	})
	t.Run("just after an outage of the registry", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.RegistryRecovered(second(2))
		f.Replace(second(2), 20, nil)
		assertEnded(t, f, 2)
		assertTargets(t, f, "i1")
	})
	t.Run("older than the key", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Replace(second(2), 9, nil)
		assertEvacuated(t, f, 1)
	})
	t.Run("older than a listing with the key", func(t *testing.T) {
		f := newEvacuatedFleet()
		f.Replace(second(2), 20, []basillift.RegistryEntry{begin(10)})
		f.Replace(second(3), 15, nil)
		assertEvacuated(t, f, 1)
	})
	t.Run("with a key older than its removal", func(t *testing.T) {
		is := is.New(t)
		f := newEvacuatedFleet()
		f.Apply(second(2), end(12))
		current := f.Replace(second(3), 11, []basillift.RegistryEntry{begin(10)})
		assertEnded(t, f, 2)
		_, ended := current[0].EvacuationEnd()
		is.True(ended && len(current) == 1)
	})
}

// Guards against an evacuation that ends because the registry has lost its key, and one that the operator can't end any more.
func TestEvacuationAfterRestore(t *testing.T) {
	evacuated := func(t *testing.T) *Fleet {
		t.Helper()
		f := New()
		f.Replace(second(1), inEra(t, 1, 60), []basillift.RegistryEntry{ready("i1", 1, "x:1"), begin(inEra(t, 1, 55))})
		return f
	}
	t.Run("the copy lacks the key", func(t *testing.T) {
		is := is.New(t)
		f := evacuated(t)
		for i, number := range []uint64{50, 70} {
			current := f.Replace(second(2+i), inEra(t, 2, number), nil)
			assertEvacuated(t, f, 1)
			is.Equal(len(current), 1)
			is.Equal(current[0].Revision(), inEra(t, 1, 55))
		}
		f.Apply(second(4), end(inEra(t, 2, 71)))
		assertEnded(t, f, 4)
	})
	t.Run("the operator sets the key again and removes it", func(t *testing.T) {
		f := evacuated(t)
		f.Replace(second(2), inEra(t, 2, 50), nil)
		f.Apply(second(3), begin(inEra(t, 2, 51)))
		assertEvacuated(t, f, 1)
		f.Replace(second(4), inEra(t, 2, 60), nil)
		assertEnded(t, f, 4)
	})
	t.Run("the copy still has the key that was removed", func(t *testing.T) {
		f := evacuated(t)
		f.Apply(second(2), end(inEra(t, 1, 61)))
		f.Replace(second(3), inEra(t, 2, 56), []basillift.RegistryEntry{ready("i1", inEra(t, 2, 1), "x:1"), begin(inEra(t, 2, 55))})
		assertEvacuated(t, f, 3)
	})
	t.Run("one reader knows the lost key, the next one does not", func(t *testing.T) {
		f := New()
		f.Replace(second(1), inEra(t, 2, 50), []basillift.RegistryEntry{ready("i1", 1, "x:1"), begin(inEra(t, 1, 55))})
		f.Replace(second(3), inEra(t, 2, 60), nil)
		assertEvacuated(t, f, 1)
	})
	t.Run("late listing of the era before", func(t *testing.T) {
		f := evacuated(t)
		f.Replace(second(2), inEra(t, 2, 56), []basillift.RegistryEntry{begin(inEra(t, 2, 55))})
		f.Replace(second(3), inEra(t, 1, 90), nil)
		assertEvacuated(t, f, 1)
	})
}
