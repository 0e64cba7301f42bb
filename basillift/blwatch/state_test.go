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

func entries(keys ...string) []basillift.RegistryEntry {
	all := make([]basillift.RegistryEntry, 0, len(keys))
	for _, k := range keys {
		all = append(all, basillift.NewRegistryEntry(k, 1))
	}
	return all
}

func assertOperation(t *testing.T, o Operation, kind OperationKind, after string, revision basillift.Revision) {
	t.Helper()
	if o.Kind() != kind || o.After() != after || o.Revision() != revision {
		t.Errorf("operation %s after %q from %d, want %s after %q from %d", o.Kind(), o.After(), o.Revision(), kind, after, revision)
	}
}

// Guards against changes that are missed between the pages of a listing.
func TestPages(t *testing.T) {
	is := is.New(t)
	s := newState()
	assertOperation(t, s.Next(start), OperationList, "", 0)
	_, complete, _ := s.Listed(start, basillift.NewRegistryPage(entries("a"), 7, "a"))
	is.True(!complete)
	assertOperation(t, s.Next(start), OperationList, "a", 0)
	all, complete, _ := s.Listed(start, basillift.NewRegistryPage(entries("b"), 9, ""))
	is.True(complete)
	is.Equal(len(all), 2)
	assertOperation(t, s.Next(start), OperationChanges, "", 7)
}

// Guards against a watcher that stays behind after the registry has compacted its history.
func TestCompacted(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	down := s.Failed(start, fmt.Errorf("watch: %w", basillift.ErrCompacted))
	is.True(!down)
	assertOperation(t, s.Next(start), OperationList, "", 0)
	is.Equal(s.Next(start).Pause(), time.Duration(0))
}

// Guards against an answer of a registry that is behind, which replaces newer data.
func TestOldListing(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(entries("a"), 9, ""))
	s.Failed(start, basillift.ErrCompacted)
	_, complete, _ := s.Listed(start, basillift.NewRegistryPage(nil, 8, ""))
	is.True(!complete)
	is.True(s.Next(start).Pause() > 0)
	s.Changed(start, basillift.NewRegistryPage(nil, 3, ""))
	is.Equal(s.revision, basillift.Revision(9))
}

// Guards against many daemons that overload a failing registry with requests, and against a daemon that stops
// retrying.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	last := time.Duration(0)
	for range 12 {
		s.Failed(start, basillift.ErrUnavailable)
		pause := s.Next(start).Pause()
		is.True(pause >= minBackoff/2 && pause <= maxBackoff)
		last = pause
	}
	is.True(last >= maxBackoff/2)
	_, recovered := s.Changed(start, basillift.NewRegistryPage(nil, 8, ""))
	is.True(recovered)
	is.Equal(s.LastOutage().Failures(), 12)
	is.Equal(s.Next(start).Pause(), time.Duration(0))
}

// Guards against a separate request to the registry for each of many changes in quick succession.
func TestBurstOfChanges(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(entries("a"), 8, ""))
	is.Equal(s.Next(start).Pause(), minChangePause)
	is.Equal(s.Next(start.Add(minChangePause)).Pause(), time.Duration(0))
}

// Guards against changes that use up the bandwidth of a slow link.
func TestSlowLink(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(entries("a"), 8, "").WithTransferTime(250*time.Millisecond))
	is.Equal(s.Next(start).Pause(), 750*time.Millisecond)
	s.Changed(start, basillift.NewRegistryPage(entries("a"), 9, "").WithTransferTime(time.Second))
	is.Equal(s.Next(start).Pause(), maxTransferPause)
}

// Guards against entries that are kept after an outage although only this daemon was partitioned from the registry,
// which therefore lost none.
func TestPartitioned(t *testing.T) {
	partitionedAfter := func(observe func(s *WatchState)) bool {
		s := newState()
		s.Listed(start, basillift.NewRegistryPage(entries("a"), 7, ""))
		s.Failed(start, basillift.ErrUnavailable)
		s.Failed(start, basillift.ErrUnavailable)
		observe(s)
		_, recovered := s.Changed(start, basillift.NewRegistryPage(nil, 9, ""))
		is.New(t).True(recovered)
		return s.LastOutage().Partitioned()
	}
	t.Run("other daemons are ahead during the outage", func(t *testing.T) {
		is.New(t).True(partitionedAfter(func(s *WatchState) { s.ObserveRevision(start, 5) }))
	})
	t.Run("no daemon is ahead", func(t *testing.T) {
		is.New(t).True(!partitionedAfter(func(s *WatchState) { s.ObserveRevision(start, 1) }))
	})
}

// Guards against a daemon that stays behind other daemons because the answer to its request was lost.
func TestOverdue(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(entries("a"), 7, ""))
	_, behind := s.ObserveRevision(start, 1)
	is.True(!behind)
	due, behind := s.ObserveRevision(start, 2)
	is.True(behind)
	is.True(!s.Overdue(start))
	is.True(s.Overdue(due))
	s.Changed(start, basillift.NewRegistryPage([]basillift.RegistryEntry{basillift.NewRegistryEntry("a", 2)}, 8, ""))
	is.True(!s.Overdue(due))
}

// Guards against followers that are behind when they count as connected again, since the daemon that they follow
// waited for too long.
func TestWaitWithFollowers(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	is.Equal(s.Next(start).Wait(), maxWait)
	s.SetHasFollowers(true)
	is.True(s.Next(start).Wait()+2*relayedChangePause < maxWait)
}

// Guards against the pauses of a reader and its follower that add up.
func TestRelayed(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Listed(start, basillift.NewRegistryPage(nil, 7, ""))
	s.Changed(start, basillift.NewRegistryPage(entries("a"), 8, "").WithRelayed())
	is.Equal(s.Next(start).Pause(), relayedChangePause)
}
