package blforwarder

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
)

const (
	// headerAnswerBy tells the target's daemon by when a daemon that is stopping needs the answer to a request, in
	// microseconds from now.
	headerAnswerBy = "Basillift-Answer-By"
	// headerDeadlines marks a message that does the same for requests that were sent before the stop began. Its body has their
	// ids, one on each line; the body of the answer has those that are not known.
	headerDeadlines = "Basillift-Deadlines"
)

const (
	// deadlineAnnounceInterval is the pause between two messages. A message may overtake the request that it concerns.
	deadlineAnnounceInterval = 50 * time.Millisecond
	// deadlineAnnounceTimeout bounds the delivery of a message to one daemon.
	deadlineAnnounceTimeout = 500 * time.Millisecond
	// maxAnnouncedDeadlines bounds the requests of one message.
	maxAnnouncedDeadlines = 1024
	// maxAnswerBy is the longest time until an answer is needed that is accepted.
	maxAnswerBy = time.Hour
)

// remoteAttempt is a request that this daemon has sent to another target's daemon and that is not answered yet.
type remoteAttempt struct {
	requestID string
	daemon    string
	// announced is set once the daemon knows by when the answer is needed.
	announced bool
}

// answerDeadlines tells other daemons by when this daemon, which is stopping, needs their answers. They refuse the requests that
// would be answered later, so that their callers learn that these have not run.
type answerDeadlines struct {
	forwarder *Forwarder
	mutex     sync.Mutex
	answerBy  time.Time
	attempts  map[*remoteAttempt]struct{}
}

func newAnswerDeadlines(f *Forwarder) *answerDeadlines {
	return &answerDeadlines{forwarder: f, attempts: make(map[*remoteAttempt]struct{})}
}

// start records an attempt. It returns the time by which its answer is needed, which the request has to carry; zero if this
// daemon is not stopping. end must follow.
func (d *answerDeadlines) start(requestID, daemon string) (*remoteAttempt, time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a := &remoteAttempt{requestID: requestID, daemon: daemon, announced: !d.answerBy.IsZero()}
	d.attempts[a] = struct{}{}
	return a, d.answerBy
}

func (d *answerDeadlines) end(a *remoteAttempt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.attempts, a)
}

// stop sets the time by which all answers are needed.
func (d *answerDeadlines) stop(answerBy time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.answerBy = answerBy
}

// loop announces the time to the daemons that do not know it yet, until ctx ends.
func (d *answerDeadlines) loop(ctx context.Context) {
	ticker := time.NewTicker(deadlineAnnounceInterval)
	defer ticker.Stop()
	for {
		var deliveries sync.WaitGroup
		for daemon, attempts := range d.unannounced() {
			deliveries.Go(func() { d.announce(ctx, time.Now(), daemon, attempts) })
		}
		deliveries.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unannounced returns the attempts that are not announced, by daemon. Requests without an id can't be named.
func (d *answerDeadlines) unannounced() map[string][]*remoteAttempt {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	byDaemon := make(map[string][]*remoteAttempt)
	for a := range d.attempts {
		if !a.announced && a.requestID != "" && len(byDaemon[a.daemon]) < maxAnnouncedDeadlines {
			byDaemon[a.daemon] = append(byDaemon[a.daemon], a)
		}
	}
	return byDaemon
}

// announce sends one message and marks the attempts that the daemon knows. After a failure the next message has them again.
func (d *answerDeadlines) announce(ctx context.Context, now time.Time, daemon string, attempts []*remoteAttempt) {
	missing, err := d.send(ctx, now, daemon, attempts)
	if err != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, a := range attempts {
		a.announced = !missing[a.requestID]
	}
}

// send sends one message and returns the ids that the daemon does not know.
func (d *answerDeadlines) send(ctx context.Context, now time.Time, daemon string, attempts []*remoteAttempt) (missing map[string]bool, err error) {
	ids := make([]string, 0, len(attempts))
	for _, a := range attempts {
		ids = append(ids, a.requestID)
	}
	body := strings.Join(ids, "\n")
	header := "POST / HTTP/1.1\r\nHost: " + daemon + "\r\n" + headerDeadlines + ": " + formatMicroseconds(d.answerBy.Sub(now)) +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	e := d.forwarder.newExchange(daemon, &request{method: http.MethodPost, body: []byte(body)}, []byte(header), now.Add(deadlineAnnounceTimeout))
	received, err := e.run(ctx, now)
	if err != nil {
		return nil, fmt.Errorf("send deadlines to daemon %s: %w", daemon, err)
	}
	response, err := received.readAll()
	if err != nil {
		return nil, fmt.Errorf("read deadlines of daemon %s: %w", daemon, err)
	}
	missing = make(map[string]bool)
	for id := range strings.SplitSeq(string(response), "\n") {
		missing[id] = true
	}
	return missing, nil
}

// answerDeadlines answers the message of a daemon that is stopping.
func (t *targetSide) answerDeadlines(r *request, text string) *answer {
	answerBy, valid := parseAnswerBy(text, r.arrived)
	if !valid || !r.buffered() {
		return rejectedAnswer(http.StatusBadRequest, basillift.ReasonBadRequest)
	}
	missing := t.forwarder.accepted.lower(strings.Split(string(r.body), "\n"), waitLimits{answerBy: answerBy})
	return &answer{status: http.StatusOK, outcome: basillift.OutcomeDone, body: []byte(strings.Join(missing, "\n"))}
}

// appendAnswerBy appends the header field with the time by which the caller's daemon needs the answer, if it is stopping.
func (rm requestMetadata) appendAnswerBy(b []byte, now time.Time) []byte {
	if rm.answerBy.IsZero() {
		return b
	}
	return blhttp.AppendField(b, headerAnswerBy, formatMicroseconds(rm.answerBy.Sub(now)))
}

// parseAnswerBy parses the value of headerAnswerBy or headerDeadlines. It returns false if the value is missing or invalid.
func parseAnswerBy(text string, arrived time.Time) (time.Time, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || max(n, -n) > maxAnswerBy.Microseconds() {
		return time.Time{}, false
	}
	return arrived.Add(time.Duration(n) * time.Microsecond), true
}
