package blforwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/bltrace"
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

func assertFeed(t *testing.T, r basillift.FeedResponse, err error, s basillift.FeedState, revision basillift.Revision) {
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

// silentDaemon answers one feed request on each connection and ignores all further ones.
type silentDaemon struct{ listener net.Listener }

func startSilentDaemon(t *testing.T) *silentDaemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	d := &silentDaemon{listener: listener}
	go d.loop(t)
	return d
}

func (d *silentDaemon) loop(t *testing.T) {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err = conn.Read(make([]byte, 4<<10)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+headerFeed+": "+string(basillift.FeedUnchanged)+" 5\r\n\r\n")
		}
	}
}

// Guards against a search for another reader that runs into connections which have gone silent.
func TestFailoverUsesNewConnection(t *testing.T) {
	m := startMesh(t, startTarget(t, answerOK))
	address := startSilentDaemon(t).listener.Addr().String()
	for range 3 {
		r, err := m.forwarders[0].RequestFeed(context.Background(), address, basillift.NewFeedRequest(1, 0).Since(5, 5))
		assertFeed(t, r, err, basillift.FeedUnchanged, 5)
	}
}

// startSlowReader starts a daemon that answers a feed request with a body in parts, with a pause before each.
func startSlowReader(t *testing.T, parts []string, pause time.Duration) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s 77\r\nContent-Length: %d\r\n\r\n", headerFeed, basillift.FeedChanges, len(strings.Join(parts, "")))
		for _, part := range parts {
			time.Sleep(pause)
			_, _ = io.WriteString(conn, part)
		}
	}()
	return listener.Addr().String()
}

// Guards against a follower on a slow link that cuts a large answer while it arrives and asks another reader for it again.
func TestArrivingFeedIsNotCut(t *testing.T) {
	m := startMesh(t, startTarget(t, answerOK))
	query := basillift.NewFeedRequest(1, 0).Since(70, 0)
	t.Run("answer arrives slowly", func(t *testing.T) {
		reader := startSlowReader(t, []string{"ab", "cd", "ef"}, maxChangesDelay/2)
		r, err := m.forwarders[0].RequestFeed(context.Background(), reader, query)
		assertFeed(t, r, err, basillift.FeedChanges, 77)
		is.New(t).Equal(string(r.Body()), "abcdef")
	})
	t.Run("answer stalls", func(t *testing.T) {
		reader := startSlowReader(t, []string{"ab", "cd"}, maxFeedStall+500*time.Millisecond)
		_, err := m.forwarders[0].RequestFeed(context.Background(), reader, query)
		is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
	})
	t.Run("canceled while the answer arrives", func(t *testing.T) {
		reader := startSlowReader(t, []string{"ab", "cd", "ef", "gh"}, maxFeedStall/2)
		ctx, cancel := context.WithCancel(context.Background())
		_, err := m.forwarders[0].RequestFeed(bltrace.WithAnswerBegun(ctx, cancel), reader, query)
		is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}
