package blforwarder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"basillift.dev/basillift"
)

const (
	// transfersAtOnce is how many large bodies come over a thin link at a time. A sender's link is seldom faster,
	// so one fills it, and a second one would only be in the way of small requests.
	transfersAtOnce = 1
	// transferMost is how long a permitted body may be on its way before the next one is permitted: a body of
	// 512 KB on a link of 5 Mbit/s takes 0.8 s.
	transferMost = 1500 * time.Millisecond
)

// link lets large bodies come over the VM's thin link one after the other. Without that, some of them at the
// same time hold up all other requests for longer than those take.
type link struct{ permits }

func newLink() *link { return &link{permits: newPermits(transfersAtOnce, transferMost)} }

// permit waits until the body of a request may come. Lasts is how long the request will run behind that.
func (l *link) permit(ctx context.Context, now time.Time, request string, h hop, lasts time.Duration) (refusal *answer) {
	arrival := h
	arrival.goal, arrival.deadline = h.goal.Add(-lasts), h.deadline.Add(-lasts)
	return l.reserve(ctx, now, request, arrival.offer)
}

// arrived ends a transfer. Observed is false if the body did not come.
func (l *link) arrived(now time.Time, request string, observed bool) {
	l.release(now, request, observed)
}

// received notes that a request came whose body may have had a permit. The returned function is called when the
// request has ended.
func (l *link) received(r *request, id string) (ended func()) {
	if r.whole() {
		l.arrived(r.arrived, id, true)
		return func() {}
	}
	// The rest of the body is on its way while the request runs.
	return func() { l.arrived(time.Now(), id, false) }
}

// backlog is how long the next large body waits.
func (l *link) backlog() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.Backlog()
}

// permit answers a daemon that asks whether a large body may come. Behind a thin link the body comes first and
// waits here for a slot; otherwise the slot is kept for it.
func (t *targetSide) permit(ctx context.Context, r *request, h hop) *answer {
	c := t.courier
	now := time.Now()
	h.caller = r.header(c.settings.dialect.Caller())
	refusal := t.unable(now, h)
	id := r.header(c.settings.dialect.RequestID())
	switch {
	case refusal != nil:
	case c.link != nil:
		refusal = c.link.permit(ctx, now, id, h, c.desk.lasts(h))
	default:
		refusal = c.desk.reserve(ctx, now, id, c.desk.arrived(now, h).offer)
	}
	a := &answer{status: http.StatusOK, outcome: basillift.OutcomeDone}
	if refusal != nil {
		a = refusal
	}
	a.load = t.load()
	return a
}

// load is what to tell of the target and its VM.
func (t *targetSide) load() *basillift.Load {
	l := t.courier.desk.load()
	if t.courier.link != nil {
		with := l.WithSlowLink(t.courier.link.backlog())
		return &with
	}
	return l
}

// askPermit asks the daemon beside a target whether a large body may come. Nil means that it may.
func (s *callerSide) askPermit(ctx context.Context, j *journey, daemon string) (refusal *answer, err error) {
	c := s.courier
	now := time.Now()
	x := &exchange{
		pool: c.pools.Of(daemon), request: &request{method: http.MethodGet}, head: s.permitHead(j, daemon, now), deadline: j.hop.deadline,
	}
	received, err := x.run(ctx, now)
	if err != nil {
		return nil, fmt.Errorf("ask for permit: %w", err)
	}
	a := &received.answer
	a.readInternal()
	c.news.ObserveRevision(a.seen)
	if a.outcome == basillift.OutcomeDone {
		return nil, nil
	}
	return a, nil
}

func (s *callerSide) permitHead(j *journey, daemon string, now time.Time) []byte {
	d := s.courier.settings.dialect
	told := j.hop
	told.seen = s.courier.news.NewestRevision()
	b := append([]byte("GET / HTTP/1.1\r\nHost: "), daemon...)
	b = append(b, "\r\n"...)
	b = appendField(b, d.RequestID(), j.request.header(d.RequestID()))
	b = appendField(b, d.Caller(), s.courier.settings.service)
	b = appendField(b, headerPermit, "1")
	b = appendField(b, headerHop, told.format(now))
	return append(b, "\r\n"...)
}
