package blfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// at returns the revision with a number in an era.
func at(t *testing.T, era, number uint64) basillift.Revision {
	t.Helper()
	r, err := basillift.NewRevision(era, number)
	is.New(t).NoErr(err)
	return r
}

// Guards against targets that are used again, or no longer, since the registry was restored from a copy.
func TestRestoredRegistry(t *testing.T) {
	// before returns a fleet as of era 1, in which the target i1 has been changed last by an entry.
	before := func(t *testing.T, last basillift.RegistryEntry) *Fleet {
		t.Helper()
		f := New()
		f.Replace(start, at(t, 1, 50), []basillift.RegistryEntry{entryOf("i1", at(t, 1, 40), "x:1", basillift.TargetReady, 0, 7)})
		f.Apply(start, last)
		return f
	}
	copied := func(t *testing.T) []basillift.RegistryEntry {
		t.Helper()
		return []basillift.RegistryEntry{entryOf("i1", at(t, 2, 40), "x:1", basillift.TargetReady, 0, 7)}
	}
	returned := start.Add(time.Second)
	t.Run("removed in the lost span", func(t *testing.T) {
		f := before(t, removal("i1", at(t, 1, 60)))
		is.New(t).Equal(len(f.Replace(returned, at(t, 2, 50), copied(t))), 0)
		assertTargets(t, f)
		f.Apply(returned, entryOf("i1", at(t, 2, 51), "x:1", basillift.TargetReady, 0, 8))
		assertTargets(t, f, "i1")
	})
	t.Run("draining since the lost span", func(t *testing.T) {
		f := before(t, entryOf("i1", at(t, 1, 60), "x:1", basillift.TargetDraining, 0, 9))
		current := f.Replace(returned, at(t, 2, 50), copied(t))
		assertTargets(t, f)
		e, _ := current[0].Endpoint()
		is.New(t).Equal(e.State(), basillift.TargetDraining)
		is.New(t).Equal(current[0].Revision(), at(t, 2, 40))
		_, leaving, _ := f.EndpointAt("x:1")
		is.New(t).Equal(leaving, start)
		f.Apply(returned, entryOf("i1", at(t, 2, 51), "x:1", basillift.TargetDraining, 0, 10))
		_, leaving, _ = f.EndpointAt("x:1")
		is.New(t).Equal(leaving, start)
	})
	t.Run("added in the lost span and written again", func(t *testing.T) {
		f := before(t, entryOf("i2", at(t, 1, 60), "x:2", basillift.TargetReady, 0, 1))
		f.Replace(returned, at(t, 2, 50), copied(t))
		assertTargets(t, f, "i1", "i2")
		f.Apply(returned.Add(time.Second), entryOf("i2", at(t, 2, 51), "x:2", basillift.TargetReady, 0, 3))
		f.Tick(returned.Add(recoveryGrace))
		assertTargets(t, f, "i1", "i2")
	})
	t.Run("added in the lost span and never written again", func(t *testing.T) {
		f := before(t, entryOf("i2", at(t, 1, 60), "x:2", basillift.TargetReady, 0, 1))
		f.Replace(returned, at(t, 2, 50), copied(t))
		f.Tick(returned.Add(recoveryGrace))
		assertTargets(t, f, "i1")
	})
	t.Run("late change of the era before", func(t *testing.T) {
		f := New()
		f.Replace(start, at(t, 2, 50), copied(t))
		is.New(t).True(!f.Apply(returned, removal("i1", at(t, 1, 60))))
		assertTargets(t, f, "i1")
	})
	t.Run("a change with a smaller number in the next era", func(t *testing.T) {
		f := before(t, entryOf("i1", at(t, 1, 60), "x:1", basillift.TargetReady, 0, 8))
		is.New(t).True(f.Apply(returned, removal("i1", at(t, 2, 51))))
		assertTargets(t, f)
	})
}
