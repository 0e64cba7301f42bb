package blproxy

import (
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift/blpool"
)

var errTruncatedRequest = eris.New("request body is shorter than announced")

// body is the body of a request. Up to the buffer limit it is held in memory,
// so that it can be sent again; the rest is read from the caller while it is sent.
type body struct {
	buffer *bytebufferpool.ByteBuffer
	rest   io.Reader
	size   int
	// touched is set once bytes of rest were read; the request cannot be sent again then.
	touched bool
	// read counts the bytes that came from the caller.
	read int
	// failed is the error of the caller's connection.
	failed error
}

// readBody reads up to limit bytes of the request's body.
func readBody(request *fasthttp.Request, limit int) (*body, error) {
	stream := request.BodyStream()
	if stream == nil {
		return &body{}, nil
	}
	b := &body{size: request.Header.ContentLength(), buffer: bytebufferpool.Get()}
	b.reserve(limit)
	for b.read < limit {
		if b.read == cap(b.buffer.B) {
			b.buffer.B = append(b.buffer.B, 0)
		}
		free := b.buffer.B[b.read:min(cap(b.buffer.B), limit)]
		n, err := stream.Read(free)
		b.read += n
		b.buffer.B = b.buffer.B[:b.read]
		if err == io.EOF {
			return b, b.complete()
		}
		if err != nil {
			return b, fmt.Errorf("read request body: %w", err)
		}
	}
	if b.read == b.size {
		return b, nil
	}
	b.rest = stream
	return b, nil
}

// reserve makes room for the announced size, or for a first part of a body of unknown size.
func (b *body) reserve(limit int) {
	need := min(b.size, limit)
	if b.size < 0 {
		need = 4 << 10
	}
	if cap(b.buffer.B) < need {
		b.buffer.B = make([]byte, 0, need)
	}
	b.buffer.B = b.buffer.B[:0]
}

func (b *body) complete() error {
	if b.size >= 0 && b.read < b.size {
		return fmt.Errorf("read request body: %w", errTruncatedRequest)
	}
	return nil
}

func (b *body) whole() bool { return b.rest == nil }

func (b *body) bytes() []byte {
	if b.buffer == nil {
		return nil
	}
	return b.buffer.B
}

// attach gives the body to an outgoing request.
func (b *body) attach(out *fasthttp.Request) {
	if b.rest != nil {
		out.SetBodyStream(&upload{body: b}, b.size)
		return
	}
	if b.size < 0 {
		// The body is framed by its length now, also when it turned out to be empty.
		out.Header.SetContentLength(b.read)
	}
	out.SetBodyRaw(b.bytes())
}

func (b *body) release() {
	if b.buffer != nil {
		bytebufferpool.Put(b.buffer)
		b.buffer = nil
	}
}

// upload reads the buffered part and then the rest. It reports a body that is
// shorter than announced as an error, which fasthttp's server does not.
type upload struct {
	body   *body
	offset int
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	b := u.body
	if u.offset < len(b.buffer.B) {
		n := copy(p, b.buffer.B[u.offset:])
		u.offset += n
		return n, nil
	}
	b.touched = true
	n, err := b.rest.Read(p)
	b.read += n
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = b.complete()
	}
	if err == nil {
		return n, io.EOF
	}
	b.failed = err
	return n, fmt.Errorf("read request body: %w", err)
}

// sender writes a request whose body is still arriving, while the response is awaited elsewhere.
type sender struct {
	request *fasthttp.Request
	conn    *blpool.Conn
	body    *body
	err     error
	done    chan struct{}
}

// run closes the connection when the caller's body fails, so that the receiver
// never takes a part of it as whole and the waiting reader wakes up.
func (s *sender) run() {
	defer close(s.done)
	s.err = writeRequest(s.request, s.conn)
	if s.body.failed != nil {
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
