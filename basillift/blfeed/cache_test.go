package blfeed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

// testTimeout stops a test that would otherwise hang. No assertion depends on it.
const testTimeout = 30 * time.Second

var start = time.Unix(1_800_000_000, 0)

// table returns a table with one route that all versions have and one that only this version has.
func table(t *testing.T, version uint64) *bltable.Table {
	t.Helper()
	same := basillift.NewRoute("same", "h.example", "/same/", basillift.KindIdempotent, basillift.NewWeightedService("a", 1))
	own := basillift.NewRoute("own", "h.example", fmt.Sprintf("/%d/", version), basillift.KindIdempotent, basillift.NewWeightedService("a", 1))
	services := []basillift.ServiceLimits{basillift.NewServiceLimits("a", "/h", 10)}
	built, err := bltable.Build(basillift.NewRoutingSpec(version, []basillift.Route{same, own}, services, basillift.ClientLimits{}))
	is.New(t).NoErr(err)
	return built
}

func entryOf(key string, revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(key, revision).WithEndpoint(
		basillift.NewEndpoint(key, "a", "10.0.0.1:80", "z", 9, basillift.TargetReady).
			WithDaemon("10.0.0.1:81").WithStart(start, 3*time.Second).WithSequence(uint64(revision)))
}

func removal(key string, revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(key, revision)
}

// newTestCache returns a cache that holds two targets and table 1 at revision 20.
func newTestCache(t *testing.T) *Cache {
	t.Helper()
	c := NewCache()
	c.Adopt(basillift.NewRegistryEntry("table", 10), table(t, 1))
	c.Replace(start, 20, []basillift.RegistryEntry{entryOf("x", 11), entryOf("y", 12)})
	return c
}

// Guards against a reader that stops for good: its watcher waits for its feed cache, and the cache for the watcher.
func TestFollowerDoesNotBlockWatcher(t *testing.T) {
	c := newTestCache(t)
	c.SetLastAnswer(func() time.Time {
		returned := make(chan bool, 1)
		go func() { returned <- c.HasFollowers(start) }()
		select {
		case <-returned:
		case <-time.After(testTimeout):
			t.Error("the watcher cannot ask whether the daemon has followers")
		}
		return time.Now()
	})
	assertReply(t, c, changesSince(20, 20), basillift.FeedUnchanged)
}

// assertReply sends a request to a cache and checks the state and the entries of the response, each as key and
// revision.
func assertReply(t *testing.T, c *Cache, request basillift.FeedRequest, state basillift.FeedState, want ...string) {
	t.Helper()
	is := is.New(t)
	r := c.ServeFeed(context.Background(), request)
	is.Equal(r.State(), state)
	if len(want) == 0 {
		return
	}
	entries, err := decodeBody(c.tableByVersion(request.Version()), r.Body())
	is.NoErr(err)
	var got []string
	for _, e := range entries {
		text := fmt.Sprintf("%s@%d", e.Key(), e.Revision())
		if r, ok := e.RoutingSpec(); ok {
			text += fmt.Sprintf(" version %d", r.Version())
		} else if _, ok := e.Endpoint(); !ok {
			text += " gone"
		}
		got = append(got, text)
	}
	is.Equal(got, want)
}

// changesSince returns the request of a daemon that holds table 1 and all changes up to a revision.
func changesSince(complete, newest basillift.Revision) basillift.FeedRequest {
	return basillift.NewFeedRequest(1, 0).Since(complete, newest)
}

// Guards against followers that miss a change.
func TestCache(t *testing.T) {
	t.Run("nothing has been read", func(t *testing.T) {
		assertReply(t, NewCache(), basillift.NewFeedRequest(0, testTimeout), basillift.FeedStale)
	})
	t.Run("all entries", func(t *testing.T) {
		assertReply(t, newTestCache(t), basillift.NewFeedRequest(0, testTimeout), basillift.FeedFull, "table@10 version 1", "x@11", "y@12")
	})
	t.Run("no changes", func(t *testing.T) {
		assertReply(t, newTestCache(t), changesSince(20, 12), basillift.FeedUnchanged)
	})
	t.Run("changes", func(t *testing.T) {
		c := newTestCache(t)
		c.Apply(start, entryOf("z", 21))
		c.Apply(start, removal("x", 22))
		c.Adopt(basillift.NewRegistryEntry("table", 23), table(t, 2))
		assertReply(t, c, changesSince(20, 12), basillift.FeedChanges, "table@23 version 2", "z@21", "x@22 gone")
		assertReply(t, c, changesSince(21, 21), basillift.FeedChanges, "table@23 version 2", "x@22 gone")
		assertReply(t, c, basillift.NewFeedRequest(0, 0), basillift.FeedFull, "table@23 version 2", "y@12", "z@21")
	})
	t.Run("a removal before the reader's listing", func(t *testing.T) {
		// The follower holds a target that was removed at 15.
		assertReply(t, newTestCache(t), changesSince(14, 12), basillift.FeedFull, "x@11", "y@12")
	})
	t.Run("the follower is ahead", func(t *testing.T) {
		assertReply(t, newTestCache(t), changesSince(30, 30), basillift.FeedStale)
		assertReply(t, newTestCache(t), basillift.NewFeedRequest(2, testTimeout).Since(20, 12), basillift.FeedStale)
		assertReply(t, newTestCache(t), changesSince(30, 12), basillift.FeedUnchanged)
	})
	t.Run("an entry on a later page than a change that the listing missed", func(t *testing.T) {
		c := NewCache()
		c.Adopt(basillift.NewRegistryEntry("table", 10), table(t, 1))
		// The first page is as of 20; y was read after x had been removed at 21.
		c.Replace(start, 20, []basillift.RegistryEntry{entryOf("x", 11), entryOf("y", 22)})
		r := c.ServeFeed(context.Background(), basillift.NewFeedRequest(1, 0))
		is.New(t).Equal(r.Revision(), basillift.Revision(20))
		c.Apply(start, removal("x", 21))
		c.Apply(start, entryOf("y", 22))
		assertReply(t, c, changesSince(20, 12), basillift.FeedChanges, "x@21 gone", "y@22")
		assertReply(t, c, changesSince(21, 21), basillift.FeedChanges, "y@22")
	})
	t.Run("a change older than the entry", func(t *testing.T) {
		c := newTestCache(t)
		c.Apply(start, entryOf("x", 9))
		assertReply(t, c, changesSince(20, 12), basillift.FeedUnchanged)
	})
	t.Run("size limits", func(t *testing.T) {
		c := newTestCache(t)
		for i := range basillift.Revision(maxChanges + 5) {
			c.Apply(start, entryOf("z", 21+i))
		}
		is.New(t).Equal(len(c.changes), maxChanges)
		assertReply(t, c, changesSince(20, 20), basillift.FeedFull)
		for version := uint64(2); version < 20; version++ {
			c.Adopt(basillift.NewRegistryEntry("table", basillift.Revision(5000+version)), table(t, version))
		}
		is.New(t).Equal(len(c.tables), maxTables)
	})
}

// Guards against a warm-up time that does not elapse while a daemon keeps the entry, so that the target counts as slow
// for longer with each daemon that passes the entry on.
func TestWarmupElapsesInCache(t *testing.T) {
	is := is.New(t)
	e, ok := newFeedTarget(entryOf("x", 11), 2*time.Second).registryEntry().Endpoint()
	is.True(ok)
	is.Equal(e.WarmupRemaining(), time.Second)
	original, _ := entryOf("x", 11).Endpoint()
	decoded, _ := newFeedTarget(entryOf("x", 11), 0).registryEntry().Endpoint()
	is.Equal(decoded, original)
}

// Guards against followers that wait for a reader which is partitioned from the registry itself, or which is
// stopping.
func TestCacheWait(t *testing.T) {
	stateAfter := func(t *testing.T, then func(c *Cache, cancel context.CancelFunc)) basillift.FeedState {
		t.Helper()
		c := newTestCache(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		replies := make(chan basillift.FeedResponse, 1)
		go func() { replies <- c.ServeFeed(ctx, basillift.NewFeedRequest(1, testTimeout).Since(20, 12)) }()
		then(c, cancel)
		return (<-replies).State()
	}
	is := is.New(t)
	is.Equal(stateAfter(t, func(c *Cache, _ context.CancelFunc) { c.Apply(start, removal("x", 21)) }), basillift.FeedChanges)
	is.Equal(stateAfter(t, func(c *Cache, _ context.CancelFunc) { c.SetRegistryDown(true) }), basillift.FeedStale)
	is.Equal(stateAfter(t, func(_ *Cache, cancel context.CancelFunc) { cancel() }), basillift.FeedStale)
}

// Guards against a reader that is unaware of its followers, or still counts followers that have left.
func TestHasFollowers(t *testing.T) {
	is := is.New(t)
	c := newTestCache(t)
	is.True(!c.HasFollowers(start))
	c.respond(start, changesSince(20, 12))
	is.True(c.HasFollowers(start.Add(time.Second)))
	is.True(!c.HasFollowers(start.Add(followerTimeout)))
}

// Guards against a reader that reports itself as current although the registry has stopped answering.
func TestSilentRegistry(t *testing.T) {
	is := is.New(t)
	c := newTestCache(t)
	c.SetLastAnswer(func() time.Time { return start })
	for answerAge, want := range map[time.Duration]basillift.FeedState{
		maxRegistryAnswerAge: basillift.FeedUnchanged, maxRegistryAnswerAge + time.Millisecond: basillift.FeedStale,
	} {
		r, _ := c.respond(start.Add(answerAge), changesSince(20, 12))
		is.Equal(r.State(), want)
	}
	r, _ := c.respond(start.Add(time.Hour), basillift.NewFeedRequest(0, 0))
	is.Equal(r.State(), basillift.FeedFull)
}
