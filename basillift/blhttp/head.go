package blhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

var (
	// ErrMalformed means that a peer sent bytes that are no HTTP response.
	ErrMalformed = eris.New("malformed response")
	// ErrTruncated means that a response ended before its end.
	ErrTruncated = eris.New("truncated response")
)

// maxHeadBytes bounds the head of a response, and the trailers of one.
const maxHeadBytes = 16 << 10

// Values of Head.Length that are no length.
const (
	// LengthUnknown is that of a body in chunks, and that of a response without a body that announces no length.
	LengthUnknown = -1
	// LengthUntilClose is that of a body that ends with its connection.
	LengthUntilClose = -2
)

// field is a header field as received, without the blanks around its value.
type field struct{ name, value string }

// Head is the head of a final response.
type Head struct {
	status     int
	minor      byte
	fields     []field
	length     int
	chunked    bool
	bodyless   bool
	persistent bool
	// options are the values of all fields Connection, as one list.
	options string
}

// Status returns the status code, from 200 to 599.
func (h *Head) Status() int { return h.status }

// Fields returns names and values of all header fields in the order in which they arrived.
func (h *Head) Fields() iter.Seq2[string, string] {
	return func(yield func(name, value string) bool) {
		for _, f := range h.fields {
			if !yield(f.name, f.value) {
				return
			}
		}
	}
}

// FieldCount returns the number of header fields.
func (h *Head) FieldCount() int { return len(h.fields) }

// Length returns the size of the body in bytes, LengthUnknown or LengthUntilClose. For a response without a body it is the size
// that it announces.
func (h *Head) Length() int { return h.length }

// Bodyless reports whether the response has no body, whatever its fields say.
func (h *Head) Bodyless() bool { return h.bodyless }

// Persistent reports whether the connection can carry another request once the body has been read.
func (h *Head) Persistent() bool { return h.persistent }

// ReadHead reads the head of the final response to a request with a method and skips interim ones. It returns an error that wraps
// io.EOF, and neither ErrMalformed nor ErrTruncated, if the connection was closed before the first byte.
func ReadHead(reader *bufio.Reader, method string) (*Head, error) {
	for {
		h, err := readOneHead(reader)
		if err != nil {
			return nil, err
		}
		if h.status == http.StatusSwitchingProtocols {
			return nil, malformed("unrequested protocol switch")
		}
		if h.status < http.StatusOK {
			continue
		}
		return h, h.parseFraming(method)
	}
}

// readOneHead reads the head of a final or an interim response.
func readOneHead(reader *bufio.Reader) (*Head, error) {
	lines := lineReader{reader: reader, part: "head", left: maxHeadBytes}
	line, err := lines.next()
	if err != nil {
		return nil, err
	}
	h := &Head{}
	if h.status, h.minor, err = parseStatusLine(line); err != nil {
		return nil, err
	}
	h.fields, err = lines.fields()
	return h, err
}

// lineReader reads the lines of a part of a response.
type lineReader struct {
	reader *bufio.Reader
	part   string
	left   int
	// begun is set once the response has begun.
	begun bool
}

// next returns a line without its end, which is valid until the next read. A line feed alone ends no line: one in the name of a
// field could end the head, and the rest of the head would be read as the body.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.reader.ReadSlice('\n')
	if err != nil {
		return nil, l.incomplete(line, err)
	}
	l.begun = true
	if l.left -= len(line); l.left < 0 {
		return nil, malformed("%s of more than %d bytes", l.part, maxHeadBytes)
	}
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return nil, malformed("line %.40q of the %s ends without a carriage return", line, l.part)
	}
	return text, nil
}

// incomplete returns the error for a line that did not arrive to its end.
func (l *lineReader) incomplete(line []byte, err error) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return malformed("line of the %s of more than %d bytes", l.part, len(line))
	case l.begun || len(line) > 0:
		return truncation(l.part, err)
	}
	return fmt.Errorf("read response: %w", err)
}

// fields reads header fields up to an empty line. All names and values share one string.
func (l *lineReader) fields() ([]field, error) {
	text, sizes := make([]byte, 0, 512), make([][2]int, 0, 16)
	for {
		line, err := l.next()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		text = append(append(text, name...), value...)
		sizes = append(sizes, [2]int{len(name), len(value)})
	}
	rest, fields := string(text), make([]field, len(sizes))
	for i, size := range sizes {
		end := size[0] + size[1]
		fields[i], rest = field{rest[:size[0]], rest[size[0]:end]}, rest[end:]
	}
	return fields, nil
}

// parseField parses a line of a head or of trailers (RFC 9112, section 5). A name ends at the colon: the proxies on a path do not
// agree on what a name with a blank means.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, malformed("name of field %.40q", name)
	}
	value = bytes.Trim(value, " \t")
	if !isText(value) {
		return nil, nil, malformed("value of field %.40q: %.40q", name, value)
	}
	return name, value, nil
}

// parseStatusLine parses the first line of a response (RFC 9112, section 4). A status outside 100 to 599 is invalid (RFC 9110,
// section 15).
func parseStatusLine(line []byte) (status int, minor byte, err error) {
	const status200 = "HTTP/1.1 200"
	if len(line) < len(status200) || string(line[:7]) != "HTTP/1." || line[7] < '0' || line[7] > '9' || line[8] != ' ' {
		return 0, 0, malformed("status line %.40q", line)
	}
	// ParseUint refuses signs.
	code, err := strconv.ParseUint(string(line[9:12]), 10, 16)
	phrase := line[len(status200):]
	if err != nil || code < http.StatusContinue || code > 599 || len(phrase) > 0 && phrase[0] != ' ' || !isText(phrase) {
		return 0, 0, malformed("status line %.40q", line)
	}
	return int(code), line[7], nil
}

// isToken reports whether a text may be the name of a field (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-':
		case strings.IndexByte("!#$%&'*+.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text has no control bytes, except for tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Invalid reports whether an error means that a response is malformed or truncated.
func Invalid(err error) bool { return errors.Is(err, ErrMalformed) || errors.Is(err, ErrTruncated) }

func malformed(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, arguments...))
}

// truncation returns the error of a read within a part of a response. It wraps ErrTruncated if the connection ended.
func truncation(part string, err error) error {
	switch {
	case errors.Is(err, ErrTruncated):
		return err
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	case !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET):
		return err
	}
	return fmt.Errorf("%w: the connection ended within the %s: %w", ErrTruncated, part, err)
}
