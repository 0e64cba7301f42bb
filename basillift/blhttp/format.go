package blhttp

import (
	"net/http"
	"strconv"
	"strings"
)

// AppendTo appends the head in canonical form: one field tells where the body ends, one has the connection options, and none announces
// trailers, since Body drops them.
func (h *Head) AppendTo(b []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(h.status), 10)
	b = append(append(append(b, ' '), http.StatusText(h.status)...), "\r\n"...)
	for name, value := range h.Fields() {
		if !replaced(name) {
			b = appendField(b, name, value)
		}
	}
	switch {
	case h.chunked && !h.bodyless:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case h.length >= 0:
		b = appendField(b, "Content-Length", strconv.Itoa(h.length))
	}
	options := listElements(h.options)
	if !h.persistent {
		options = append(options, "close")
	}
	if len(options) > 0 {
		b = appendField(b, "Connection", strings.Join(options, ", "))
	}
	return append(b, "\r\n"...)
}

// replaced reports whether AppendTo writes its own field, or none, instead of those with this name.
func replaced(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") ||
		strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Trailer")
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, "\r\n"...)
}
