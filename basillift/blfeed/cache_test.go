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

// hangGuard ends a test that would otherwise wait for ever. No verdict depends on it.
const hangGuard = 30 * time.Second

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

func entryOf(key string, revision uint64) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(key, revision).WithEndpoint(
		basillift.NewEndpoint(key, "a", "10.0.0.1:80", "z", 9, basillift.TargetReady).
			WithDaemon("10.0.0.1:81").WithStart(start, 3*time.Second).WithSequence(revision))
}

func removal(key string, revision uint64) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(key, revision)
}

// newTestShelf returns a shelf that has read two targets and table 1 at revision 20.
func newTestShelf(t *testing.T) *Cache {
	t.Helper()
	s := NewCache()
	s.Adopt(basillift.NewRegistryEntry("table", 10), table(t, 1))
	s.Replace(start, 20, []basillift.RegistryEntry{entryOf("x", 11), entryOf("y", 12)})
	return s
}

// assertReply asks a shelf and checks the state of the answer and its entries, each as key and revision.
func assertReply(t *testing.T, s *Cache, a basillift.FeedRequest, state basillift.FeedState, want ...string) {
	t.Helper()
	is := is.New(t)
	r := s.ServeFeed(context.Background(), a)
	is.Equal(r.State(), state)
	if len(want) == 0 {
		return
	}
	publications, err := decode(s.held(a.Version()), r.Body())
	is.NoErr(err)
	var got []string
	for _, p := range publications {
		text := fmt.Sprintf("%s@%d", p.Key(), p.Revision())
		if r, ok := p.RoutingSpec(); ok {
			text += fmt.Sprintf(" version %d", r.Version())
		} else if _, ok := p.Endpoint(); !ok {
			text += " gone"
		}
		got = append(got, text)
	}
	is.Equal(got, want)
}

// since asks as a daemon that holds table 1 and all changes up to a revision.
func since(known, seen uint64) basillift.FeedRequest {
	return basillift.NewFeedRequest(1, 0).Since(known, seen)
}

// Guards against followers that miss a change.
func TestShelf(t *testing.T) {
	t.Run("nothing was read", func(t *testing.T) {
		assertReply(t, NewCache(), basillift.NewFeedRequest(0, hangGuard), basillift.FeedStale)
	})
	t.Run("all entries", func(t *testing.T) {
		assertReply(t, newTestShelf(t), basillift.NewFeedRequest(0, hangGuard), basillift.FeedFull, "table@10 version 1", "x@11", "y@12")
	})
	t.Run("no news", func(t *testing.T) {
		assertReply(t, newTestShelf(t), since(20, 12), basillift.FeedUnchanged)
	})
	t.Run("changes", func(t *testing.T) {
		s := newTestShelf(t)
		s.Apply(start, entryOf("z", 21))
		s.Apply(start, removal("x", 22))
		s.Adopt(basillift.NewRegistryEntry("table", 23), table(t, 2))
		assertReply(t, s, since(20, 12), basillift.FeedChanges, "table@23 version 2", "z@21", "x@22 gone")
		assertReply(t, s, since(21, 21), basillift.FeedChanges, "table@23 version 2", "x@22 gone")
		assertReply(t, s, basillift.NewFeedRequest(0, 0), basillift.FeedFull, "table@23 version 2", "y@12", "z@21")
	})
	t.Run("a removal before the reader's own listing", func(t *testing.T) {
		// The follower holds a target that was removed at 15.
		assertReply(t, newTestShelf(t), since(14, 12), basillift.FeedFull, "x@11", "y@12")
	})
	t.Run("the follower is ahead", func(t *testing.T) {
		assertReply(t, newTestShelf(t), since(30, 30), basillift.FeedStale)
		assertReply(t, newTestShelf(t), basillift.NewFeedRequest(2, hangGuard).Since(20, 12), basillift.FeedStale)
		assertReply(t, newTestShelf(t), since(30, 12), basillift.FeedUnchanged)
	})
	t.Run("an entry on a later page than a change that the listing missed", func(t *testing.T) {
		s := NewCache()
		s.Adopt(basillift.NewRegistryEntry("table", 10), table(t, 1))
		// The first page is as of 20; y was read after x had been removed at 21.
		s.Replace(start, 20, []basillift.RegistryEntry{entryOf("x", 11), entryOf("y", 22)})
		r := s.ServeFeed(context.Background(), basillift.NewFeedRequest(1, 0))
		is.New(t).Equal(r.Revision(), uint64(20))
		s.Apply(start, removal("x", 21))
		s.Apply(start, entryOf("y", 22))
		assertReply(t, s, since(20, 12), basillift.FeedChanges, "x@21 gone", "y@22")
		assertReply(t, s, since(21, 21), basillift.FeedChanges, "y@22")
	})
	t.Run("an older change", func(t *testing.T) {
		s := newTestShelf(t)
		s.Apply(start, entryOf("x", 9))
		assertReply(t, s, since(20, 12), basillift.FeedUnchanged)
	})
	t.Run("no more than it keeps", func(t *testing.T) {
		s := newTestShelf(t)
		for i := range uint64(keptChanges + 5) {
			s.Apply(start, entryOf("z", 21+i))
		}
		is.New(t).Equal(len(s.changes), keptChanges)
		assertReply(t, s, since(20, 20), basillift.FeedFull)
		for version := uint64(2); version < 20; version++ {
			s.Adopt(basillift.NewRegistryEntry("table", 5000+version), table(t, version))
		}
		is.New(t).Equal(len(s.tables), keptTables)
	})
}

// Guards against a target that counts as slow for longer after each daemon on the way.
func TestWarmupGoesOn(t *testing.T) {
	is := is.New(t)
	e, ok := newTarget(entryOf("x", 11), 2*time.Second).publication().Endpoint()
	is.True(ok)
	is.Equal(e.WarmupRemaining(), time.Second)
	whole, _ := entryOf("x", 11).Endpoint()
	again, _ := newTarget(entryOf("x", 11), 0).publication().Endpoint()
	is.Equal(again, whole)
}

// Guards against followers that wait for a reader which is cut off itself, or which stops.
func TestShelfWait(t *testing.T) {
	ask := func(t *testing.T, then func(s *Cache, cancel context.CancelFunc)) basillift.FeedState {
		t.Helper()
		s := newTestShelf(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		replies := make(chan basillift.FeedResponse, 1)
		go func() { replies <- s.ServeFeed(ctx, basillift.NewFeedRequest(1, hangGuard).Since(20, 12)) }()
		then(s, cancel)
		return (<-replies).State()
	}
	is := is.New(t)
	is.Equal(ask(t, func(s *Cache, _ context.CancelFunc) { s.Apply(start, removal("x", 21)) }), basillift.FeedChanges)
	is.Equal(ask(t, func(s *Cache, _ context.CancelFunc) { s.SetRegistryDown(true) }), basillift.FeedStale)
	is.Equal(ask(t, func(_ *Cache, cancel context.CancelFunc) { cancel() }), basillift.FeedStale)
}

// Guards against a reader that does not know of its followers, or counts those that are gone.
func TestFollowed(t *testing.T) {
	is := is.New(t)
	s := newTestShelf(t)
	is.True(!s.HasFollowers(start))
	s.answer(start, since(20, 12))
	is.True(s.HasFollowers(start.Add(time.Second)))
	is.True(!s.HasFollowers(start.Add(followedFor)))
}

// Guards against a reader that calls itself current although the registry has fallen silent.
func TestTrust(t *testing.T) {
	is := is.New(t)
	s := newTestShelf(t)
	s.SetLastAnswer(func() time.Time { return start })
	for silence, want := range map[time.Duration]basillift.FeedState{
		trustedFor: basillift.FeedUnchanged, trustedFor + time.Millisecond: basillift.FeedStale,
	} {
		r, _ := s.answer(start.Add(silence), since(20, 12))
		is.Equal(r.State(), want)
	}
	r, _ := s.answer(start.Add(time.Hour), basillift.NewFeedRequest(0, 0))
	is.Equal(r.State(), basillift.FeedFull)
}
