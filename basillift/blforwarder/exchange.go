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

// smallBody is the largest body that is written before the answer is read. A target may answer a larger
// one before it has read it.
const smallBody = 16 << 10

// keepAliveMargin is how much earlier than announced a connection counts as closed; announced times are whole seconds.
const keepAliveMargin = time.Second

// strayAnswers is how many answers that belong to no request are skipped before the one that is waited for.
const strayAnswers = 2

var errStray = eris.New("answers belong to other requests")

// exchange is one request on one connection, and its answer.
type exchange struct {
	pool     *blpool.Pool
	conn     *blpool.Conn
	request  *request
	head     []byte
	deadline time.Time
	// requestID is the id that the answer must echo; empty if that is not checked.
	requestID   string
	idHeader    string
	notRun      string
	stop        func() bool
	sender      *sender
	strayed     bool
	unreachable bool
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
	if s.err != nil && s.exchange.request.rest != nil && s.exchange.request.rest.err != nil &&
		!errors.Is(s.exchange.request.rest.err, io.EOF) {
		// The receiver must not take a part of the body as whole.
		_ = s.exchange.conn.Close()
	}
}

// run sends the request and reads the answer. After an error, unreachable tells that no byte was sent.
func (x *exchange) run(ctx context.Context, now time.Time) (*received, error) {
	conn, err := x.pool.Get(now, x.deadline)
	if err != nil {
		x.unreachable = true
		return nil, fmt.Errorf("get connection: %w", err)
	}
	x.conn = conn
	if err = conn.Begin(x.deadline); err != nil {
		x.unreachable = true
		x.pool.Discard(conn)
		return nil, fmt.Errorf("begin exchange: %w", err)
	}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	a, err := x.converse()
	if err != nil {
		x.unreachable = conn.Written() == 0
		x.finish(false)
		return nil, err
	}
	if a.rest != nil {
		// The answer outlives the call; the connection's own deadline bounds it.
		left := x.stop()
		x.stop = func() bool { return left }
		a.rest.finish = func(complete bool) { x.finish(complete && a.reusable) }
		return a, nil
	}
	if a.keepAlive > 0 {
		conn.ShortenIdle(max(0, a.keepAlive-keepAliveMargin))
	}
	x.finish(a.reusable)
	return a, nil
}

func (x *exchange) converse() (*received, error) {
	if x.request.whole() && len(x.request.body) <= smallBody {
		if err := x.write(); err != nil {
			return nil, err
		}
	} else {
		x.sender = &sender{exchange: x, done: make(chan struct{})}
		go x.sender.run()
	}
	h := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(h)
	for range strayAnswers + 1 {
		a, err := readReceived(x.conn.Reader(), &h.Header, x.request.method)
		if err != nil {
			return nil, err
		}
		if x.belongs(a) {
			return a, nil
		}
		// A late answer to an earlier request stands where this one's is expected.
		x.strayed = true
		if !a.reusable || a.rest != nil {
			break
		}
	}
	return nil, fmt.Errorf("read answer: %w", errStray)
}

func (x *exchange) belongs(a *received) bool {
	if x.requestID == "" {
		return true
	}
	echoed := a.header(x.idHeader)
	refused := a.status == http.StatusMisdirectedRequest || a.header(x.notRun) != ""
	return echoed == x.requestID || echoed == "" && refused
}

func (x *exchange) write() error {
	w := x.conn.Writer()
	r := x.request
	_, _ = w.Write(x.head)
	if r.rest == nil {
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
	send := func(part []byte) error {
		if len(part) == 0 {
			return nil
		}
		if chunked {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
		}
		_, _ = w.Write(part)
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
		n, err := r.rest.Read(buffer)
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

// finish gives the connection back or closes it. A request that is not fully sent closes it.
func (x *exchange) finish(reusable bool) {
	canceled := !x.stop()
	if x.sender != nil {
		select {
		case <-x.sender.done:
			reusable = reusable && x.sender.err == nil
		default:
			reusable = false
			_ = x.conn.SetDeadline(time.Unix(1, 0))
		}
	}
	if reusable && !canceled && !x.strayed && x.conn.Reader().Buffered() == 0 {
		x.pool.Put(time.Now(), x.conn)
		return
	}
	x.pool.Discard(x.conn)
	if x.sender == nil {
		return
	}
	if x.request.rest != nil {
		x.request.rest.interrupt()
	}
	// The body belongs to the caller's connection again once this returns.
	<-x.sender.done
}
