package blforwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

// headerFeed asks another daemon for what is new in the registry, and tells the state of its answer.
const headerFeed = "Basillift-Feed"

const (
	// changesTransfer and wholeTransfer are how long an answer may take beyond its wait: some KB behind a large
	// body, and a whole table of 400 KB, on a link of 5 Mbit/s.
	changesTransfer = 500 * time.Millisecond
	wholeTransfer   = 1500 * time.Millisecond
)

// feedWaitMost bounds how long a daemon waits for news on behalf of another one.
const feedWaitMost = 30 * time.Second

// feedBytes bounds what follows the first part of a table; the registry's own limit is 1 MB in base64.
const feedBytes = 8 << 20

var errFeed = eris.New("not an answer about the registry")

// answerFeed answers another daemon that asks for news.
func (t *targetSide) answerFeed(ctx context.Context, text string) *answer {
	c := t.courier
	ask, ok := parseFeedAsk(text)
	if !ok || c.feed == nil {
		return rejected(http.StatusBadRequest, basillift.ReasonBadRequest)
	}
	c.news.ObserveRevision(ask.NewestRevision())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A stop does not wait for daemons that wait for changes.
	defer context.AfterFunc(c.feeding, cancel)()
	reply := c.feed.ServeFeed(ctx, ask)
	said := strings.Join(append([]string{string(reply.State()), strconv.FormatUint(reply.Revision(), 10)}, reply.Readers()...), " ")
	return &answer{status: http.StatusOK, feed: said, body: reply.Body(), outcome: basillift.OutcomeDone}
}

// feedFields is the number of values in a question.
const feedFields = 4

func formatFeedAsk(a basillift.FeedRequest) string {
	return strconv.FormatUint(a.Version(), 10) + " " + strconv.FormatUint(a.CompleteRevision(), 10) + " " +
		strconv.FormatUint(a.NewestRevision(), 10) + " " + microseconds(a.Wait())
}

func parseFeedAsk(text string) (basillift.FeedRequest, bool) {
	fields := strings.Fields(text)
	if len(fields) != feedFields {
		return basillift.FeedRequest{}, false
	}
	var numbers [feedFields]uint64
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 10, 62)
		if err != nil {
			return basillift.FeedRequest{}, false
		}
		numbers[i] = n
	}
	wait := min(time.Duration(numbers[3])*time.Microsecond, feedWaitMost)
	return basillift.NewFeedRequest(numbers[0], wait).Since(numbers[1], numbers[2]), true
}

// RequestFeed implements basillift.FeedClient.
func (c *Forwarder) RequestFeed(ctx context.Context, daemon string, a basillift.FeedRequest) (basillift.FeedResponse, error) {
	now := time.Now()
	head := "GET / HTTP/1.1\r\nHost: " + daemon + "\r\n" + headerFeed + ": " + formatFeedAsk(a) + "\r\n\r\n"
	x := &exchange{
		pool: c.pools.Of(daemon), request: &request{method: http.MethodGet}, head: []byte(head),
		deadline: now.Add(a.Wait() + wholeTransfer),
	}
	if a.CompleteRevision() > 0 {
		x.deadline = now.Add(a.Wait() + changesTransfer)
	}
	received, err := x.run(ctx, now)
	if err != nil {
		return basillift.FeedResponse{}, fmt.Errorf("ask daemon %s: %w", daemon, err)
	}
	body, err := received.readAll()
	if err != nil {
		return basillift.FeedResponse{}, fmt.Errorf("read table of daemon %s: %w", daemon, err)
	}
	return parseFeedReply(received.header(headerFeed), body)
}

func parseFeedReply(text string, body []byte) (basillift.FeedResponse, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return basillift.FeedResponse{}, fmt.Errorf("answer %q: %w", text, errFeed)
	}
	revision, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return basillift.FeedResponse{}, fmt.Errorf("answer %q: %w: %w", text, errFeed, err)
	}
	return basillift.NewFeedResponse(basillift.FeedState(fields[0]), revision).WithBody(body).WithReaders(fields[2:]), nil
}

// readAll reads the rest of a large answer.
func (a *received) readAll() ([]byte, error) {
	if a.rest == nil {
		return a.body, nil
	}
	rest, err := io.ReadAll(io.LimitReader(a.rest.source, feedBytes))
	a.rest.finish(err == nil)
	a.rest = nil
	if err != nil {
		return nil, fmt.Errorf("read rest of answer: %w", err)
	}
	return append(a.body, rest...), nil
}
