package blforwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift/blpool"
)

// maxInlineBodyBytes is the largest body that is written completely before the answer is read. A target may answer
// before it has read a larger one.
const maxInlineBodyBytes = 16 << 10

// keepAliveMargin is subtracted from an announced keep-alive timeout, which is in whole seconds.
const keepAliveMargin = time.Second

// maxStaleAnswers is how many answers to other requests are skipped while waiting for the expected one.
const maxStaleAnswers = 2

var errStaleAnswers = eris.New("received only answers to other requests")

// exchange is one request and its answer on one connection.
type exchange struct {
	pool     *blpool.Pool
	conn     *blpool.Conn
	request  *request
	header   []byte
	deadline time.Time
	// requestID is the id that the answer must echo; empty to skip the check.
	requestID       string
	idHeader        string
	notRunHeader    string
	detachContext   func() bool
	sender          *sender
	readStaleAnswer bool
	unsent          bool
}

// sender writes a large request while the answer is awaited.
type sender struct {
	exchange *exchange
	done     chan struct{}
	err      error
}

func (s *sender) run() {
	defer close(s.done)
	s.err = s.exchange.write()
	if s.err != nil && s.exchange.request.stream != nil && s.exchange.request.stream.err != nil &&
		!errors.Is(s.exchange.request.stream.err, io.EOF) {
		// The receiver must not take the truncated body for a complete one.
		_ = s.exchange.conn.Close()
	}
}

// run sends the request and reads the answer. After an error, unsent is set if no byte of the request was sent.
func (x *exchange) run(ctx context.Context, now time.Time) (*receivedAnswer, error) {
	conn, err := x.pool.Get(now, x.deadline)
	if err != nil {
		x.unsent = true
		return nil, fmt.Errorf("get connection: %w", err)
	}
	x.conn = conn
	if err = conn.Begin(x.deadline); err != nil {
		x.unsent = true
		x.pool.Discard(conn)
		return nil, fmt.Errorf("begin exchange: %w", err)
	}
	x.detachContext = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	a, err := x.roundTrip()
	if err != nil {
		x.unsent = conn.Written() == 0
		x.finish(false)
		return nil, err
	}
	if a.stream != nil {
		// The answer outlives this call. From here on only the connection's own deadline bounds it.
		stopped := x.detachContext()
		x.detachContext = func() bool { return stopped }
		a.stream.finish = func(complete bool) { x.finish(complete && a.reusable) }
		return a, nil
	}
	if a.keepAlive > 0 {
		conn.ShortenIdle(max(0, a.keepAlive-keepAliveMargin))
	}
	x.finish(a.reusable)
	return a, nil
}

func (x *exchange) roundTrip() (*receivedAnswer, error) {
	if x.request.buffered() && len(x.request.body) <= maxInlineBodyBytes {
		if err := x.write(); err != nil {
			return nil, err
		}
	} else {
		x.sender = &sender{exchange: x, done: make(chan struct{})}
		go x.sender.run()
	}
	h := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(h)
	for range maxStaleAnswers + 1 {
		a, err := readAnswer(x.conn.Reader(), &h.Header, x.request.method)
		if err != nil {
			return nil, err
		}
		if x.matchesRequest(a) {
			return a, nil
		}
		// This is a late answer to an earlier request on the connection.
		x.readStaleAnswer = true
		if !a.reusable || a.stream != nil {
			break
		}
	}
	return nil, fmt.Errorf("read answer: %w", errStaleAnswers)
}

func (x *exchange) matchesRequest(a *receivedAnswer) bool {
	if x.requestID == "" {
		return true
	}
	echoed := a.header(x.idHeader)
	refused := a.status == http.StatusMisdirectedRequest || a.header(x.notRunHeader) != ""
	return echoed == x.requestID || echoed == "" && refused
}

func (x *exchange) write() error {
	w := x.conn.Writer()
	r := x.request
	_, _ = w.Write(x.header)
	if r.stream == nil {
		_, _ = w.Write(r.body)
	} else if err := x.writeStream(); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// writeStream sends a large body as it arrives from the caller.
func (x *exchange) writeStream() error {
	r, w := x.request, x.conn.Writer()
	chunked := r.size < 0
	send := func(data []byte) error {
		if len(data) == 0 {
			return nil
		}
		if chunked {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(data)), 16) + "\r\n")
		}
		_, _ = w.Write(data)
		if chunked {
			_, _ = w.WriteString("\r\n")
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("write request body: %w", err)
		}
		return nil
	}
	if err := send(r.body); err != nil {
		return err
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := r.stream.Read(buffer)
		if failed := send(buffer[:n]); failed != nil {
			return failed
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read request body: %w", err)
		}
	}
	if chunked {
		_, _ = w.WriteString("0\r\n\r\n")
	}
	return nil
}

// finish returns the connection to the pool, or closes it if it cannot be reused or the request was not sent
// completely.
func (x *exchange) finish(reusable bool) {
	canceled := !x.detachContext()
	if x.sender != nil {
		select {
		case <-x.sender.done:
			reusable = reusable && x.sender.err == nil
		default:
			reusable = false
			_ = x.conn.SetDeadline(time.Unix(1, 0))
		}
	}
	if reusable && !canceled && !x.readStaleAnswer && x.conn.Reader().Buffered() == 0 {
		x.pool.Put(time.Now(), x.conn)
		return
	}
	x.pool.Discard(x.conn)
	if x.sender == nil {
		return
	}
	if x.request.stream != nil {
		x.request.stream.interrupt()
	}
	// The sender must not read from the caller's connection after finish returns.
	<-x.sender.done
}
