package blfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

var start = time.Unix(1_800_000_000, 0)

// entryOf returns the entry of a target that started at the given second, with a sequence number of its writes.
func entryOf(key string, revision basillift.Revision, address string, state basillift.TargetState, startSecond, sequence int) basillift.RegistryEntry {
	e := basillift.NewEndpoint(key, "catalogue", address, "a", 9, state).
		WithStart(start.Add(time.Duration(startSecond)*time.Second), 0).WithSequence(uint64(sequence))
	return basillift.NewRegistryEntry(key, revision).WithEndpoint(e)
}

func ready(key string, revision basillift.Revision, address string) basillift.RegistryEntry {
	return entryOf(key, revision, address, basillift.TargetReady, 0, int(revision))
}

func removal(key string, revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(key, revision)
}

func assertTargets(t *testing.T, f *Fleet, want ...string) {
	t.Helper()
	targets := f.Targets("catalogue")
	got := make([]string, 0, len(targets))
	for _, target := range targets {
		got = append(got, target.Endpoint().Instance())
	}
	if len(got) != len(want) {
		t.Fatalf("targets %v, want %v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("targets %v, want %v", got, want)
		}
	}
}

// Guards against a service without targets, since another writer has put entries of an unknown service at their addresses.
func TestEntryOfUnknownServiceHidesNoTarget(t *testing.T) {
	other := func(revision basillift.Revision, service string) basillift.RegistryEntry {
		return basillift.NewRegistryEntry("i9", revision).WithEndpoint(basillift.NewEndpoint("i9", service, "x:1", "a", 9, basillift.TargetReady))
	}
	services := func(names ...string) (all []basillift.ServiceLimits) {
		for _, name := range names {
			all = append(all, basillift.NewServiceLimits(name, "/h", 10))
		}
		return all
	}
	f := New()
	f.SetServices(services("catalogue", "orders"))
	f.Apply(start, ready("i1", 1, "x:1"))
	f.Apply(start, other(2, "nowhere"))
	assertTargets(t, f, "i1")
	f.Apply(start, other(3, "orders"))
	assertTargets(t, f)
	f.SetServices(services("catalogue"))
	assertTargets(t, f, "i1")
}

func TestChanges(t *testing.T) {
	t.Run("a draining target is not used", func(t *testing.T) {
		f := New()
		f.Apply(start, ready("i1", 1, "x:1"))
		f.Apply(start, ready("i2", 2, "x:2"))
		f.Apply(start, entryOf("i1", 3, "x:1", basillift.TargetDraining, 0, 5))
		assertTargets(t, f, "i2")
		_, leaving, known := f.EndpointAt("x:1")
		is.New(t).True(known && leaving.Equal(start))
	})
	t.Run("an invalid entry removes its target", func(t *testing.T) {
		f := New()
		f.Apply(start, ready("i1", 1, "x:1"))
		f.Apply(start, basillift.NewRegistryEntry("i1", 2).WithInvalid(basillift.ErrRefused))
		assertTargets(t, f)
	})
	t.Run("a listing removes the targets that it lacks", func(t *testing.T) {
		f := New()
		f.Apply(start, ready("i1", 1, "x:1"))
		f.Replace(start, 2, []basillift.RegistryEntry{ready("i2", 2, "x:2")})
		assertTargets(t, f, "i2")
	})
	t.Run("a change older than the known entry is ignored", func(t *testing.T) {
		f := New()
		f.Apply(start, removal("i1", 9))
		f.Apply(start, ready("i1", 10, "x:1"))
		f.Apply(start, removal("i1", 9))
		assertTargets(t, f, "i1")
	})
}

// Guards against an old entry that is written late and makes a draining or removed target usable again.
func TestLateEntries(t *testing.T) {
	t.Run("from the same run", func(t *testing.T) {
		f := New()
		f.Apply(start, entryOf("i1", 1, "x:1", basillift.TargetDraining, 0, 7))
		f.Apply(start, entryOf("i1", 2, "x:1", basillift.TargetReady, 0, 6))
		assertTargets(t, f)
	})
	t.Run("from an earlier run", func(t *testing.T) {
		f := New()
		f.Apply(start, entryOf("i1", 1, "x:1", basillift.TargetDraining, 10, 1))
		f.Apply(start, entryOf("i1", 2, "x:1", basillift.TargetReady, 0, 60))
		assertTargets(t, f)
	})
	t.Run("after the removal", func(t *testing.T) {
		f := New()
		f.Apply(start, entryOf("i1", 1, "x:1", basillift.TargetReady, 0, 7))
		f.Apply(start, removal("i1", 2))
		f.Apply(start, entryOf("i1", 3, "x:1", basillift.TargetReady, 0, 6))
		assertTargets(t, f)
		f.Apply(start, entryOf("i1", 4, "x:1", basillift.TargetReady, 0, 8))
		assertTargets(t, f, "i1")
	})
	t.Run("a new run under the same id is used", func(t *testing.T) {
		f := New()
		f.Apply(start, entryOf("i1", 1, "x:1", basillift.TargetDraining, 0, 7))
		f.Apply(start, entryOf("i1", 2, "x:1", basillift.TargetReady, 10, 1))
		assertTargets(t, f, "i1")
	})
}

// Guards against requests for a service that are sent to an address which another service has taken over.
func TestReusedAddress(t *testing.T) {
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	other := basillift.NewEndpoint("i2", "gallery", "x:1", "a", 9, basillift.TargetReady)
	f.Apply(start, basillift.NewRegistryEntry("i2", 2).WithEndpoint(other))
	assertTargets(t, f)
	is.New(t).Equal(len(f.Targets("gallery")), 1)
}

// Guards against a service without targets after an outage in which the registry lost the entries of running targets.
func TestRegistryRecovered(t *testing.T) {
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	f.Apply(start, ready("i2", 2, "x:2"))
	f.RegistryRecovered(start)
	f.Replace(start, 8, nil)
	assertTargets(t, f, "i1", "i2")
	f.Apply(start.Add(time.Second), ready("i2", 9, "x:2"))
	f.Tick(start.Add(recoveryGrace))
	assertTargets(t, f, "i2")
}

// Guards against requests to a target that leaves just after the end of an outage, until the end of the grace period.
func TestRemovedAfterRecovery(t *testing.T) {
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	f.Apply(start, ready("i2", 2, "x:2"))
	f.RegistryRecovered(start)
	f.Apply(start.Add(30*time.Millisecond), removal("i2", 3))
	assertTargets(t, f, "i1")
}

// Guards against a target that is dropped because its entry expired during an outage of the registry.
func TestExpiredDuringOutage(t *testing.T) {
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	f.RegistryRecovered(start)
	f.Apply(start, removal("i1", 2))
	assertTargets(t, f, "i1")
	f.Tick(start.Add(recoveryGrace))
	assertTargets(t, f)
}

// Guards against a daemon that keeps sending requests to its own target after the entry was removed.
func TestRemovedTargetIsLeaving(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Apply(start, ready("i1", 1, "x:1"))
	f.Apply(start.Add(time.Second), removal("i1", 2))
	_, leaving, known := f.EndpointAt("x:1")
	is.True(known && leaving.Equal(start.Add(time.Second)))
	f.Apply(start.Add(2*time.Second), ready("i1", 3, "x:1"))
	_, leaving, known = f.EndpointAt("x:1")
	is.True(known && leaving.IsZero())
}
