package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blwatch"
)

// writerFunc is called with each line of a log.
type writerFunc func(line string)

// Write implements io.Writer.
func (f writerFunc) Write(line []byte) (int, error) {
	f(string(line))
	return len(line), nil
}

// Guards against a follower that never learns that a target has left, since its reader answered in the middle of a listing.
func TestFollowerGetsChangesOfListing(t *testing.T) {
	now := time.Now()
	target := func(revision basillift.Revision, state basillift.TargetState) basillift.RegistryEntry {
		return basillift.NewRegistryEntry("servers/i1", revision).WithEndpoint(
			basillift.NewEndpoint("i1", "catalogue", "127.0.0.1:5", "a", 4, state).WithDaemon("127.0.0.1:2"))
	}
	var d *tableDaemon
	var received strings.Builder
	complete := basillift.Revision(10)
	follow := func() {
		response := d.cache.ServeFeed(context.Background(), basillift.NewFeedRequest(1, 0).Since(complete, 10))
		if response.State() == basillift.FeedStale {
			return // A follower ignores what a reader that is behind says.
		}
		complete = max(complete, response.Revision())
		received.Write(response.Body())
	}
	d = newLoggingDaemon(t, writerFunc(func(string) { follow() }))
	d.Replace(now, 10, []basillift.RegistryEntry{target(9, basillift.TargetReady), testTable()})
	d.Replace(now, 12, []basillift.RegistryEntry{target(11, basillift.TargetDraining), testTableAt(12)})
	follow()
	is := is.New(t)
	is.Equal(complete, basillift.Revision(12))
	is.True(strings.Contains(received.String(), `"state":"draining"`))
}

// Guards against a reader that routes by an old table, since the registry answers other daemons but not this one, and against
// followers that it leaves behind afterwards.
func TestReaderWithoutRegistryGetsTable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d, _ := newQuietDaemon(t)
	other, _ := newQuietDaemon(t)
	for _, each := range []*tableDaemon{d, other} {
		each.Replace(now, 10, []basillift.RegistryEntry{testTable(), neighborEntry()})
	}
	d.fallback = newFeedFallback(d, cacheClient{other.cache}, 1)
	feedOf := func(d *tableDaemon, version uint64) basillift.FeedResponse {
		return d.cache.ServeFeed(context.Background(), basillift.NewFeedRequest(version, 0).Since(10, 3))
	}
	d.RegistryDown(now, basillift.ErrUnavailable)
	other.Apply(now, testTableAt(11))
	awaitCondition(t, "the table is in force", func() bool { return d.tables.Current().Version() == 11 })
	is.Equal(feedOf(d, 1).State(), basillift.FeedStale)
	d.RegistryRecovered(now, blwatch.NewOutage(time.Second, 2, true))
	d.Apply(now, testTableAt(11))
	is.Equal(feedOf(d, 1).State(), basillift.FeedChanges)
	is.Equal(feedOf(d, 1).Revision(), basillift.Revision(11))
	is.Equal(feedOf(d, 11).State(), basillift.FeedUnchanged)
	d.fallback.stop()
}

// stuckClient is the way to daemons that do not answer, not even to a canceled request.
type stuckClient struct{ asked, released chan struct{} }

// RequestFeed implements basillift.FeedClient.
func (c stuckClient) RequestFeed(context.Context, string, basillift.FeedRequest) (basillift.FeedResponse, error) {
	select {
	case c.asked <- struct{}{}:
	default:
	}
	<-c.released
	return basillift.FeedResponse{}, basillift.ErrUnavailable
}

// Guards against a reader that keeps its old table after an outage of the registry, since it waits for its requests to other daemons.
func TestReturnOfRegistryDoesNotWaitForOtherDaemons(t *testing.T) {
	now := time.Now()
	d, _ := newQuietDaemon(t)
	d.Replace(now, 10, []basillift.RegistryEntry{testTable(), neighborEntry()})
	client := stuckClient{make(chan struct{}, 1), make(chan struct{})}
	d.fallback = newFeedFallback(d, client, 1)
	d.RegistryDown(now, basillift.ErrUnavailable)
	<-client.asked
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		d.RegistryRecovered(now, blwatch.NewOutage(time.Second, 2, false))
		d.Apply(now, testTableAt(11))
	}()
	select {
	case <-applied:
		is.New(t).Equal(d.tables.Current().Version(), uint64(11))
	case <-time.After(testTimeout):
		t.Error("the table of the first answer is not in force")
	}
	close(client.released)
	d.fallback.stop()
}
