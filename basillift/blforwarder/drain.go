package blforwarder

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
)

const (
	// newRequestPeriod is how long after the start of a stop callers may still send requests: two failed readiness
	// checks at an interval of one second.
	newRequestPeriod = 2300 * time.Millisecond
	// readyFailureThreshold is the number of consecutive failed readiness checks after which callers send no new
	// requests.
	readyFailureThreshold = 2
	// drainCheckInterval is how often a stop checks whether requests are in flight.
	drainCheckInterval = 10 * time.Millisecond
	// answerByMargin is how long before the end of a stop the answers of targets are needed, so that they reach the callers.
	answerByMargin = 100 * time.Millisecond
	// finalAnswerPeriod bounds the end of a stop, when all requests get their answers.
	finalAnswerPeriod = 300 * time.Millisecond
)

// Drain stops the daemon in three steps. First it fails readiness checks and serves the requests in flight and those that
// callers still send. Then it refuses new requests and waits for those in flight. When none is left or ctx ends, it answers
// what remains, and returns.
//
// With a deadline of ctx, a request is sent to a target only if its answer is expected before. All others are refused as soon
// as that is known, at whichever daemon they wait.
func (f *Forwarder) Drain(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.stopping.Store(true)
	f.cancelFeeds()
	f.callerServer.drain(false)
	f.meshServer.drain(false)
	if end, limited := ctx.Deadline(); limited {
		answerBy := end.Add(-answerByMargin)
		f.accepted.stop(answerBy)
		f.answerDeadlines.stop(answerBy)
		f.tasks.Go(func() { f.answerDeadlines.loop(ctx) })
	}
	started := time.Now()
	poll(ctx, func(now time.Time) bool {
		return now.Sub(started) >= newRequestPeriod || f.failedReadyChecks.Load() >= readyFailureThreshold
	})
	f.refuseNewRequests()
	poll(ctx, func(time.Time) bool { return !f.callerServer.hasSessions() && !f.meshServer.busy() })
	f.answerRemaining()
}

// refuseNewRequests refuses the requests that have not been read yet. A connection that is refused tells the caller that no byte
// of its request was read.
func (f *Forwarder) refuseNewRequests() {
	f.refusesRequests.Store(true)
	f.callerServer.refuseConnections()
	f.callerServer.drain(true)
}

// answerRemaining ends the requests in flight, and answers those that other daemons have sent and that are not read yet.
func (f *Forwarder) answerRemaining() {
	f.endCallers(errStopping)
	f.meshServer.refuseConnections()
	f.meshServer.drain(true)
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerPeriod)
	defer cancel()
	poll(ctx, func(time.Time) bool { return !f.callerServer.hasSessions() && !f.meshServer.hasSessions() })
}

// poll waits until done returns true or ctx ends.
func poll(ctx context.Context, done func(now time.Time) bool) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if done(now) {
				return
			}
		}
	}
}

// errStopping is the cause of the end of a context of requests that a stop ends.
var errStopping = eris.New("the daemon is stopping")

// canceledReason returns why the context of a request was canceled.
func canceledReason(ctx context.Context) basillift.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopping):
		return basillift.ReasonDraining
	case errors.Is(cause, errGaveWay):
		return basillift.ReasonDeadline
	default:
		return basillift.ReasonCallerGone
	}
}
