package blproxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/blpool"
)

// failure describes why an exchange returned no response and what is known about the request.
type failure struct {
	outcome basillift.Outcome
	reason  basillift.Reason
	err     error
}

// brokeConnection reports whether the connection broke after the target may have received the
// request.
func (f *failure) brokeConnection() bool {
	return f != nil && f.outcome == basillift.OutcomeUnknown &&
		(f.reason == basillift.ReasonTarget || f.reason == basillift.ReasonTruncated)
}

// cause returns the error behind a failure, or nil.
func (f *failure) cause() error {
	if f == nil {
		return nil
	}
	return f.err
}

// exchange is one request sent over one connection, and its response.
type exchange struct {
	call   *call
	pool   *blpool.Pool
	conn   *blpool.Conn
	sender *sender
	body   *body
	ctx    *fasthttp.RequestCtx
}

// send sends the request and reads the header of the response. A body of known size up to the
// limit is read too. A larger body, or one of unknown size, is streamed, and the exchange ends
// when the stream is closed.
func (e *exchange) send(now time.Time, out *fasthttp.Request, response *fasthttp.Response, limit int) *failure {
	failed := e.open(now)
	if failed != nil {
		return failed
	}
	failed = e.write(out)
	if failed != nil {
		e.release(false)
		return failed
	}
	head, err := e.readResponseHead(string(out.Header.Method()), response)
	if err != nil {
		e.stopSender()
		failed = e.classify(err)
		e.release(false)
		return failed
	}
	if e.sender != nil {
		e.awaitSender(response.StatusCode())
	}
	return e.readResponse(head, response, limit)
}

func (e *exchange) open(now time.Time) *failure {
	c, err := e.pool.Get(now, e.call.deadline)
	if errors.Is(err, blpool.ErrTooManyConnections) {
		return &failure{basillift.OutcomeNotRun, basillift.ReasonOverload, err}
	}
	if err != nil {
		return &failure{basillift.OutcomeNotRun, basillift.ReasonConnectFailed, err}
	}
	e.conn = c
	if !e.call.addConn(c) {
		e.pool.Put(now, c)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonCallerGone, nil}
	}
	err = c.Begin(e.call.deadline)
	if err != nil {
		e.release(false)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonConnectFailed, err}
	}
	return nil
}

// write sends a buffered request directly. A request whose body is still arriving is sent by a
// goroutine of its own, because the target may answer before the end of the body.
func (e *exchange) write(out *fasthttp.Request) *failure {
	e.body.attach(out)
	if !e.body.isBuffered() {
		e.sender = &sender{request: out, conn: e.conn, body: e.body, done: make(chan struct{})}
		go e.sender.run()
		return nil
	}
	err := writeRequest(out, e.conn)
	if err != nil {
		return e.classify(err)
	}
	return nil
}

// classify returns what is known about a request whose exchange failed. Once the kernel has
// accepted a single byte, the request may have run.
func (e *exchange) classify(err error) *failure {
	f := &failure{basillift.OutcomeUnknown, basillift.ReasonTarget, err}
	if e.conn.Written() == 0 {
		f.outcome, f.reason = basillift.OutcomeNotRun, basillift.ReasonConnectFailed
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout) {
		f.reason = basillift.ReasonDeadline
	}
	if e.call.isCanceled() {
		f.reason = basillift.ReasonCallerGone
	}
	if e.body.readErr != nil {
		f.reason = basillift.ReasonTruncated
	}
	return f
}

// readResponseHead reads the head of the final response. fasthttp, which accepts more than a response may be, gets a head that is
// already checked.
func (e *exchange) readResponseHead(method string, response *fasthttp.Response) (*blhttp.Head, error) {
	response.ResetBody()
	head, err := blhttp.ReadHead(e.conn.Reader(), method)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	text := head.AppendTo(make([]byte, 0, 512))
	if err = response.Header.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text))); err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return head, nil
}

// awaitSender waits until the request is sent. After an error response the rest of the body is not
// needed, so sending stops. With any other response the target must read the request to its end;
// the deadline bounds the wait.
func (e *exchange) awaitSender(status int) {
	if status >= fasthttp.StatusMultipleChoices {
		e.stopSender()
		return
	}
	<-e.sender.done
}

// stopSender stops sending and waits for the goroutine, because fasthttp reuses the request's body
// as soon as the handler returns.
func (e *exchange) stopSender() {
	if e.sender == nil {
		return
	}
	select {
	case <-e.sender.done:
		return
	default:
	}
	e.sender.stopped.Store(true)
	_ = e.ctx.SetReadDeadline(time.Unix(1, 0))
	_ = e.conn.SetWriteDeadline(time.Unix(1, 0))
	<-e.sender.done
}

func (e *exchange) readResponse(head *blhttp.Head, response *fasthttp.Response, limit int) *failure {
	reusable := head.Persistent() && (e.sender == nil || e.sender.err == nil)
	stripResponse(&response.Header)
	if head.Bodyless() {
		response.SkipBody = true
		e.release(reusable)
		return nil
	}
	size := head.Length()
	if size == blhttp.LengthUntilClose && e.sender != nil && blpool.ConnectionBroken(e.sender.err) {
		failed := &failure{basillift.OutcomeUnknown, basillift.ReasonTruncated, fmt.Errorf("%w: %w", blhttp.ErrTruncated, e.sender.err)}
		e.release(false)
		return failed
	}
	if size < 0 || size > limit {
		response.SetBodyStream(&responseStream{exchange: e, source: head.Body(e.conn.Reader()), reusable: reusable}, max(size, -1))
		return nil
	}
	err := response.ReadBody(e.conn.Reader(), limit)
	if err != nil {
		failed := e.classify(blhttp.BodyError(err))
		if failed.reason == basillift.ReasonTarget {
			failed.reason = basillift.ReasonTruncated
		}
		e.release(false)
		return failed
	}
	e.release(reusable)
	return nil
}

// release returns the connection to the pool or closes it.
func (e *exchange) release(reusable bool) {
	c := e.conn
	if c == nil {
		return
	}
	e.conn = nil
	free := e.call.removeConn(c)
	if reusable && free && c.Reader().Buffered() == 0 {
		e.pool.Put(time.Now(), c)
		return
	}
	e.pool.Discard(c)
}

// responseStream is the body of a streamed response. fasthttp reads it while it writes to the
// caller and closes it afterwards, even if the caller has disconnected.
type responseStream struct {
	exchange *exchange
	// source is nil once the stream is closed.
	source   io.Reader
	reusable bool
	complete bool
	// err is the error that ended the body before its end; nil for none.
	err      error
	endHooks []func(complete bool)
}

// onEnd adds a function to call when the body has ended or was truncated.
func (r *responseStream) onEnd(f func(complete bool)) { r.endHooks = append(r.endHooks, f) }

// Read returns read errors to fasthttp, which then closes the caller's connection without
// terminating the body. The connection is reset so that the truncation is also visible for bodies
// that end when the connection closes.
func (r *responseStream) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	r.err = err
	r.exchange.call.conn.resetOnClose()
	return n, fmt.Errorf("read response body: %w", err)
}

// Close releases the connection and calls the onEnd functions.
func (r *responseStream) Close() error {
	if r.source == nil {
		return nil
	}
	r.source = nil
	r.exchange.release(r.reusable && r.complete)
	for _, end := range r.endHooks {
		end(r.complete)
	}
	return nil
}
