package blfeed

import (
	"context"
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

// newRestoredCache returns a cache that held table 1 and two targets at revision 60 of era 1, and has listed a registry of era 2 at
// revision 50 that has only one of the targets.
func newRestoredCache(t *testing.T) *Cache {
	t.Helper()
	c := NewCache()
	c.Adopt(basillift.NewRegistryEntry("table", at(t, 1, 10)), table(t, 1))
	c.Replace(start, at(t, 1, 60), []basillift.RegistryEntry{entryOf("x", at(t, 1, 55)), entryOf("y", at(t, 1, 60))})
	c.Replace(start, at(t, 2, 50), []basillift.RegistryEntry{entryOf("x", at(t, 2, 40))})
	return c
}

// Guards against followers that miss what changed when the registry was restored from a copy.
func TestCacheOfRestoredRegistry(t *testing.T) {
	is := is.New(t)
	c := newRestoredCache(t)
	t.Run("follower of the era before", func(t *testing.T) {
		r := c.ServeFeed(context.Background(), changesSince(at(t, 1, 60), at(t, 1, 60)))
		is.Equal(r.State(), basillift.FeedFull)
		is.Equal(r.Revision(), at(t, 2, 50))
	})
	t.Run("follower of the same era", func(t *testing.T) {
		assertReply(t, c, changesSince(at(t, 2, 50), at(t, 2, 40)), basillift.FeedUnchanged)
	})
	t.Run("reader of the era before", func(t *testing.T) {
		assertReply(t, newTestCache(t), changesSince(at(t, 2, 5), at(t, 2, 5)), basillift.FeedStale)
		assertReply(t, newTestCache(t), basillift.NewFeedRequest(1, 0).Since(0, at(t, 2, 5).EraStart()), basillift.FeedStale)
	})
	t.Run("table that is published again", func(t *testing.T) {
		request := changesSince(at(t, 2, 50), at(t, 2, 51))
		assertReply(t, c, request, basillift.FeedStale)
		c.Observe(basillift.NewRegistryEntry("table", at(t, 2, 51)))
		assertReply(t, c, request, basillift.FeedUnchanged)
	})
}

// Guards against a follower that follows a reader which has not noticed yet that the registry was restored.
func TestFollowerOfRestoredRegistry(t *testing.T) {
	t.Run("listing", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newTestCache(t), "d-1": newRestoredCache(t)}}
		r := m.newFollower(t)
		r.ObserveRevision(at(t, 2, 40))
		page, err := r.List(context.Background(), "")
		assertListing(t, page, err, at(t, 2, 50), "x")
	})
	t.Run("changes", func(t *testing.T) {
		m := &fakeMesh{caches: map[string]*Cache{"d-0": newTestCache(t), "d-1": newRestoredCache(t)}}
		r := m.newFollower(t)
		r.ObserveRevision(at(t, 2, 40))
		page, err := r.Changes(context.Background(), at(t, 2, 50), testTimeout, testTimeout)
		assertListing(t, page, err, at(t, 2, 50))
	})
	t.Run("late answer of the era before", func(t *testing.T) {
		r := (&fakeMesh{}).newFollower(t)
		r.ObserveRevision(at(t, 2, 40))
		r.ObserveRevision(at(t, 1, 90))
		is.New(t).Equal(r.newestKnown(), at(t, 2, 40))
	})
}
