package blforwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

var errEarlyEnd = eris.New("answer ended early")

// answer is what goes back for a request: an answer of a target, or a daemon's own.
type answer struct {
	status int
	fields []field
	body   []byte
	// rest is the part of a large body that is passed on while it arrives.
	rest *stream
	// length is the announced size of a body that is not sent (HEAD); -1 in chunks.
	length     int
	bodyless   bool
	outcome    basillift.Outcome
	reason     basillift.Reason
	retryAfter time.Duration
	load       *basillift.Load
	// close ends the connection behind the answer.
	close bool
	// seen is the newest revision of the registry that the target side has seen.
	seen uint64
	// nested is set by the target side if the request was a call of a target.
	nested bool
	// feed is the state of an answer to a daemon that asks for a newer routing table.
	feed string
	// silent is set when nothing came back from the daemon beside the target.
	silent bool
}

// stream is the rest of a large body.
type stream struct {
	source io.Reader
	finish func(complete bool)
}

// header returns the first value of a header.
func (a *answer) header(name string) string {
	for _, f := range a.fields {
		if strings.EqualFold(f.name, name) {
			return f.value
		}
	}
	return ""
}

// discard ends an answer that nobody reads.
func (a *answer) discard() {
	if a != nil && a.rest != nil {
		a.rest.finish(false)
		a.rest = nil
	}
}

// notRun is a daemon's statement that a request did not run and never will.
func notRun(r basillift.Reason, retryAfter time.Duration) *answer {
	return &answer{status: http.StatusServiceUnavailable, outcome: basillift.OutcomeNotRun, reason: r, retryAfter: retryAfter}
}

// unknown is a daemon's statement that a request may have run.
func unknown(status int, r basillift.Reason) *answer {
	return &answer{status: status, outcome: basillift.OutcomeUnknown, reason: r}
}

// rejected is a final answer to a request that is not proper.
func rejected(status int, r basillift.Reason) *answer {
	return &answer{status: status, outcome: basillift.OutcomeNotRun, reason: r}
}

// write sends the answer. After an error the connection must be reset, so that
// what was sent does not look complete.
func (a *answer) write(w *bufio.Writer, internal, last bool) error {
	a.writeHead(w, internal, last)
	if _, err := w.Write(a.body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	if a.rest != nil {
		if err := a.writeRest(w); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// writeHead leaves errors to the write that follows, as bufio keeps them.
func (a *answer) writeHead(w *bufio.Writer, internal, last bool) {
	b := w.AvailableBuffer()
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.status), 10)
	b = append(append(append(b, ' '), http.StatusText(a.status)...), "\r\n"...)
	for _, f := range a.fields {
		if !internalHeader(f.name) {
			b = appendField(b, f.name, f.value)
		}
	}
	if a.retryAfter > 0 && a.status == http.StatusServiceUnavailable {
		b = appendField(b, "Retry-After", retrySeconds(a.retryAfter))
	}
	b = a.appendFraming(b)
	if internal {
		b = a.appendInternal(b)
	}
	if last || a.close {
		b = appendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	if a.rest != nil && a.length < 0 {
		b = append(strconv.AppendInt(b, int64(len(a.body)), 16), "\r\n"...)
	}
	_, _ = w.Write(b)
}

// appendFraming says where the body ends.
func (a *answer) appendFraming(b []byte) []byte {
	switch {
	case a.rest != nil && a.length < 0:
		return appendField(b, "Transfer-Encoding", "chunked")
	case a.bodyless && a.length < 0:
		return b
	case a.bodyless || a.rest != nil:
		return appendField(b, "Content-Length", strconv.Itoa(a.length))
	default:
		return appendField(b, "Content-Length", strconv.Itoa(len(a.body)))
	}
}

func (a *answer) appendInternal(b []byte) []byte {
	if a.feed != "" {
		return appendField(b, headerFeed, a.feed)
	}
	b = appendField(b, headerHop, a.formatOutcome())
	if a.load != nil {
		b = appendField(b, headerLoad, formatLoad(*a.load))
	}
	return b
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, "\r\n"...)
}

// writeRest passes on the rest of a large body.
func (a *answer) writeRest(w *bufio.Writer) error {
	chunked := a.length < 0
	if chunked {
		_, _ = w.WriteString("\r\n")
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := a.rest.source.Read(buffer)
		if n > 0 {
			if chunked {
				_, _ = w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			}
			_, _ = w.Write(buffer[:n])
			if chunked {
				_, _ = w.WriteString("\r\n")
			}
			if failed := w.Flush(); failed != nil {
				return a.endRest(failed)
			}
		}
		if errors.Is(err, io.EOF) {
			if chunked {
				_, _ = w.WriteString("0\r\n\r\n")
			}
			return a.endRest(nil)
		}
		if err != nil {
			return a.endRest(err)
		}
	}
}

func (a *answer) endRest(err error) error {
	finish := a.rest.finish
	a.rest = nil
	finish(err == nil)
	if err != nil {
		return fmt.Errorf("pass on answer: %w", errors.Join(errEarlyEnd, err))
	}
	return nil
}

// received is an answer as it is read from a connection.
type received struct {
	answer
	// reusable is set while the connection can carry another request.
	reusable bool
	// keepAlive is how long the sender keeps the connection; 0 if it does not say.
	keepAlive time.Duration
	encoded   bool
}

// readReceived reads the header of the final answer and its body, or the first part of a large body.
func readReceived(reader *bufio.Reader, h *fasthttp.ResponseHeader, method string) (*received, error) {
	for {
		h.Reset()
		h.DisableNormalizing()
		h.SetNoDefaultContentType(true)
		if err := h.Read(reader); err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if h.StatusCode() >= http.StatusOK {
			break
		}
		if h.StatusCode() == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("read answer: %w", errEarlyEnd)
		}
	}
	a := &received{reusable: !h.ConnectionClose()}
	a.status, a.length = h.StatusCode(), h.ContentLength()
	for name, value := range h.All() {
		a.take(string(name), string(value))
	}
	status := a.status
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		a.bodyless = true
		return a, nil
	}
	return a, a.readBody(reader)
}

// take keeps a header or notes what it says about the connection.
func (a *received) take(name, value string) {
	switch strings.ToLower(name) {
	case "keep-alive":
		a.keepAlive = keepAliveTimeout(value)
	case "content-encoding":
		a.encoded = true
	}
	if !connectionHeader(name) {
		a.fields = append(a.fields, field{name, value})
	}
}

// keepAliveTimeout reads "timeout=5, max=100".
func keepAliveTimeout(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && strings.EqualFold(name, "timeout") && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

func (a *received) readBody(reader *bufio.Reader) error {
	var source io.Reader = reader
	if a.length >= -1 {
		source = bodyReader(reader, a.length)
	} else {
		// The body ends with the connection.
		a.reusable = false
		a.length = -1
	}
	body, more, err := readWhole(source, a.length)
	if err != nil {
		return fmt.Errorf("read answer body: %w", err)
	}
	a.body = body
	if more {
		a.rest = &stream{source: source}
	}
	return nil
}
