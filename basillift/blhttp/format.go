package blhttp

import (
	"net/http"
	"strconv"
	"strings"
)

// AppendTo appends the head in canonical form: one field tells where the body ends, one has the connection options, and none announces
// trailers, since Body drops them.
func (h *Head) AppendTo(b []byte) []byte {
	b = AppendStatusLine(b, h.status)
	for name, value := range h.Fields() {
		if !replaced(name) {
			b = AppendField(b, name, value)
		}
	}
	switch {
	case h.chunked && !h.bodyless:
		b = AppendField(b, "Transfer-Encoding", "chunked")
	case h.length >= 0:
		b = AppendField(b, "Content-Length", strconv.Itoa(h.length))
	}
	options := listElements(h.options)
	if !h.persistent {
		options = append(options, "close")
	}
	if len(options) > 0 {
		b = AppendField(b, "Connection", strings.Join(options, ", "))
	}
	return append(b, "\r\n"...)
}

// replaced reports whether AppendTo writes its own field, or none, instead of those with this name.
func replaced(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") ||
		strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Trailer")
}

// AppendStatusLine appends the first line of a response.
func AppendStatusLine(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(b, ' '), http.StatusText(status)...), "\r\n"...)
}

// AppendField appends a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, "\r\n"...)
}
