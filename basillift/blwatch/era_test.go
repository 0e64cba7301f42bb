package blwatch

import (
	"testing"

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

func entryAt(t *testing.T, key string, era, number uint64) []basillift.RegistryEntry {
	t.Helper()
	return []basillift.RegistryEntry{basillift.NewRegistryEntry(key, at(t, era, number))}
}

// watchingState returns the state of a watcher that has listed the registry and has seen changes up to a revision.
func watchingState(t *testing.T, era, number uint64) *WatchState {
	t.Helper()
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(entryAt(t, "a", era, number), at(t, era, number), ""))
	return s
}

// Guards against a registry that was restored from a copy: its revisions are smaller, and number other states.
func TestRestoredRegistry(t *testing.T) {
	t.Run("a listing with a smaller number is newer", func(t *testing.T) {
		is := is.New(t)
		s := watchingState(t, 1, 60)
		s.Failed(start, basillift.ErrCompacted)
		all, complete, _ := s.Listed(start, basillift.NewRegistryPage(entryAt(t, "a", 2, 40), at(t, 2, 50), ""))
		is.True(complete)
		is.Equal(len(all), 1)
		assertOperation(t, s.Next(start), OperationChanges, "", at(t, 2, 50))
		is.Equal(s.NewestRevision(), at(t, 2, 40))
	})
	t.Run("changes after a number that is used again", func(t *testing.T) {
		s := watchingState(t, 1, 60)
		changes, _ := s.Changed(start, basillift.NewRegistryPage(entryAt(t, "b", 2, 61), at(t, 2, 61), ""))
		is.New(t).Equal(len(changes), 0)
		assertOperation(t, s.Next(start), OperationList, "", 0)
		is.New(t).Equal(s.Next(start).Pause().Milliseconds(), int64(0))
	})
	t.Run("an empty answer of the next era", func(t *testing.T) {
		s := watchingState(t, 1, 60)
		s.Changed(start, basillift.NewRegistryPage(nil, at(t, 2, 60), ""))
		is.New(t).True(!s.Current())
		assertOperation(t, s.Next(start), OperationList, "", 0)
	})
	t.Run("late answers of the era before", func(t *testing.T) {
		is := is.New(t)
		s := watchingState(t, 2, 50)
		changes, _ := s.Changed(start, basillift.NewRegistryPage(entryAt(t, "b", 1, 70), at(t, 1, 70), ""))
		is.Equal(len(changes), 0)
		is.True(!s.Current())
		assertOperation(t, s.Next(start), OperationChanges, "", at(t, 2, 50))
		s.Failed(start, basillift.ErrCompacted)
		_, complete, _ := s.Listed(start, basillift.NewRegistryPage(nil, at(t, 1, 70), ""))
		is.True(!complete)
		is.Equal(s.NewestRevision(), at(t, 2, 50))
	})
	t.Run("restored between two pages of a listing", func(t *testing.T) {
		is := is.New(t)
		s := newState()
		s.Listed(start, basillift.NewRegistryPage(entryAt(t, "a", 1, 60), at(t, 1, 60), "a"))
		_, complete, _ := s.Listed(start, basillift.NewRegistryPage(entryAt(t, "b", 2, 50), at(t, 2, 50), ""))
		is.True(!complete)
		assertOperation(t, s.Next(start), OperationList, "", 0)
		all, complete, _ := s.Listed(start, basillift.NewRegistryPage(entryAt(t, "a", 2, 50), at(t, 2, 50), ""))
		is.True(complete)
		is.Equal(len(all), 1)
	})
	t.Run("restored twice", func(t *testing.T) {
		s := watchingState(t, 2, 50)
		s.Changed(start, basillift.NewRegistryPage(nil, at(t, 3, 20), ""))
		s.Listed(start, basillift.NewRegistryPage(entryAt(t, "a", 3, 10), at(t, 3, 20), ""))
		assertOperation(t, s.Next(start), OperationChanges, "", at(t, 3, 20))
	})
}

// Guards against a daemon that waits for changes of a lost history, or after those of daemons that are in the era before.
func TestEraOfOtherDaemons(t *testing.T) {
	t.Run("another daemon is in the next era", func(t *testing.T) {
		is := is.New(t)
		s := watchingState(t, 1, 60)
		due, behind := s.ObserveRevision(start, at(t, 2, 20))
		is.True(behind)
		is.Equal(due, start)
		is.True(s.Overdue(start))
	})
	t.Run("another daemon is in the era before", func(t *testing.T) {
		_, behind := watchingState(t, 2, 50).ObserveRevision(start, at(t, 1, 70))
		is.New(t).True(!behind)
	})
	t.Run("a daemon that has not listed the registry yet", func(t *testing.T) {
		due, _ := newState().ObserveRevision(start, at(t, 2, 20))
		is.New(t).Equal(due, start.Add(peerLeadTimeout))
	})
}
