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
	"basillift.dev/basillift/common/bltrace"
)

// headerFeed carries a daemon's feed request, and the state, the revision and the readers in the answer.
const headerFeed = "Basillift-Feed"

const (
	// maxChangesDelay and maxTableDelay bound the time from the end of the wait until an answer begins, on a busy link of 5
	// Mbit/s: the head of an answer may be queued behind a large body, and a whole table has to be encoded first.
	maxChangesDelay = 500 * time.Millisecond
	maxTableDelay   = 1500 * time.Millisecond
	// maxFeedStall and maxFeedTransferTime bound the transfer of an answer: a pause in it, and all of it. A table of several
	// thousand routes takes a second or more on a busy link.
	maxFeedStall        = time.Second
	maxFeedTransferTime = 5 * time.Second
)

// maxFeedWait bounds how long a daemon waits for changes on behalf of another one.
const maxFeedWait = 30 * time.Second

// maxFeedBytes bounds the part of a table after its first maxBufferedBytes. The registry's own limit is 1 MB in
// base64.
const maxFeedBytes = 8 << 20

var errMalformedFeed = eris.New("malformed feed response")

// answerFeed answers another daemon that asks for changes of the registry. The answer waits for a change.
func (t *targetSide) answerFeed(ctx context.Context, text string) *answer {
	f := t.forwarder
	request, ok := parseFeedRequest(text)
	if !ok || f.feedServer == nil {
		return rejectedAnswer(http.StatusBadRequest, basillift.ReasonBadRequest)
	}
	f.gossip.ObserveRevision(request.NewestRevision())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A stop does not wait for pending feed requests.
	defer context.AfterFunc(f.feedContext, cancel)()
	response := f.feedServer.ServeFeed(ctx, request)
	value := strings.Join(append([]string{string(response.State()), formatRevision(response.Revision())}, response.Readers()...), " ")
	return &answer{status: http.StatusOK, feedHeader: value, body: response.Body(), outcome: basillift.OutcomeDone}
}

// feedRequestFieldCount is the number of values in headerFeed of a request.
const feedRequestFieldCount = 4

func formatFeedRequest(request basillift.FeedRequest) string {
	return strconv.FormatUint(request.Version(), 10) + " " + formatRevision(request.CompleteRevision()) + " " +
		formatRevision(request.NewestRevision()) + " " + formatMicroseconds(request.Wait())
}

func parseFeedRequest(text string) (basillift.FeedRequest, bool) {
	fields := strings.Fields(text)
	if len(fields) != feedRequestFieldCount {
		return basillift.FeedRequest{}, false
	}
	var numbers [feedRequestFieldCount]uint64
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 10, 62)
		if err != nil {
			return basillift.FeedRequest{}, false
		}
		numbers[i] = n
	}
	wait := min(time.Duration(numbers[3])*time.Microsecond, maxFeedWait)
	return basillift.NewFeedRequest(numbers[0], wait).Since(basillift.Revision(numbers[1]), basillift.Revision(numbers[2])), true
}

// RequestFeed implements basillift.FeedClient.
func (f *Forwarder) RequestFeed(ctx context.Context, daemon string, query basillift.FeedRequest) (basillift.FeedResponse, error) {
	now := time.Now()
	header := "GET / HTTP/1.1\r\nHost: " + daemon + "\r\n" + headerFeed + ": " + formatFeedRequest(query) + "\r\n\r\n"
	e := f.newExchange(daemon, &request{method: http.MethodGet}, []byte(header), now.Add(query.Wait()+maxTableDelay))
	// A request that does not wait looks for another reader after one has failed.
	e.newConnection = query.Wait() == 0
	if query.CompleteRevision() > 0 {
		e.deadline = now.Add(query.Wait() + maxChangesDelay)
	}
	e.headReceived = func(a *receivedAnswer) {
		if hasFeedBody(a.header(headerFeed)) {
			bltrace.AnswerBegun(ctx)
			e.extendWhileArriving(ctx, time.Now())
		}
	}
	received, err := e.run(ctx, now)
	if err != nil {
		return basillift.FeedResponse{}, fmt.Errorf("request feed from daemon %s: %w", daemon, err)
	}
	body, err := received.readAll()
	if err != nil {
		return basillift.FeedResponse{}, fmt.Errorf("read feed from daemon %s: %w", daemon, err)
	}
	return parseFeedResponse(received.header(headerFeed), body)
}

// extendWhileArriving bounds the transfer of an answer that has begun to arrive: not by the deadline of the exchange, but by
// maxFeedStall from each read to the next, and by maxFeedTransferTime.
func (e *exchange) extendWhileArriving(ctx context.Context, begun time.Time) {
	latest := begun.Add(maxFeedTransferTime)
	extend := func(now time.Time) {
		deadline := now.Add(maxFeedStall)
		if deadline.After(latest) {
			deadline = latest
		}
		_ = e.conn.SetDeadline(deadline)
		if ctx.Err() != nil {
			_ = e.conn.SetDeadline(time.Unix(1, 0))
		}
	}
	e.conn.OnRead(func() { extend(time.Now()) })
	extend(begun)
}

// hasFeedBody reports whether the header of a response announces changes or a listing.
func hasFeedBody(text string) bool {
	state, _, _ := strings.Cut(text, " ")
	return state == string(basillift.FeedChanges) || state == string(basillift.FeedFull)
}

func parseFeedResponse(text string, body []byte) (basillift.FeedResponse, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return basillift.FeedResponse{}, fmt.Errorf("feed header %q: %w", text, errMalformedFeed)
	}
	revision, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return basillift.FeedResponse{}, fmt.Errorf("feed header %q: %w: %w", text, errMalformedFeed, err)
	}
	return basillift.NewFeedResponse(basillift.FeedState(fields[0]), basillift.Revision(revision)).WithBody(body).WithReaders(fields[2:]), nil
}

// readAll returns the whole body, reading the rest of a large one.
func (ra *receivedAnswer) readAll() ([]byte, error) {
	if ra.stream == nil {
		return ra.body, nil
	}
	rest, err := io.ReadAll(io.LimitReader(ra.stream.source, maxFeedBytes))
	ra.stream.finish(err == nil)
	ra.stream = nil
	if err != nil {
		return nil, fmt.Errorf("read rest of answer: %w", err)
	}
	return append(ra.body, rest...), nil
}
