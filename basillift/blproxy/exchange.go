package blproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blpool"
)

var errProtocolSwitch = eris.New("unrequested protocol switch")

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
func (x *exchange) send(now time.Time, out *fasthttp.Request, response *fasthttp.Response, limit int) *failure {
	failed := x.open(now)
	if failed != nil {
		return failed
	}
	failed = x.write(out)
	if failed != nil {
		x.release(false)
		return failed
	}
	skip := out.Header.IsHead()
	err := readResponseHeader(x.conn, response)
	if err != nil {
		x.stopSender()
		failed = x.classify(err)
		x.release(false)
		return failed
	}
	if x.sender != nil {
		x.awaitSender(response.StatusCode())
	}
	return x.readResponse(response, skip, limit)
}

func (x *exchange) open(now time.Time) *failure {
	c, err := x.pool.Get(now, x.call.deadline)
	if errors.Is(err, blpool.ErrTooManyConnections) {
		return &failure{basillift.OutcomeNotRun, basillift.ReasonOverload, err}
	}
	if err != nil {
		return &failure{basillift.OutcomeNotRun, basillift.ReasonConnectFailed, err}
	}
	x.conn = c
	if !x.call.addConn(c) {
		x.pool.Put(now, c)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonCallerGone, nil}
	}
	err = c.Begin(x.call.deadline)
	if err != nil {
		x.release(false)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonConnectFailed, err}
	}
	return nil
}

// write sends a buffered request directly. A request whose body is still arriving is sent by a
// goroutine of its own, because the target may answer before the end of the body.
func (x *exchange) write(out *fasthttp.Request) *failure {
	x.body.attach(out)
	if !x.body.isBuffered() {
		x.sender = &sender{request: out, conn: x.conn, body: x.body, done: make(chan struct{})}
		go x.sender.run()
		return nil
	}
	err := writeRequest(out, x.conn)
	if err != nil {
		return x.classify(err)
	}
	return nil
}

// classify returns what is known about a request whose exchange failed. Once the kernel has
// accepted a single byte, the request may have run.
func (x *exchange) classify(err error) *failure {
	f := &failure{basillift.OutcomeUnknown, basillift.ReasonTarget, err}
	if x.conn.Written() == 0 {
		f.outcome, f.reason = basillift.OutcomeNotRun, basillift.ReasonConnectFailed
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, fasthttp.ErrTimeout) {
		f.reason = basillift.ReasonDeadline
	}
	if x.call.isCanceled() {
		f.reason = basillift.ReasonCallerGone
	}
	if x.body.readErr != nil {
		f.reason = basillift.ReasonTruncated
	}
	return f
}

// readResponseHeader reads the header of the final response and skips informational ones.
func readResponseHeader(c *blpool.Conn, response *fasthttp.Response) error {
	response.ResetBody()
	for {
		err := response.Header.Read(c.Reader())
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
		status := response.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols {
			return fmt.Errorf("read response: %w", errProtocolSwitch)
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
}

// awaitSender waits until the request is sent. After an error response the rest of the body is not
// needed, so sending stops. With any other response the target must read the request to its end;
// the deadline bounds the wait.
func (x *exchange) awaitSender(status int) {
	if status >= fasthttp.StatusMultipleChoices {
		x.stopSender()
		return
	}
	<-x.sender.done
}

// stopSender stops sending and waits for the goroutine, because fasthttp reuses the request's body
// as soon as the handler returns.
func (x *exchange) stopSender() {
	if x.sender == nil {
		return
	}
	select {
	case <-x.sender.done:
		return
	default:
	}
	_ = x.ctx.SetReadDeadline(time.Unix(1, 0))
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
	<-x.sender.done
}

func (x *exchange) readResponse(response *fasthttp.Response, skip bool, limit int) *failure {
	reusable := !response.ConnectionClose() && (x.sender == nil || x.sender.err == nil)
	stripResponse(&response.Header)
	size := response.Header.ContentLength()
	status := response.StatusCode()
	if skip || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		response.SkipBody = true
		x.release(reusable)
		return nil
	}
	if size < 0 || size > limit {
		x.streamBody(response, size, reusable)
		return nil
	}
	err := response.ReadBody(x.conn.Reader(), limit)
	if err != nil {
		failed := x.classify(err)
		if failed.reason == basillift.ReasonTarget {
			failed.reason = basillift.ReasonTruncated
		}
		x.release(false)
		return failed
	}
	x.release(reusable)
	return nil
}

// streamBody replaces the body of the response with a responseStream. fasthttp closes a body
// stream when another one replaces it, so a second response does the reading.
func (x *exchange) streamBody(response *fasthttp.Response, size int, reusable bool) {
	source := fasthttp.AcquireResponse()
	response.Header.CopyTo(&source.Header)
	source.StreamBody = true
	_ = source.ReadBody(x.conn.Reader(), 0)
	_ = response.Header.SetTrailer("")
	response.SetBodyStream(&responseStream{exchange: x, source: source, reusable: reusable}, max(size, -1))
}

// release returns the connection to the pool or closes it.
func (x *exchange) release(reusable bool) {
	c := x.conn
	if c == nil {
		return
	}
	x.conn = nil
	free := x.call.removeConn(c)
	if reusable && free && c.Reader().Buffered() == 0 {
		x.pool.Put(time.Now(), c)
		return
	}
	x.pool.Discard(c)
}

// responseStream is the body of a streamed response. fasthttp reads it while it writes to the
// caller and closes it afterwards, even if the caller has disconnected.
type responseStream struct {
	exchange *exchange
	source   *fasthttp.Response
	reusable bool
	complete bool
	failed   bool
	endHooks []func(complete bool)
}

// onEnd adds a function to call when the body has ended or was truncated.
func (r *responseStream) onEnd(f func(complete bool)) { r.endHooks = append(r.endHooks, f) }

// Read returns read errors to fasthttp, which then closes the caller's connection without
// terminating the body. The connection is reset so that the truncation is also visible for bodies
// that end when the connection closes.
func (r *responseStream) Read(p []byte) (int, error) {
	n, err := r.source.BodyStream().Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		r.complete = true
		return n, io.EOF
	}
	r.failed = true
	r.exchange.call.conn.resetOnClose()
	return n, fmt.Errorf("read response body: %w", err)
}

// Close releases the connection and calls the onEnd functions.
func (r *responseStream) Close() error {
	if r.source == nil {
		return nil
	}
	_ = r.source.CloseBodyStream()
	fasthttp.ReleaseResponse(r.source)
	r.source = nil
	r.exchange.release(r.reusable && r.complete)
	for _, end := range r.endHooks {
		end(r.complete)
	}
	return nil
}
