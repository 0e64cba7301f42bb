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

var errProtocolSwitch = eris.New("protocol switch without a request for it")

// failure says why an exchange brought no response and what is known about the request.
type failure struct {
	outcome basillift.Outcome
	reason  basillift.Reason
	err     error
}

// broke reports whether the connection broke while the target had the request.
func (f *failure) broke() bool {
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

// send sends the request and reads the response's header. A body of known size
// up to the limit is read too; a larger one is streamed by the response and the
// exchange ends with it.
func (x *exchange) send(now time.Time, out *fasthttp.Request, response *fasthttp.Response, limit int) *failure {
	failed := x.open(now)
	if failed != nil {
		return failed
	}
	failed = x.write(out)
	if failed != nil {
		x.end(false)
		return failed
	}
	skip := out.Header.IsHead()
	err := readHead(x.conn, response)
	if err != nil {
		x.stopSender()
		failed = x.classify(err)
		x.end(false)
		return failed
	}
	if x.sender != nil {
		x.settleSender(response.StatusCode())
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
	if !x.call.hold(c) {
		x.pool.Put(now, c)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonCallerGone, nil}
	}
	err = c.Begin(x.call.deadline)
	if err != nil {
		x.end(false)
		return &failure{basillift.OutcomeNotRun, basillift.ReasonConnectFailed, err}
	}
	return nil
}

// write sends a buffered request at once. A request whose body is still arriving
// is sent by its own goroutine, because the target may answer before its end.
func (x *exchange) write(out *fasthttp.Request) *failure {
	x.body.attach(out)
	if !x.body.whole() {
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

// classify says what is known about a request whose exchange failed. As soon as
// the kernel has accepted one byte, the request may have run.
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
	if x.body.failed != nil {
		f.reason = basillift.ReasonTruncated
	}
	return f
}

// readHead reads the header of the final response and skips informational ones.
func readHead(c *blpool.Conn, response *fasthttp.Response) error {
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

// settleSender waits until the request is sent. After an error response the rest
// of the body is of no use, so the sending is stopped. A target that answers
// otherwise must read the request to its end; the deadline bounds the wait.
func (x *exchange) settleSender(status int) {
	if status >= fasthttp.StatusMultipleChoices {
		x.stopSender()
		return
	}
	<-x.sender.done
}

// stopSender ends the sending and waits for it, because the request's body
// belongs to fasthttp again as soon as the handler returns.
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
		x.end(reusable)
		return nil
	}
	if size < 0 || size > limit {
		x.stream(response, size, reusable)
		return nil
	}
	err := response.ReadBody(x.conn.Reader(), limit)
	if err != nil {
		failed := x.classify(err)
		if failed.reason == basillift.ReasonTarget {
			failed.reason = basillift.ReasonTruncated
		}
		x.end(false)
		return failed
	}
	x.end(reusable)
	return nil
}

// stream hands the rest of the response to a relay. fasthttp frees a body stream
// when another one replaces it, so the reading is done by a second response.
func (x *exchange) stream(response *fasthttp.Response, size int, reusable bool) {
	source := fasthttp.AcquireResponse()
	response.Header.CopyTo(&source.Header)
	source.StreamBody = true
	_ = source.ReadBody(x.conn.Reader(), 0)
	_ = response.Header.SetTrailer("")
	response.SetBodyStream(&relay{exchange: x, source: source, reusable: reusable}, max(size, -1))
}

// end gives the connection back or closes it.
func (x *exchange) end(reusable bool) {
	c := x.conn
	if c == nil {
		return
	}
	x.conn = nil
	free := x.call.letGo(c)
	if reusable && free && c.Reader().Buffered() == 0 {
		x.pool.Put(time.Now(), c)
		return
	}
	x.pool.Discard(c)
}

// relay is the body of a streamed response. fasthttp reads it while it writes to
// the caller and closes it afterwards, also when the caller is gone.
type relay struct {
	exchange *exchange
	source   *fasthttp.Response
	reusable bool
	complete bool
	broken   bool
	ends     []func(complete bool)
}

// onEnd adds what is to be done after the last byte, or after a cut.
func (r *relay) onEnd(f func(complete bool)) { r.ends = append(r.ends, f) }

// Read passes errors on, so that fasthttp closes the caller's connection without
// ending the body; the reset makes that visible for bodies that end by a close too.
func (r *relay) Read(p []byte) (int, error) {
	n, err := r.source.BodyStream().Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		r.complete = true
		return n, io.EOF
	}
	r.broken = true
	r.exchange.call.conn.abort()
	return n, fmt.Errorf("read response body: %w", err)
}

// Close ends the exchange.
func (r *relay) Close() error {
	if r.source == nil {
		return nil
	}
	_ = r.source.CloseBodyStream()
	fasthttp.ReleaseResponse(r.source)
	r.source = nil
	r.exchange.end(r.reusable && r.complete)
	for _, end := range r.ends {
		end(r.complete)
	}
	return nil
}
