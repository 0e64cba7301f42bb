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
	"basillift.dev/basillift/common/bltrace"
)

var errGone = eris.New("daemon is gone")

// fakeMesh is a registry and several daemons with a cache each; a daemon without a cache does not answer.
type fakeMesh struct {
	mutex    sync.Mutex
	caches   map[string]*Cache
	requests []string
	// registryWaits holds the waits of requests for changes to the registry itself.
	registryWaits []time.Duration
	failing       bool
	// slowChanges makes Changes block until its context ends.
	slowChanges bool
}

func (m *fakeMesh) RequestFeed(ctx context.Context, daemon string, request basillift.FeedRequest) (basillift.FeedResponse, error) {
	m.record(daemon)
	if c := m.cache(daemon); c != nil {
		return c.ServeFeed(ctx, request), nil
	}
	return basillift.FeedResponse{}, errGone
}

func (m *fakeMesh) cache(daemon string) *Cache {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.caches[daemon]
}

func (m *fakeMesh) setCaches(caches map[string]*Cache) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.caches = caches
}

func (m *fakeMesh) record(request string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests = append(m.requests, request)
}

func (m *fakeMesh) List(context.Context, string) (basillift.RegistryPage, error) {
	m.record("registry")
	if m.failing {
		return basillift.RegistryPage{}, basillift.ErrUnavailable
	}
	return basillift.NewRegistryPage([]basillift.RegistryEntry{entryOf("x", 90)}, 95, ""), nil
}

func (m *fakeMesh) Changes(ctx context.Context, _ basillift.Revision, wait, _ time.Duration) (basillift.RegistryPage, error) {
	m.registryWaits = append(m.registryWaits, wait)
	if m.slowChanges {
		<-ctx.Done()
		return basillift.RegistryPage{}, basillift.ErrUnavailable
	}
	return m.List(ctx, "")
}

// newFollower returns the registry of a follower that holds table 1 and has two neighbors, the first one in its
// failure domain.
func (m *fakeMesh) newFollower(t *testing.T) *FollowerRegistry {
	t.Helper()
	tables := bltable.NewHolder()
	_, err := tables.Adopt(table(t, 1).RoutingSpec())
	is.New(t).NoErr(err)
	return NewFollowerRegistry(m, m, NewReaderSelector("own"), tables, func() []basillift.Neighbor { return neighbors(2, 1) })
}

func assertListing(t *testing.T, page basillift.RegistryPage, err error, revision basillift.Revision, keys ...string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(page.Revision(), revision)
	var got []string
	for _, e := range page.Entries() {
		got = append(got, e.Key())
	}
	is.Equal(got, keys)
}

// newChangedCache returns a cache in which a target was removed at revision 21.
func newChangedCache(t *testing.T) *Cache {
	t.Helper()
	c := newTestCache(t)
	c.Apply(start, removal("x", 21))
	return c
}

// silentMesh is a mesh in which no daemon answers. It records the wait of each request.
type silentMesh struct {
	fakeMesh
	waits []time.Duration
}

func (m *silentMesh) RequestFeed(ctx context.Context, daemon string, request basillift.FeedRequest) (basillift.FeedResponse, error) {
	m.waits = append(m.waits, request.Wait())
	return m.fakeMesh.RequestFeed(ctx, daemon, request)
}

// Guards against a lost answer of the registry that is noticed late, since the request asked for a wait although other daemons
// had told of a change.
func TestRegistryDoesNotWaitForKnownChange(t *testing.T) {
	m := &fakeMesh{}
	r := m.newFollower(t)
	_, err := r.Changes(context.Background(), 20, testTimeout, testTimeout)
	is := is.New(t)
	is.NoErr(err)
	// Other daemons may have seen the removal of an entry that a later listing does not contain.
	r.ObserveRevision(93)
	_, err = r.Changes(context.Background(), 95, testTimeout, testTimeout)
	is.NoErr(err)
	r.ObserveRevision(99)
	_, err = r.Changes(context.Background(), 95, testTimeout, testTimeout)
	is.NoErr(err)
	wait := min(testTimeout, registryWait)
	is.Equal(m.registryWaits, []time.Duration{wait, wait, 0})
}

// Guards against a search for another reader in which each request waits for changes in turn.
func TestOnlyTheFirstReaderWaits(t *testing.T) {
	m := &silentMesh{}
	r := m.newFollower(t)
	r.client = m
	for _, daemon := range []string{"d-0", "d-1"} {
		r.selector.Replied(time.Now(), daemon, basillift.NewFeedResponse(basillift.FeedUnchanged, 1))
	}
	_, err := r.Changes(context.Background(), 20, testTimeout, testTimeout)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(m.waits, []time.Duration{maxFeedWait, 0})
}

// Guards against a follower that stays behind when its readers have gone or are behind themselves.
func TestChanges(t *testing.T) {
	ctx := context.Background()
	t.Run("a reader has changes", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newChangedCache(t), "d-1": newChangedCache(t)}}
		page, err := m.newFollower(t).Changes(ctx, 20, testTimeout, testTimeout)
		assertListing(t, page, err, 21, "x")
	})
	t.Run("one reader is gone", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-1": newChangedCache(t)}}
		page, err := m.newFollower(t).Changes(ctx, 20, testTimeout, testTimeout)
		assertListing(t, page, err, 21, "x")
	})
	t.Run("one reader is partitioned from the registry", func(t *testing.T) {
		down := newTestCache(t)
		down.SetRegistryDown(true)
		m := &fakeMesh{caches: map[string]*Cache{"d-0": down, "d-1": newChangedCache(t)}}
		page, err := m.newFollower(t).Changes(ctx, 20, testTimeout, testTimeout)
		assertListing(t, page, err, 21, "x")
	})
	t.Run("one reader lacks a change that another one reported", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newChangedCache(t), "d-1": newChangedCache(t)}}
		r := m.newFollower(t)
		page, err := r.Changes(ctx, 20, testTimeout, testTimeout)
		assertListing(t, page, err, 21, "x")
		m.setCaches(map[string]*Cache{"d-0": newTestCache(t), "d-1": newChangedCache(t)})
		page, err = r.Changes(ctx, 21, 0, testTimeout)
		assertListing(t, page, err, 21)
	})
	t.Run("a reader lacks what others have seen", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newTestCache(t), "d-1": newChangedCache(t)}}
		r := m.newFollower(t)
		r.ObserveRevision(21)
		page, err := r.Changes(ctx, 20, testTimeout, testTimeout)
		assertListing(t, page, err, 21, "x")
	})
	t.Run("a reader lacks older changes", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newChangedCache(t), "d-1": newChangedCache(t)}}
		_, err := m.newFollower(t).Changes(ctx, 5, testTimeout, testTimeout)
		is.New(t).True(errors.Is(err, basillift.ErrCompacted))
	})
	t.Run("there is no reader", func(t *testing.T) {
		m := &fakeMesh{}
		page, err := m.newFollower(t).Changes(ctx, 20, testTimeout, testTimeout)
		assertListing(t, page, err, 95, "x")
		is.New(t).Equal(len(m.requests), 3)
	})
	t.Run("changes of the registry take too long to arrive", func(t *testing.T) {
		m := &fakeMesh{slowChanges: true}
		_, err := m.newFollower(t).Changes(ctx, 20, testTimeout, testTimeout)
		is.New(t).True(errors.Is(err, basillift.ErrCompacted))
	})
	t.Run("no reader is left", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newChangedCache(t)}}
		r := m.newFollower(t)
		_, err := r.Changes(ctx, 20, testTimeout, testTimeout)
		is.New(t).NoErr(err)
		m.setCaches(nil)
		_, err = r.Changes(ctx, 21, testTimeout, testTimeout)
		is.New(t).True(errors.Is(err, basillift.ErrCompacted))
		page, err := r.List(ctx, "")
		assertListing(t, page, err, 95, "x")
		page, err = r.Changes(ctx, 95, testTimeout, testTimeout)
		assertListing(t, page, err, 95, "x")
	})
}

// Guards against a daemon without entries although another daemon has them, and against a listing that counts as
// older than what the daemon already holds.
func TestList(t *testing.T) {
	ctx := context.Background()
	t.Run("a reader is asked first", func(t *testing.T) {
		m := &fakeMesh{failing: true, caches: map[string]*Cache{"d-1": newTestCache(t)}}
		page, err := m.newFollower(t).List(ctx, "")
		assertListing(t, page, err, 20, "x", "y")
	})
	t.Run("the reader's revision is older, its entries are not", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newTestCache(t)}}
		r := m.newFollower(t)
		r.completeRevision.raise(33)
		page, err := r.List(ctx, "")
		assertListing(t, page, err, 33, "x", "y")
	})
	t.Run("later pages come from the registry", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newTestCache(t)}}
		page, err := m.newFollower(t).List(ctx, "w")
		assertListing(t, page, err, 95, "x")
	})
}

// slowMesh is a mesh whose daemons take longer than probeTimeout to transfer an answer that has begun.
type slowMesh struct{ fakeMesh }

func (m *slowMesh) RequestFeed(ctx context.Context, daemon string, request basillift.FeedRequest) (basillift.FeedResponse, error) {
	bltrace.AnswerBegun(ctx)
	select {
	case <-time.After(2 * probeTimeout):
		return m.fakeMesh.RequestFeed(ctx, daemon, request)
	case <-ctx.Done():
		return basillift.FeedResponse{}, errGone
	}
}

// Guards against a follower on a slow link that reads the registry itself, since the answers of readers are cut while they
// arrive.
func TestArrivingProbeAnswerIsNotCut(t *testing.T) {
	m := &slowMesh{fakeMesh{caches: map[string]*Cache{"d-0": newChangedCache(t), "d-1": newChangedCache(t)}}}
	r := m.newFollower(t)
	r.client = m
	page, err := r.Changes(context.Background(), 20, testTimeout, testTimeout)
	assertListing(t, page, err, 21, "x")
}
