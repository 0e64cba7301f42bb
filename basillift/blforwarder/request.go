package blforwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

var (
	errTooLarge = eris.New("body is larger than allowed")
	errTrailer  = eris.New("trailer is too long")
)

// trailerLines bounds the trailer of a body in chunks.
const trailerLines = 64

// field is one header line.
type field struct{ name, value string }

// request is a request as it came from a caller or another daemon.
type request struct {
	method  string
	uri     string
	host    string
	fields  []field
	body    []byte
	rest    *rest
	size    int // announced size of the body; -1 in chunks
	close   bool
	expects bool
	arrived time.Time
}

// rest is the part of a large body that is still to be read from the connection.
type rest struct {
	reader io.Reader
	done   chan struct{}
	// interrupt ends a read that waits for the other side.
	interrupt func()
	err       error
	ended     bool
}

// end tells the reader of the connection that nobody reads the body any more.
func (r *rest) end() {
	if r != nil && !r.ended {
		r.ended = true
		close(r.done)
	}
}

// Read implements io.Reader and keeps the error that ended the body.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// whole reports whether the body is in memory, so that it can be sent again.
func (r *request) whole() bool { return r.rest == nil }

// header returns the first value of a header.
func (r *request) header(name string) string {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			return f.value
		}
	}
	return ""
}

// millis returns the value of a header in milliseconds.
func (r *request) millis(name string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(r.header(name)), 64)
	if err != nil || n < 0 || n > 1e9 {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// readHeader reads the header of a request.
func readHeader(reader *bufio.Reader, h *fasthttp.RequestHeader, now time.Time) (*request, error) {
	h.Reset()
	h.DisableNormalizing()
	if err := h.Read(reader); err != nil {
		return nil, err //nolint:wrapcheck // the caller tells the kinds of errors apart
	}
	r := &request{
		method: string(h.Method()), uri: string(h.RequestURI()), host: string(h.Host()),
		size: h.ContentLength(), close: h.ConnectionClose(), arrived: now,
	}
	lengths, chunked := 0, false
	for name, value := range h.AllInOrder() {
		f := field{string(name), string(value)}
		switch strings.ToLower(f.name) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			chunked = true
		case "expect":
			r.expects = strings.EqualFold(f.value, "100-continue")
		}
		r.fields = append(r.fields, f)
	}
	if chunked && lengths > 0 {
		return nil, fmt.Errorf("read request: %w", fasthttp.ErrDuplicateContentLength)
	}
	if !chunked && lengths == 0 {
		r.size = 0
	}
	return r, nil
}

// readBody reads the body into memory, or its first part if it is large.
func (r *request) readBody(reader *bufio.Reader, limit int) error {
	if r.size == 0 {
		return nil
	}
	if r.size > limit {
		return fmt.Errorf("read request body: %w", errTooLarge)
	}
	source := bodyReader(reader, r.size)
	body, more, err := readWhole(source, r.size)
	r.body = body
	if err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	if more {
		r.rest = &rest{reader: &bounded{source: source, left: limit - len(body)}, done: make(chan struct{})}
	}
	return nil
}

// bounded fails once a body is larger than allowed.
type bounded struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.left -= n
	if b.left < 0 {
		return n, fmt.Errorf("read body: %w", errTooLarge)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// readWhole reads up to wholeBytes and reports whether there is more.
func readWhole(source io.Reader, size int) (body []byte, more bool, err error) {
	capacity := size
	if size < 0 || size > wholeBytes {
		capacity = 4 << 10
	}
	if size > wholeBytes {
		capacity = wholeBytes
	}
	body = make([]byte, 0, capacity+1)
	for len(body) < wholeBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := source.Read(body[len(body):min(cap(body), wholeBytes)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, false, nil
		}
		if err != nil {
			return body, false, err //nolint:wrapcheck // the caller adds what was read
		}
	}
	return body, size < 0 || len(body) < size, nil
}

// bodyReader returns a reader that ends with the body. A body that ends early is an error.
func bodyReader(reader *bufio.Reader, size int) io.Reader {
	if size < 0 {
		return &chunks{reader: reader, chunked: httputil.NewChunkedReader(reader)}
	}
	return &fixed{reader: reader, left: size}
}

// fixed is a body of known size.
type fixed struct {
	reader *bufio.Reader
	left   int
}

// Read implements io.Reader.
func (f *fixed) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n, err := f.reader.Read(p[:min(len(p), f.left)])
	f.left -= n
	if errors.Is(err, io.EOF) && f.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if f.left == 0 {
		return n, io.EOF
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// chunks is a body in chunks; it also reads the trailer, which is dropped.
type chunks struct {
	reader  *bufio.Reader
	chunked io.Reader
	ended   bool
}

// Read implements io.Reader.
func (c *chunks) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunked.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // io.EOF must stay as it is
	}
	c.ended = true
	for range trailerLines {
		line, isPrefix, err := c.reader.ReadLine()
		if err != nil || isPrefix {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) == 0 {
			return n, io.EOF
		}
	}
	return n, fmt.Errorf("read body: %w", errTrailer)
}
