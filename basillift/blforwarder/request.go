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

	"basillift.dev/basillift/blhttp"
)

var (
	errTooLarge       = eris.New("body is larger than allowed")
	errTrailerTooLong = eris.New("trailer is too long")
	errNoMemory       = eris.New("no memory is left for the body")
)

// maxTrailerLines bounds the trailer of a chunked body.
const maxTrailerLines = 64

// fieldBytes is what a header field takes besides its bytes.
const fieldBytes = 64

// field is one header field.
type field struct{ name, value string }

// request is a request as received from a caller or another daemon.
type request struct {
	method          string
	uri             string
	host            string
	fields          []field
	body            []byte
	stream          *requestStream
	size            int // announced size of the body in bytes; -1 if chunked
	close           bool
	expectsContinue bool
	arrived         time.Time
	// headerBytes is about how much memory the header takes.
	headerBytes int
	// bodyStalled reports whether the rest of a large body has made no progress; nil if the body is in memory.
	bodyStalled func() bool
	// memory holds the bodies of the request and of the answers to it; nil if they are not bounded together with others.
	memory *bodyMemory
}

// buffered reports whether the whole body is in memory, so that the request can be sent again.
func (r *request) buffered() bool { return r.stream == nil }

// stalled reports whether the body is not complete because the peer sends nothing more.
func (r *request) stalled() bool {
	return r.bodyStalled != nil && !r.stream.complete() && r.bodyStalled()
}

// header returns the first value of a header field, or "" without one.
func (r *request) header(name string) string {
	for _, f := range r.fields {
		if strings.EqualFold(f.name, name) {
			return f.value
		}
	}
	return ""
}

// headerMillis parses a header field in milliseconds. It returns false if the value is missing, invalid, negative or
// above 1e9.
func (r *request) headerMillis(name string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(r.header(name)), 64)
	if err != nil || n < 0 || n > 1e9 {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// readHeader reads the header of a request. A request with both a length and a chunked body is an error, since it
// could be used for request smuggling.
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
			r.expectsContinue = strings.EqualFold(f.value, "100-continue")
		}
		r.fields = append(r.fields, f)
		r.headerBytes += len(f.name) + len(f.value) + fieldBytes
	}
	r.headerBytes += len(r.uri) + len(r.host)
	if chunked && lengths > 0 {
		return nil, fmt.Errorf("read request: %w", fasthttp.ErrDuplicateContentLength)
	}
	if !chunked && lengths == 0 {
		r.size = 0
	}
	return r, nil
}

// readBody reads the body into memory, or only its first part if it is large. It returns errTooLarge above the limit, and
// errNoMemory if there is no memory for it: a body that is passed on before it has arrived would hold a slot, and load others.
func (r *request) readBody(reader *bufio.Reader, limit int) error {
	if r.size == 0 {
		return nil
	}
	if r.exceeds(limit) {
		return fmt.Errorf("read request body: %w", errTooLarge)
	}
	source := bodyReader(reader, r.size)
	body, more, err := readBuffered(source, r.size, r.memory.takeOrReclaim)
	r.body = body
	switch {
	case err != nil:
		return fmt.Errorf("read request body: %w", err)
	case more && (len(body) < maxBufferedBytes || !r.memory.takeOrReclaim(streamBytes)):
		return fmt.Errorf("read request body: %w", errNoMemory)
	case more:
		r.stream = newRequestStream(&maxBytesReader{source: source, left: limit - len(body)}, r.memory, min(maxReadAheadBytes, r.memory.readAheadBytes()))
	}
	return nil
}

// exceeds reports whether the announced size of the body is above the limit.
func (r *request) exceeds(limit int) bool { return r.size > limit }

// maxBytesReader returns errTooLarge once the body exceeds the limit.
type maxBytesReader struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (m *maxBytesReader) Read(p []byte) (int, error) {
	n, err := m.source.Read(p)
	m.left -= n
	if m.left < 0 {
		return n, fmt.Errorf("read body: %w", errTooLarge)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// readBuffered reads up to maxBufferedBytes, or less if take returns false for the memory, and reports whether the body has more.
// size is the announced size of the body; negative if it is unknown.
func readBuffered(source io.Reader, size int, take func(n int) bool) (body []byte, more bool, err error) {
	expected := size
	if size < 0 || size > maxBufferedBytes {
		expected = maxBufferedBytes
	}
	// One byte more than expected lets the last read return io.EOF.
	body = make([]byte, 0, min(expected, minBufferedBytes)+1)
	for len(body) < maxBufferedBytes {
		if len(body) == cap(body) {
			capacity := expected + 1
			if size < 0 {
				capacity = min(2*cap(body), capacity)
			}
			if !take(capacity - cap(body)) {
				break
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := source.Read(body[len(body):min(cap(body), maxBufferedBytes)])
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

// bodyReader returns a reader that returns io.EOF at the end of the body. A truncated body is an error.
func bodyReader(reader *bufio.Reader, size int) io.Reader {
	if size < 0 {
		return &chunkedBody{reader: reader, chunked: httputil.NewChunkedReader(reader)}
	}
	return blhttp.NewSizedReader(reader, size)
}

// chunkedBody reads a chunked body and discards its trailer.
type chunkedBody struct {
	reader  *bufio.Reader
	chunked io.Reader
	ended   bool
}

// Read implements io.Reader.
func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunked.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err //nolint:wrapcheck // io.EOF must stay as it is
	}
	c.ended = true
	for range maxTrailerLines {
		line, isPrefix, err := c.reader.ReadLine()
		if err != nil || isPrefix {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) == 0 {
			return n, io.EOF
		}
	}
	return n, fmt.Errorf("read body: %w", errTrailerTooLong)
}
