package blforwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// lingerTime bounds how long the rest of a body is read that nobody needs; callers close once they have their answer.
const lingerTime = time.Second

// terms bound what the other side of a connection may send.
type terms struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// handler answers requests. It never returns nil.
type handler interface {
	serve(ctx context.Context, r *request) *answer
	terms() terms
	// internal reports whether the other side is a daemon.
	internal() bool
}

// session is one accepted connection. Its requests are read in order, run at the
// same time and are answered in order.
type session struct {
	conn    net.Conn
	reader  *bufio.Reader
	handler handler
	cancel  context.CancelFunc
	turns   chan *turn
	owner   *server
	// unread is set by the reader when it stopped before the end of a body.
	unread bool

	mutex   sync.Mutex
	pending int
	closing bool
	closed  bool
}

// turn is one request of a session.
type turn struct {
	request *request
	answer  chan *answer
	// last is set for a request behind which nothing is read.
	last bool
}

func newSession(conn net.Conn, h handler, owner *server) *session {
	size := max(blpool.BufferBytes, h.terms().headerBytes)
	return &session{
		conn: conn, reader: bufio.NewReaderSize(conn, size), handler: h, owner: owner,
		turns: make(chan *turn, pipelineDepth),
	}
}

// run reads requests until the other side ends or the session closes.
func (s *session) run(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	written := make(chan struct{})
	go s.loop(written)
	if s.read(ctx) {
		s.cancel()
	} else {
		go s.watch()
	}
	close(s.turns)
	<-written
	s.linger(time.Now())
	s.owner.forget(s)
	_ = s.conn.Close()
}

// linger reads on for a while if a body was not read to its end: closing the connection at once would reset it, and
// the other side could lose the answer while it still sends. A stop of the server ends it.
func (s *session) linger(now time.Time) {
	t, ok := s.conn.(*net.TCPConn)
	if !ok || !s.unread {
		return
	}
	_ = t.CloseWrite()
	_ = t.SetReadDeadline(now.Add(lingerTime))
	_, _ = io.Copy(io.Discard, t)
}

// read starts a turn for each request, and reports whether the other side is gone.
func (s *session) read(ctx context.Context) (gone bool) {
	var header fasthttp.RequestHeader
	for {
		ready, gone := s.await()
		if !ready {
			return gone
		}
		now := time.Now()
		t := s.handler.terms()
		_ = s.conn.SetReadDeadline(now.Add(t.headerTimeout))
		r, err := readHeader(s.reader, &header, now)
		if err != nil {
			return s.reject(err, http.StatusBadRequest)
		}
		_ = s.conn.SetReadDeadline(time.Time{})
		if r.expects && r.size != 0 {
			_, _ = io.WriteString(s.conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if err = r.readBody(s.reader, t.bodyBytes); err != nil {
			if errors.Is(err, errTooLarge) {
				return s.reject(err, http.StatusRequestEntityTooLarge)
			}
			return true
		}
		if r.rest != nil {
			r.rest.interrupt = s.wake
		}
		if !s.start(ctx, r) {
			return false
		}
	}
}

// await waits for the first byte of the next request.
func (s *session) await() (ready, gone bool) {
	for {
		if !s.arm(time.Now()) {
			return false, false
		}
		_, err := s.reader.Peek(1)
		if err == nil {
			return s.begin(), false
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && s.busy() {
			continue
		}
		return false, !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

// arm limits the wait for the next request; false once the session is closed.
func (s *session) arm(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	_ = s.conn.SetReadDeadline(now.Add(s.handler.terms().idleTimeout))
	return true
}

// begin counts a request, unless the session was closed before it.
func (s *session) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.pending++
	return true
}

func (s *session) busy() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pending > 0
}

// start hands a request to the handler and reports whether another one may be read.
func (s *session) start(ctx context.Context, r *request) bool {
	s.mutex.Lock()
	last := r.close || s.closing
	s.mutex.Unlock()
	t := &turn{request: r, answer: make(chan *answer, 1), last: last}
	s.turns <- t
	go s.serve(ctx, t)
	if r.rest != nil {
		// The rest of the body stands before the next request.
		<-r.rest.done
		if r.rest.err == nil || !errors.Is(r.rest.err, io.EOF) {
			s.unread = true
			return false
		}
	}
	return !last
}

func (s *session) serve(ctx context.Context, t *turn) {
	a := s.handler.serve(ctx, t.request)
	if t.request.rest != nil {
		// A body that nobody read to its end leaves the connection of no further use.
		if !errors.Is(t.request.rest.err, io.EOF) {
			a.close = true
		}
		t.request.rest.end()
	}
	t.answer <- a
}

// reject answers a request that cannot be read, and ends the session behind it.
func (s *session) reject(err error, status int) (gone bool) {
	var nothing fasthttp.ErrNothingRead
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.As(err, &nothing):
		return true
	case errors.As(err, &small):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	s.unread = true
	t := &turn{request: &request{}, answer: make(chan *answer, 1), last: true}
	t.answer <- rejected(status, basillift.ReasonBadRequest)
	s.turns <- t
	return false
}

// watch cancels the last requests of a session when the other side hangs up.
func (s *session) watch() {
	_ = s.conn.SetReadDeadline(time.Time{})
	if _, err := s.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.cancel()
	}
}

// loop writes the answers in the order of the requests.
func (s *session) loop(written chan<- struct{}) {
	defer close(written)
	w := bufio.NewWriterSize(s.conn, 4<<10)
	broken := false
	for t := range s.turns {
		a := <-t.answer
		if broken {
			a.discard()
			s.ended()
			continue
		}
		// A deadline from an ended wait for requests must not cut the answer.
		err := a.write(w, s.handler.internal(), t.last || s.lastTurn())
		a.discard()
		s.ended()
		if err != nil || a.close {
			broken = true
			s.abandon(err != nil)
		}
	}
}

// lastTurn reports whether the session closes behind the answer that is due now.
func (s *session) lastTurn() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closing || s.pending > 1 {
		return false
	}
	s.closed = true
	return true
}

func (s *session) ended() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending--
	if s.closed && s.pending == 0 {
		s.wake()
	}
}

// wake ends the wait for another request or for more of a body.
func (s *session) wake() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }

// abandon ends a session whose answer is incomplete. The reset tells the other
// side that the answer did not end there.
func (s *session) abandon(reset bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.cancel()
	if t, ok := s.conn.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
		_ = s.conn.Close()
		return
	}
	s.wake()
}

// finish makes the answer that is due next the last one, and closes an idle session.
func (s *session) finish(idleToo bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing = true
	if s.pending == 0 && idleToo {
		s.closed = true
		s.wake()
	}
}
