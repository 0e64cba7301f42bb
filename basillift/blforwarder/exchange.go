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

	"basillift.dev/basillift/blhttp"
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
	log      *requestLog
	pool     *blpool.Pool
	conn     *blpool.Conn
	request  *request
	header   []byte
	deadline time.Time
	// connectBy is when the connection must be open; zero for the deadline.
	connectBy time.Time
	// requestID is the id that the answer must echo; empty to skip the check.
	requestID     string
	idHeader      string
	notRunHeader  string
	detachContext func() bool
	// newConnection is set for a request that must not use an idle connection, which may be silent.
	newConnection bool
	// begun is called when the connection is open, before the request is sent; nil for no function.
	begun func()
	// headReceived is called when the head of an answer has arrived, before its body; nil for no function.
	headReceived    func(*receivedAnswer)
	sender          *sender
	readStaleAnswer bool
	unsent          bool
}

// newExchange returns the exchange of a request with a target or another daemon.
func (f *Forwarder) newExchange(address string, r *request, header []byte, deadline time.Time) *exchange {
	return &exchange{
		log: f.requestLog, pool: f.pools.Of(address), request: r, header: header, deadline: deadline,
		idHeader: f.settings.headerNames.RequestID(),
	}
}

// sender writes a large request while another goroutine waits for the answer.
type sender struct {
	exchange *exchange
	done     chan struct{}
	err      error
}

func (s *sender) run() {
	defer close(s.done)
	s.err = s.exchange.write()
	if s.err != nil && s.exchange.request.stream != nil && s.exchange.request.stream.broken() {
		// The receiver must not take the truncated body for a complete one.
		_ = s.exchange.conn.Close()
	}
}

// run sends the request and reads the answer. After an error, unsent is set if no byte of the request was sent.
func (e *exchange) run(ctx context.Context, now time.Time) (*receivedAnswer, error) {
	connect := e.pool.Get
	if e.newConnection {
		connect = e.pool.Open
	}
	conn, err := connect(now, earlier(e.deadline, e.connectBy))
	if err != nil {
		e.unsent = true
		return nil, fmt.Errorf("get connection: %w", err)
	}
	e.conn = conn
	if err = conn.Begin(e.deadline); err != nil {
		e.unsent = true
		e.pool.Discard(conn)
		return nil, fmt.Errorf("begin exchange: %w", err)
	}
	if e.begun != nil {
		e.begun()
	}
	e.detachContext = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	a, err := e.roundTrip()
	if err != nil {
		e.finish(false)
		e.logInvalid(err)
		// The sender has ended, so that nothing more is written.
		e.unsent = conn.Written() == 0
		return nil, err
	}
	if a.stream != nil {
		// The answer outlives this call. From here on only the connection's own deadline bounds it.
		stopped := e.detachContext()
		e.detachContext = func() bool { return stopped }
		a.stream.readAhead(e, a.reusable)
		return a, nil
	}
	if a.keepAlive > 0 {
		conn.ShortenIdle(max(0, a.keepAlive-keepAliveMargin))
	}
	e.finish(a.reusable)
	return a, nil
}

func (e *exchange) roundTrip() (*receivedAnswer, error) {
	if e.request.buffered() && len(e.request.body) <= maxInlineBodyBytes {
		if err := e.write(); err != nil {
			return nil, err
		}
	} else {
		if !e.request.buffered() {
			e.conn.AllowPause(slowReaderTimeout)
		}
		e.sender = &sender{exchange: e, done: make(chan struct{})}
		go e.sender.run()
	}
	for range maxStaleAnswers + 1 {
		a, err := e.readAnswer()
		if err != nil {
			return nil, err
		}
		if e.matchesRequest(a) {
			return a, nil
		}
		// This is a late answer to an earlier request on the connection.
		e.readStaleAnswer = true
		if !a.reusable || a.stream != nil {
			break
		}
	}
	return nil, fmt.Errorf("read answer: %w", errStaleAnswers)
}

// matchesRequest reports whether an answer belongs to the request. A refusal without an id does on a new connection only: on
// a reused one it may be an earlier refusal that was sent once more, while the request runs.
func (e *exchange) matchesRequest(a *receivedAnswer) bool {
	if e.requestID == "" {
		return true
	}
	echoed := a.header(e.idHeader)
	refused := a.status == http.StatusMisdirectedRequest || a.header(e.notRunHeader) != ""
	return echoed == e.requestID || echoed == "" && refused && !e.conn.Reused()
}

func (e *exchange) write() error {
	w := e.conn.Writer()
	r := e.request
	_, _ = w.Write(e.header)
	if r.stream == nil {
		_, _ = w.Write(r.body)
	} else if err := e.writeStream(); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// writeStream sends a large body as it arrives from the caller.
func (e *exchange) writeStream() error {
	r, w := e.request, e.conn.Writer()
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

// stopSender ends the sending of the request. It returns an error if the connection broke off before the peer had ended its answer.
func (e *exchange) stopSender() error {
	if e.sender == nil {
		return nil
	}
	select {
	case <-e.sender.done:
	default:
		_ = e.conn.SetWriteDeadline(time.Unix(1, 0))
		// A peer that has not read the whole request would see the end of the connection only behind it.
		e.conn.ResetOnClose()
		if e.request.stream != nil {
			e.request.stream.stop()
		}
		<-e.sender.done
	}
	if blpool.ConnectionBroken(e.sender.err) {
		return e.sender.err
	}
	return nil
}

// logInvalid logs an answer that is malformed or ended early.
func (e *exchange) logInvalid(err error) {
	if e.log != nil && blhttp.Invalid(err) {
		e.log.logInvalidAnswer(time.Now(), e.request.header(e.idHeader), e.conn.RemoteAddr().String(), err)
	}
}

// finish returns the connection to the pool, or closes it if it cannot be reused or the request was not sent
// completely. After that the sender does not read from the caller's connection.
func (e *exchange) finish(reusable bool) {
	canceled := !e.detachContext()
	if e.sender != nil {
		select {
		case <-e.sender.done:
			reusable = reusable && e.sender.err == nil
		default:
			reusable = false
			_ = e.stopSender()
		}
	}
	if reusable && !canceled && !e.readStaleAnswer && e.conn.Reader().Buffered() == 0 {
		e.pool.Put(time.Now(), e.conn)
		return
	}
	e.pool.Discard(e.conn)
	if e.sender != nil && e.request.stream != nil {
		e.request.stream.stop()
	}
}
