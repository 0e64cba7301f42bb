package blfeed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

var errGone = eris.New("daemon is gone")

// mesh is a registry and daemons with a shelf each; a daemon without one does not answer.
type mesh struct {
	mutex   sync.Mutex
	shelves map[string]*Cache
	asked   []string
	failing bool
	// slow makes changes take for ever.
	slow bool
}

func (m *mesh) RequestFeed(ctx context.Context, daemon string, a basillift.FeedRequest) (basillift.FeedResponse, error) {
	m.note(daemon)
	if s := m.shelf(daemon); s != nil {
		return s.ServeFeed(ctx, a), nil
	}
	return basillift.FeedResponse{}, errGone
}

func (m *mesh) shelf(daemon string) *Cache {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.shelves[daemon]
}

func (m *mesh) change(shelves map[string]*Cache) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.shelves = shelves
}

func (m *mesh) note(asked string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.asked = append(m.asked, asked)
}

func (m *mesh) List(context.Context, string) (basillift.RegistryPage, error) {
	m.note("registry")
	if m.failing {
		return basillift.RegistryPage{}, basillift.ErrUnavailable
	}
	return basillift.NewRegistryPage([]basillift.RegistryEntry{entryOf("x", 90)}, 95, ""), nil
}

func (m *mesh) Changes(ctx context.Context, _ uint64, _ time.Duration) (basillift.RegistryPage, error) {
	if m.slow {
		<-ctx.Done()
		return basillift.RegistryPage{}, basillift.ErrUnavailable
	}
	return m.List(ctx, "")
}

// follow returns the source of a daemon that holds table 1, with two neighbors of which the first is near.
func (m *mesh) follow(t *testing.T) *FollowerRegistry {
	t.Helper()
	tables := bltable.NewHolder()
	_, err := tables.Adopt(table(t, 1).RoutingSpec())
	is.New(t).NoErr(err)
	return NewFollowerRegistry(m, m, NewReaderSelector("own"), tables, func() []basillift.Neighbor { return neighbors(2, 1) })
}

func assertListing(t *testing.T, l basillift.RegistryPage, err error, revision uint64, keys ...string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(l.Revision(), revision)
	var got []string
	for _, p := range l.Entries() {
		got = append(got, p.Key())
	}
	is.Equal(got, keys)
}

// changedShelf is a shelf on which a target was removed at revision 21.
func changedShelf(t *testing.T) *Cache {
	t.Helper()
	s := newTestShelf(t)
	s.Apply(start, removal("x", 21))
	return s
}

// silentReader is a mesh in which a followed reader has fallen silent.
type silentReader struct {
	mesh
	waits []time.Duration
}

func (m *silentReader) RequestFeed(ctx context.Context, daemon string, a basillift.FeedRequest) (basillift.FeedResponse, error) {
	m.waits = append(m.waits, a.Wait())
	return m.mesh.RequestFeed(ctx, daemon, a)
}

// Guards against a search for another reader that takes a whole wait for each one which is asked.
func TestOnlyTheFirstReaderWaits(t *testing.T) {
	m := &silentReader{}
	s := m.follow(t)
	s.peers = m
	for _, daemon := range []string{"d-0", "d-1"} {
		s.readers.Replied(time.Now(), daemon, basillift.NewFeedResponse(basillift.FeedUnchanged, 1))
	}
	_, err := s.Changes(context.Background(), 20, hangGuard)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(m.waits, []time.Duration{feedWait, 0})
}

// Guards against a daemon that stays behind when its readers are gone or behind themselves.
func TestChanges(t *testing.T) {
	ctx := context.Background()
	t.Run("a reader has news", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": changedShelf(t), "d-1": changedShelf(t)}}
		l, err := m.follow(t).Changes(ctx, 20, hangGuard)
		assertListing(t, l, err, 21, "x")
	})
	t.Run("one reader is gone", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-1": changedShelf(t)}}
		l, err := m.follow(t).Changes(ctx, 20, hangGuard)
		assertListing(t, l, err, 21, "x")
	})
	t.Run("one reader is away", func(t *testing.T) {
		away := newTestShelf(t)
		away.SetRegistryDown(true)
		m := &mesh{shelves: map[string]*Cache{"d-0": away, "d-1": changedShelf(t)}}
		l, err := m.follow(t).Changes(ctx, 20, hangGuard)
		assertListing(t, l, err, 21, "x")
	})
	t.Run("one reader missed what another one told", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": changedShelf(t), "d-1": changedShelf(t)}}
		s := m.follow(t)
		l, err := s.Changes(ctx, 20, hangGuard)
		assertListing(t, l, err, 21, "x")
		m.change(map[string]*Cache{"d-0": newTestShelf(t), "d-1": changedShelf(t)})
		l, err = s.Changes(ctx, 21, 0)
		assertListing(t, l, err, 21)
	})
	t.Run("a reader lacks what others have seen", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": newTestShelf(t), "d-1": changedShelf(t)}}
		s := m.follow(t)
		s.ObserveRevision(21)
		l, err := s.Changes(ctx, 20, hangGuard)
		assertListing(t, l, err, 21, "x")
	})
	t.Run("a reader lacks older changes", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": changedShelf(t), "d-1": changedShelf(t)}}
		_, err := m.follow(t).Changes(ctx, 5, hangGuard)
		is.New(t).True(errors.Is(err, basillift.ErrCompacted))
	})
	t.Run("there is no reader", func(t *testing.T) {
		m := &mesh{}
		l, err := m.follow(t).Changes(ctx, 20, hangGuard)
		assertListing(t, l, err, 95, "x")
		is.New(t).Equal(len(m.asked), 3)
	})
	t.Run("the registry's changes are long on their way", func(t *testing.T) {
		m := &mesh{slow: true}
		_, err := m.follow(t).Changes(ctx, 20, hangGuard)
		is.New(t).True(errors.Is(err, basillift.ErrCompacted))
	})
	t.Run("no reader is left", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": changedShelf(t)}}
		s := m.follow(t)
		_, err := s.Changes(ctx, 20, hangGuard)
		is.New(t).NoErr(err)
		m.change(nil)
		_, err = s.Changes(ctx, 21, hangGuard)
		is.New(t).True(errors.Is(err, basillift.ErrCompacted))
		l, err := s.List(ctx, "")
		assertListing(t, l, err, 95, "x")
		l, err = s.Changes(ctx, 95, hangGuard)
		assertListing(t, l, err, 95, "x")
	})
}

// Guards against a daemon that knows nothing although another one does, and against a list that counts as older than
// what is held.
func TestList(t *testing.T) {
	ctx := context.Background()
	t.Run("a reader is asked first", func(t *testing.T) {
		m := &mesh{failing: true, shelves: map[string]*Cache{"d-1": newTestShelf(t)}}
		l, err := m.follow(t).List(ctx, "")
		assertListing(t, l, err, 20, "x", "y")
	})
	t.Run("the reader's revision is older, its entries are not", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": newTestShelf(t)}}
		s := m.follow(t)
		s.known.Store(33)
		l, err := s.List(ctx, "")
		assertListing(t, l, err, 33, "x", "y")
	})
	t.Run("later pages come from the registry", func(t *testing.T) {
		m := &mesh{shelves: map[string]*Cache{"d-0": newTestShelf(t)}}
		l, err := m.follow(t).List(ctx, "w")
		assertListing(t, l, err, 95, "x")
	})
}
