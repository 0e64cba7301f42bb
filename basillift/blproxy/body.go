package blproxy

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift/blpool"
)

var errTruncatedRequest = eris.New("request body is shorter than announced")

// body is a request body. Up to the buffer limit it is held in memory, so that the request can be
// retried. The rest is read from the caller while it is sent.
type body struct {
	buffer *bytebufferpool.ByteBuffer
	stream io.Reader
	// size is the announced size in bytes; negative if none is announced.
	size int
	// streamStarted is set once bytes of the stream were read; the request cannot be retried then.
	streamStarted bool
	// readBytes counts the bytes received from the caller.
	readBytes int
	// readErr is the error from reading the body from the caller.
	readErr error
}

// readBody reads up to limit bytes of the request's body.
func readBody(request *fasthttp.Request, limit int) (*body, error) {
	stream := request.BodyStream()
	if stream == nil {
		return &body{}, nil
	}
	b := &body{size: request.Header.ContentLength(), buffer: bytebufferpool.Get()}
	b.allocate(limit)
	for b.readBytes < limit {
		if b.readBytes == cap(b.buffer.B) {
			b.buffer.B = append(b.buffer.B, 0)
		}
		free := b.buffer.B[b.readBytes:min(cap(b.buffer.B), limit)]
		n, err := stream.Read(free)
		b.readBytes += n
		b.buffer.B = b.buffer.B[:b.readBytes]
		if err == io.EOF {
			return b, b.checkLength()
		}
		if err != nil {
			return b, fmt.Errorf("read request body: %w", err)
		}
	}
	if b.readBytes == b.size {
		return b, nil
	}
	b.stream = stream
	return b, nil
}

// allocate allocates the buffer for the announced size, or 4 KiB for a body of unknown size.
func (b *body) allocate(limit int) {
	need := min(b.size, limit)
	if b.size < 0 {
		need = 4 << 10
	}
	if cap(b.buffer.B) < need {
		b.buffer.B = make([]byte, 0, need)
	}
	b.buffer.B = b.buffer.B[:0]
}

func (b *body) checkLength() error {
	if b.size >= 0 && b.readBytes < b.size {
		return fmt.Errorf("read request body: %w", errTruncatedRequest)
	}
	return nil
}

func (b *body) isBuffered() bool { return b.stream == nil }

func (b *body) bytes() []byte {
	if b.buffer == nil {
		return nil
	}
	return b.buffer.B
}

// attach sets the body of an outgoing request.
func (b *body) attach(out *fasthttp.Request) {
	if b.stream != nil {
		out.SetBodyStream(&uploadReader{body: b}, b.size)
		return
	}
	if b.size < 0 {
		// The body now has a known length and is sent with Content-Length, even if it is empty.
		out.Header.SetContentLength(b.readBytes)
	}
	out.SetBodyRaw(b.bytes())
}

func (b *body) release() {
	if b.buffer != nil {
		bytebufferpool.Put(b.buffer)
		b.buffer = nil
	}
}

// uploadReader reads the buffered part and then the stream. It returns an error if the body is
// shorter than announced, which the server of fasthttp does not.
type uploadReader struct {
	body   *body
	offset int
}

// Read implements io.Reader.
func (u *uploadReader) Read(p []byte) (int, error) {
	b := u.body
	if u.offset < len(b.buffer.B) {
		n := copy(p, b.buffer.B[u.offset:])
		u.offset += n
		return n, nil
	}
	b.streamStarted = true
	n, err := b.stream.Read(p)
	b.readBytes += n
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = b.checkLength()
	}
	if err == nil {
		return n, io.EOF
	}
	b.readErr = err
	return n, fmt.Errorf("read request body: %w", err)
}

// sender writes a request whose body is still arriving, while another goroutine waits for the
// response.
type sender struct {
	request *fasthttp.Request
	conn    *blpool.Conn
	body    *body
	err     error
	done    chan struct{}
	// stopped is set once the rest of the body is not needed.
	stopped atomic.Bool
}

// run writes the request. It closes the connection when reading the caller's body fails, so that
// the receiver never treats a partial body as complete and the goroutine that waits for the
// response returns. A sender that was stopped leaves the connection open for the response, of which
// the head has arrived; it is closed behind that.
func (s *sender) run() {
	defer close(s.done)
	s.err = writeRequest(s.request, s.conn)
	if s.body.readErr != nil && !s.stopped.Load() {
		_ = s.conn.Close()
	}
}

func writeRequest(request *fasthttp.Request, c *blpool.Conn) error {
	err := request.Write(c.Writer())
	if err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	err = c.Writer().Flush()
	if err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}
