package blfeed

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

func begin(revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry("evacuate z", revision).WithEvacuation("z")
}

func end(revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry("evacuate z", revision).WithEvacuationEnd("z")
}

// newEvacuatedCache returns a cache whose registry evacuated failure domain "z" at revision 21.
func newEvacuatedCache(t *testing.T) *Cache {
	t.Helper()
	c := newTestCache(t)
	c.Apply(start, begin(21))
	return c
}

// follow applies what a follower with one reader gets at a revision, 0 for a listing, to its fleet. It reports whether failure
// domain "z" is evacuated then.
func follow(t *testing.T, f *blfleet.Fleet, reader *Cache, revision basillift.Revision) (evacuated bool) {
	t.Helper()
	m := &fakeMesh{failing: true, caches: map[string]*Cache{"d-0": reader}}
	r := m.newFollower(t)
	if revision == 0 {
		page, err := r.List(context.Background(), "")
		is.New(t).NoErr(err)
		f.Replace(start, page.Revision(), page.Entries())
	} else {
		page, err := r.Changes(context.Background(), revision, 0, testTimeout)
		is.New(t).NoErr(err)
		for _, e := range page.Entries() {
			f.Apply(start, e)
		}
	}
	_, evacuated = f.Evacuated("z")
	return evacuated
}

// Guards against a follower that does not learn of an evacuation, or never learns of its end.
func TestEvacuationReachesFollowers(t *testing.T) {
	t.Run("by changes", func(t *testing.T) {
		is := is.New(t)
		f, c := blfleet.New(), newEvacuatedCache(t)
		is.True(follow(t, f, c, 20))
		c.Apply(start, end(22))
		is.True(!follow(t, f, c, 21))
		c.Apply(start, begin(23))
		is.True(follow(t, f, c, 22))
	})
	t.Run("set and removed before the reader's request", func(t *testing.T) {
		is := is.New(t)
		f, c := blfleet.New(), newTestCache(t)
		c.Apply(start, end(22))
		is.True(!follow(t, f, c, 20))
		_, ended := f.EvacuationEnded("z")
		is.True(ended)
	})
	t.Run("by a full body", func(t *testing.T) {
		is := is.New(t)
		f, c := blfleet.New(), newEvacuatedCache(t)
		is.True(follow(t, f, c, 0))
		c.Apply(start, end(22))
		is.True(!follow(t, f, c, 0))
	})
	t.Run("by a full body of a reader that listed the registry after the removal", func(t *testing.T) {
		is := is.New(t)
		f, c := blfleet.New(), newEvacuatedCache(t)
		is.True(follow(t, f, c, 20))
		c.Replace(start, 25, []basillift.RegistryEntry{entryOf("x", 11)})
		is.True(!follow(t, f, c, 0))
	})
	t.Run("removed after the registry was restored", func(t *testing.T) {
		is := is.New(t)
		f, late, c := blfleet.New(), blfleet.New(), newEvacuatedCache(t)
		is.True(follow(t, f, c, 20))
		is.True(follow(t, late, c, 20))
		c.Replace(start, at(t, 2, 15), []basillift.RegistryEntry{begin(21)})
		is.True(follow(t, f, c, 0))
		c.Apply(start, end(at(t, 2, 16)))
		is.True(!follow(t, f, c, 0))
		// This one knows of the new era only from here on.
		is.True(!follow(t, late, c, 0))
	})
}

// Guards against an evacuation that ends at a follower, since it lists a reader that has not received it yet.
func TestListingOfReaderWithoutEvacuation(t *testing.T) {
	ctx := context.Background()
	m := &fakeMesh{caches: map[string]*Cache{"d-0": newEvacuatedCache(t)}}
	r := m.newFollower(t)
	page, err := r.Changes(ctx, 20, 0, testTimeout)
	assertListing(t, page, err, 21, "evacuate z")
	m.setCaches(map[string]*Cache{"d-0": newTestCache(t)})
	page, err = r.List(ctx, "")
	// The registry itself answers.
	assertListing(t, page, err, 95, "x")
}

// Guards against a follower that takes a reader for stale, since the newest change is a removal that its listing does not show.
func TestReaderListedAfterRemoval(t *testing.T) {
	c := newTestCache(t)
	assertReply(t, c, changesSince(20, 18), basillift.FeedUnchanged)
	assertReply(t, c, basillift.NewFeedRequest(1, 0).Since(0, 20), basillift.FeedFull, "x@11", "y@12")
	assertReply(t, c, changesSince(20, 21), basillift.FeedStale)
}

// Guards against a daemon of an older version that takes an evacuation for a target. It reads "gone" and ignores the other fields.
func TestEvacuationForOlderDaemons(t *testing.T) {
	for _, e := range []basillift.RegistryEntry{begin(21), end(22)} {
		is := is.New(t)
		data, err := json.Marshal(newFeedTarget(e, 0))
		is.NoErr(err)
		var fields map[string]any
		is.NoErr(json.Unmarshal(data, &fields))
		is.Equal(fields["gone"], true)
		is.Equal(fields["instance"], nil)
	}
}
