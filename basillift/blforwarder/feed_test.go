package blforwarder

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// largeBody is larger than what is buffered at once.
var largeBody = strings.Repeat("t", maxBufferedBytes+1000)

// fakeFeed returns a large answer to daemons without a table and lists readers for those with version 2. All others
// wait until ctx ends.
type fakeFeed struct{}

// ServeFeed implements basillift.FeedServer.
func (fakeFeed) ServeFeed(ctx context.Context, r basillift.FeedRequest) basillift.FeedResponse {
	switch r.Version() {
	case 0:
		return basillift.NewFeedResponse(basillift.FeedFull, 77).WithBody([]byte(largeBody))
	case 2:
		return basillift.NewFeedResponse(basillift.FeedFollower, 0).WithReaders([]string{"10.0.0.1:1", "10.0.0.2:1"})
	}
	<-ctx.Done()
	return basillift.NewFeedResponse(basillift.FeedStale, 5)
}

func assertFeed(t *testing.T, r basillift.FeedResponse, err error, s basillift.FeedState, revision uint64) {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(r.State(), s)
	is.Equal(r.Revision(), revision)
}

// Guards against truncated tables, and against a stop that waits for pending feed requests.
func TestFeed(t *testing.T) {
	m := startMesh(t, startTarget(t, answerOK), startTarget(t, answerOK))
	asking, asked := m.forwarders[0], m.forwarders[1]
	address := asked.meshServer.listener.Addr().String()
	ctx := context.Background()
	t.Run("large answer", func(t *testing.T) {
		r, err := asking.RequestFeed(ctx, address, basillift.NewFeedRequest(0, hangGuard))
		assertFeed(t, r, err, basillift.FeedFull, 77)
		is.New(t).True(string(r.Body()) == largeBody)
	})
	t.Run("readers", func(t *testing.T) {
		r, err := asking.RequestFeed(ctx, address, basillift.NewFeedRequest(2, hangGuard))
		assertFeed(t, r, err, basillift.FeedFollower, 0)
		is.New(t).Equal(r.Readers(), []string{"10.0.0.1:1", "10.0.0.2:1"})
	})
	t.Run("canceled wait", func(t *testing.T) {
		soon, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := asking.RequestFeed(soon, address, basillift.NewFeedRequest(1, hangGuard))
		is.New(t).True(err != nil)
	})
	t.Run("stop during a wait", func(t *testing.T) {
		responses := make(chan basillift.FeedResponse, 1)
		go func() {
			r, err := asking.RequestFeed(ctx, address, basillift.NewFeedRequest(1, hangGuard))
			if err == nil {
				responses <- r
			}
			close(responses)
		}()
		for !asked.meshServer.busy() {
			time.Sleep(time.Millisecond)
		}
		draining, cancel := context.WithTimeout(ctx, hangGuard)
		defer cancel()
		asked.Drain(draining)
		assertFeed(t, <-responses, draining.Err(), basillift.FeedStale, 5)
	})
}
