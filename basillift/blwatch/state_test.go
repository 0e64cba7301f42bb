package blwatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

var start = time.Unix(1_800_000_000, 0)

func newState() *WatchState { return NewWatchState(start, rand.New(rand.NewSource(1))) }

func publications(keys ...string) []basillift.RegistryEntry {
	all := make([]basillift.RegistryEntry, 0, len(keys))
	for _, k := range keys {
		all = append(all, basillift.NewRegistryEntry(k, 1))
	}
	return all
}

func assertStep(t *testing.T, s Operation, kind OperationKind, after string, revision uint64) {
	t.Helper()
	if s.Kind() != kind || s.After() != after || s.Revision() != revision {
		t.Errorf("step %s after %q from %d, want %s after %q from %d", s.Kind(), s.After(), s.Revision(), kind, after, revision)
	}
}

// Guards against changes that are missed between the pages of a listing.
func TestPages(t *testing.T) {
	is := is.New(t)
	s := newState()
	assertStep(t, s.Next(start), OperationList, "", 0)
	_, complete, _ := s.Listed(start, basillift.NewRegistryPage(publications("a"), 7, "a"))
	is.True(!complete)
	assertStep(t, s.Next(start), OperationList, "a", 0)
	all, complete, _ := s.Listed(start, basillift.NewRegistryPage(publications("b"), 9, ""))
	is.True(complete)
	is.Equal(len(all), 2)
	assertStep(t, s.Next(start), OperationChanges, "", 7)
}

// Guards against a follower that stays behind after the registry has dropped its history.
func TestCompacted(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	lost := s.Failed(start, fmt.Errorf("watch: %w", basillift.ErrCompacted))
	is.True(!lost)
	assertStep(t, s.Next(start), OperationList, "", 0)
	is.Equal(s.Next(start).Pause(), time.Duration(0))
}

// Guards against an answer from a registry that is behind taking back what is known.
func TestOldListing(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(publications("a"), 9, ""))
	s.Failed(start, basillift.ErrCompacted)
	_, complete, _ := s.Listed(start, basillift.NewRegistryPage(nil, 8, ""))
	is.True(!complete)
	is.True(s.Next(start).Pause() > 0)
	s.Changed(start, basillift.NewRegistryPage(nil, 3, ""))
	is.Equal(s.revision, uint64(9))
}

// Guards against a herd of daemons that asks a registry in trouble without pause, and against one that forgets to ask.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	last := time.Duration(0)
	for range 12 {
		s.Failed(start, basillift.ErrUnavailable)
		pause := s.Next(start).Pause()
		is.True(pause >= retryFirst/2 && pause <= retryMost)
		last = pause
	}
	is.True(last >= retryMost/2)
	is.True(s.Changed(start, basillift.NewRegistryPage(nil, 8, "")))
	is.Equal(s.Next(start).Pause(), time.Duration(0))
}

// Guards against a call to the registry for each of many changes in quick succession.
func TestStorm(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(publications("a"), 8, ""))
	is.Equal(s.Next(start).Pause(), changePause)
	is.Equal(s.Next(start.Add(changePause)).Pause(), time.Duration(0))
}

// Guards against changes that fill a thin link.
func TestThinLink(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(publications("a"), 8, "").WithTransferTime(250*time.Millisecond))
	is.Equal(s.Next(start).Pause(), 750*time.Millisecond)
	s.Changed(start, basillift.NewRegistryPage(publications("a"), 9, "").WithTransferTime(time.Second))
	is.Equal(s.Next(start).Pause(), transferPause)
}

// Guards against entries that are kept for a registry which was never away: only this daemon was cut off from it.
func TestCut(t *testing.T) {
	away := func(hear func(s *WatchState)) bool {
		s := newState()
		s.Listed(start, basillift.NewRegistryPage(publications("a"), 7, ""))
		s.Failed(start, basillift.ErrUnavailable)
		s.Failed(start, basillift.ErrUnavailable)
		hear(s)
		is.New(t).True(s.Changed(start, basillift.NewRegistryPage(nil, 9, "")))
		return s.Partitioned()
	}
	t.Run("others are ahead meanwhile", func(t *testing.T) {
		is.New(t).True(away(func(s *WatchState) { s.ObserveRevision(start, 5) }))
	})
	t.Run("nobody is ahead", func(t *testing.T) {
		is.New(t).True(!away(func(s *WatchState) { s.ObserveRevision(start, 1) }))
	})
}

// Guards against a daemon that stays behind others because the answer to its wait was lost.
func TestHearsay(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(publications("a"), 7, ""))
	_, behind := s.ObserveRevision(start, 1)
	is.True(!behind)
	due, behind := s.ObserveRevision(start, 2)
	is.True(behind)
	is.True(!s.Overdue(start))
	is.True(s.Overdue(due))
	s.Changed(start, basillift.NewRegistryPage([]basillift.RegistryEntry{basillift.NewRegistryEntry("a", 2)}, 8, ""))
	is.True(!s.Overdue(due))
}

// Guards against followers of a daemon that are behind when they count as in touch again, since it waited too long itself.
func TestFollowed(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	is.Equal(s.Next(start).Wait(), changeWait)
	s.SetFollowed(true)
	is.True(s.Next(start).Wait()+2*relayPause < changeWait)
}

// Guards against the pauses of two daemons in a row that add up.
func TestRelayed(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(publications("a"), 8, "").WithRelayed())
	is.Equal(s.Next(start).Pause(), relayPause)
}
