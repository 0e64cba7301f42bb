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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

// discardTimeout bounds how long the rest of an unneeded body is read. Callers close the connection once they have
// their answer.
const discardTimeout = time.Second

// finalReadTimeout is how long an idle session that a stop closes waits for a request that the peer may have sent.
const finalReadTimeout = 100 * time.Millisecond

// connLimits bounds what the peer of a connection may send, and how long it may take.
type connLimits struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// handler answers the requests of a server.
type handler interface {
	serve(ctx context.Context, r *request) *answer
	connLimits() connLimits
	// newBodyMemory returns the memory for the header and the body of a request and for the answers to it.
	newBodyMemory(headerBytes int) *bodyMemory
	// answerDeadline returns until when a request can be answered at the latest.
	answerDeadline(r *request) time.Time
	// slotsWanted reports whether other requests wait for a slot of the target or for a turn on a slow link, or were refused
	// one lately.
	slotsWanted(now time.Time) bool
	// internal reports whether the peer is another daemon.
	internal() bool
}

// session is one accepted connection with HTTP pipelining: its requests are read in order, run concurrently and are
// answered in order.
type session struct {
	conn net.Conn
	// socket is nil if the connection is no socket.
	socket syscall.RawConn
	// reader is nil while the session is idle.
	reader  *bufio.Reader
	handler handler
	cancel  context.CancelFunc
	// pipeline and written belong to the goroutine that writes answers. They are nil before the first request.
	pipeline chan *pipelinedRequest
	written  chan struct{}
	server   *server
	progress progress
	// cancelStream ends the request whose body is still arriving while it is served; nil if there is none.
	cancelStream atomic.Pointer[context.CancelCauseFunc]
	// bodyUnread is set by the goroutine that reads requests if it left a body or a request unread.
	bodyUnread bool

	mutex   sync.Mutex
	pending int
	closing bool
	// refusing is set once no further request may be started, except one that an idle session has received and not read.
	refusing bool
	// finalRead is set once an idle session that is refusing waits for such a request.
	finalRead bool
	closed    bool
}

// pipelinedRequest is one request of a session, with the channel for its answer.
type pipelinedRequest struct {
	request *request
	answer  chan *answer
	// lastOnConn is set if no request is read after this one.
	lastOnConn bool
	// interim is set for an interim answer, which lets the peer send the body of the next request. It has no other fields.
	interim bool
}

func newSession(conn net.Conn, h handler, owner *server, now time.Time) *session {
	s := &session{conn: conn, handler: h, server: owner}
	s.progress.firstSince.Store(now.UnixNano())
	if c, ok := conn.(syscall.Conn); ok {
		// On an error the session holds a buffer while it is idle.
		s.socket, _ = c.SyscallConn()
	}
	return s
}

// run reads requests until the peer closes the connection or the session ends.
func (s *session) run(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	disconnected := s.readRequests(ctx)
	unreadBytes := s.reader != nil && s.reader.Buffered() > 0
	s.releaseReader()
	switch {
	case disconnected:
		s.cancel()
	case !unreadBytes:
		go s.cancelOnDisconnect()
	}
	if s.pipeline != nil {
		close(s.pipeline)
		<-s.written
	}
	s.discardUnread(time.Now())
	s.server.remove(s)
	_ = s.conn.Close()
}

// discardUnread reads and discards the rest of an unread body for at most discardTimeout. Closing the connection at
// once would reset it, and a peer that is still sending could lose the answer. Stopping the server ends it early.
func (s *session) discardUnread(now time.Time) {
	t, ok := s.conn.(*net.TCPConn)
	if !ok || !s.bodyUnread {
		return
	}
	_ = t.CloseWrite()
	s.progress.requestSince.Store(now.UnixNano())
	_ = t.SetReadDeadline(now.Add(discardTimeout))
	if s.progress.gaveWay.Load() {
		return
	}
	_, _ = io.Copy(io.Discard, t)
}

// readRequests starts each request that it reads, and reports whether the peer has disconnected.
func (s *session) readRequests(ctx context.Context) (disconnected bool) {
	for {
		s.endBody()
		ready, disconnected := s.awaitRequest()
		if !ready {
			return disconnected
		}
		if ctx.Err() != nil {
			return true
		}
		now := time.Now()
		limits := s.handler.connLimits()
		_ = s.conn.SetReadDeadline(now.Add(limits.headerTimeout))
		header := fasthttp.AcquireRequest()
		r, err := readHeader(s.reader, &header.Header, now)
		fasthttp.ReleaseRequest(header)
		if err != nil {
			return s.reject(err, http.StatusBadRequest)
		}
		_ = s.conn.SetReadDeadline(time.Time{})
		if r.expectsContinue && r.size != 0 {
			s.enqueueAnswer(&pipelinedRequest{interim: true})
		}
		r.memory = s.handler.newBodyMemory(r.headerBytes)
		if err = s.readBody(r, limits.bodyBytes); err != nil {
			r.memory.release()
			return s.rejectBody(err)
		}
		if r.stream != nil {
			limitKernelBuffers(s.conn)
			r.bodyStalled = s.bodyStalled
			r.stream.interruptRead = s.interruptRead
			go r.stream.loop()
		}
		if !s.startRequest(ctx, r) {
			return false
		}
	}
}

// awaitRequest waits for the first byte of the next request.
func (s *session) awaitRequest() (ready, disconnected bool) {
	for {
		if !s.setIdleDeadline(time.Now()) || s.progress.gaveWay.Load() {
			return false, false
		}
		err := s.awaitBytes()
		if err == nil {
			s.progress.firstSince.Store(0)
			return s.countRequest(), false
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && (s.busy() || s.startFinalRead()) {
			continue
		}
		return false, !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

// setIdleDeadline limits the wait for the next request. It returns false once the session is closed.
func (s *session) setIdleDeadline(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	timeout := s.handler.connLimits().idleTimeout
	if s.refusing && s.pending == 0 {
		timeout = finalReadTimeout
		s.finalRead = true
	}
	_ = s.conn.SetReadDeadline(now.Add(timeout))
	return true
}

// startFinalRead reports whether an idle session has yet to look for a request that it has received before a stop closes it. An
// overloaded daemon may not have got to read it before the deadline.
func (s *session) startFinalRead() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refusing && !s.closed && (!s.finalRead || isReadable(s.conn))
}

// isReadable reports whether a connection has unread bytes, or a listener has a connection to accept.
func isReadable(socket any) bool {
	c, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	readable, err := blpool.Readable(c)
	return err == nil && readable
}

// countRequest counts a pending request. It returns false if the session takes no more requests. The request then stays
// unread behind an answer that closes the connection, so that the caller knows that it did not run.
func (s *session) countRequest() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	refused := s.refusing && s.pending > 0
	if refused && !s.closed {
		s.bodyUnread = true
	}
	if s.closed || refused {
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

// startRequest hands a request to the handler and reports whether another one may be read.
func (s *session) startRequest(ctx context.Context, r *request) bool {
	s.mutex.Lock()
	last := r.close || s.closing
	s.mutex.Unlock()
	p := &pipelinedRequest{request: r, answer: make(chan *answer, 1), lastOnConn: last}
	s.enqueueAnswer(p)
	if r.stream != nil {
		streamCtx, cancel := context.WithCancelCause(ctx)
		defer s.cancelStream.Store(nil)
		s.cancelStream.Store(&cancel)
		ctx = streamCtx
		if s.progress.gaveWay.Load() {
			cancel(errGaveWay)
		}
	}
	go s.serve(ctx, p)
	if r.stream != nil {
		// The next request follows the rest of this body on the connection.
		s.awaitStreamEnd(r.stream)
		if !r.stream.complete() {
			s.bodyUnread = true
			return false
		}
	}
	return !last
}

func (s *session) serve(ctx context.Context, p *pipelinedRequest) {
	a := s.handler.serve(ctx, p.request)
	if p.request.stream != nil {
		// A connection with a partly read body cannot carry another request.
		if !p.request.stream.complete() {
			a.close = true
			if a.outcome == basillift.OutcomeNotRun && p.request.stalled() {
				a.status = http.StatusRequestTimeout
			}
		}
		p.request.stream.end()
	}
	p.answer <- a
}

// reject answers a request that cannot be parsed or is too large, and ends the session after that.
func (s *session) reject(err error, status int) (disconnected bool) {
	var nothingRead fasthttp.ErrNothingRead
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.As(err, &nothingRead):
		return true
	case errors.As(err, &smallBuffer):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	s.rejectWith(rejectedAnswer(status, basillift.ReasonBadRequest))
	return false
}

// rejectWith answers a request of which nothing was passed on, and ends the session after that.
func (s *session) rejectWith(a *answer) {
	s.bodyUnread = true
	p := &pipelinedRequest{request: &request{}, answer: make(chan *answer, 1), lastOnConn: true}
	p.answer <- a
	s.startWriter()
	s.pipeline <- p
}

// interruptRead ends the wait for another request or for more of a body.
func (s *session) interruptRead() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }

// abort ends a session after an answer that is incomplete or must be the last one on the connection. With reset, the
// connection is reset, so that the peer does not take the truncated answer for a complete one.
func (s *session) abort(reset bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.cancel()
	if t, ok := s.conn.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
		_ = s.conn.Close()
		return
	}
	s.interruptRead()
}

// closeAfterPending closes the session after its pending requests. If refuse is set, it takes no more requests, and an idle
// session is closed after a request that it has received and not read; otherwise it may still send one request.
func (s *session) closeAfterPending(refuse bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closing, s.refusing = true, refuse
	if s.pending == 0 && refuse {
		s.interruptRead()
	}
}
