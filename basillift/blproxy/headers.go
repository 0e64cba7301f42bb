package blproxy

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// Names of the HTTP headers of basillift. docs/callers.md describes them.
const (
	HeaderCustomer = "Basillift-Customer"
	HeaderTimeout  = "Basillift-Timeout"
	HeaderDepth    = "Basillift-Depth"
	HeaderVersion  = "Basillift-Version"
	HeaderCall     = "Basillift-Call"
	HeaderOutcome  = "Basillift-Outcome"
	HeaderReason   = "Basillift-Reason"
	// HeaderFrom contains the id of the VM whose daemon sent a mesh call.
	HeaderFrom = "Basillift-From"
	// HeaderKey is the idempotency key of a call.
	HeaderKey = "Idempotency-Key"
)

// hopByHop reports whether a normalized header name applies to a single connection only (RFC 9110,
// section 7.6.1).
func hopByHop(name []byte) bool {
	if len(name) == 0 {
		return false
	}
	switch name[0] {
	case 'C':
		return string(name) == fasthttp.HeaderConnection
	case 'K':
		return string(name) == "Keep-Alive"
	case 'P':
		return bytes.HasPrefix(name, []byte("Proxy-"))
	case 'T':
		return string(name) == "Te" || string(name) == fasthttp.HeaderTrailer
	case 'U':
		return string(name) == fasthttp.HeaderUpgrade
	case 'E':
		return string(name) == fasthttp.HeaderExpect
	default:
		return false
	}
}

// eachConnectionOption calls drop for each header that a Connection header names.
func eachConnectionOption(value []byte, drop func(name string)) {
	for token := range bytes.SplitSeq(value, []byte(",")) {
		name := bytes.TrimSpace(token)
		if len(name) > 0 {
			drop(string(name))
		}
	}
}

// stripRequest removes the headers that apply to the caller's connection only. Transfer-Encoding
// is left to the writer, which frames the body again.
func stripRequest(h *fasthttp.RequestHeader) {
	var names []string
	for name, value := range h.All() {
		if !hopByHop(name) {
			continue
		}
		names = append(names, string(name))
		if string(name) == fasthttp.HeaderConnection {
			eachConnectionOption(value, func(n string) { names = append(names, n) })
		}
	}
	for _, n := range names {
		dropRequestHeader(h, n)
	}
	h.ResetConnectionClose()
}

// dropRequestHeader removes a header. It keeps the headers that route and frame the request, even
// if a Connection header names them.
func dropRequestHeader(h *fasthttp.RequestHeader, name string) {
	if bytes.HasPrefix(bytes.ToLower([]byte(name)), []byte("basillift-")) {
		return
	}
	switch string(bytes.ToLower([]byte(name))) {
	case "host", "content-length", "transfer-encoding", "idempotency-key", "close":
		return
	}
	h.Del(name)
}

// stripResponse removes the headers that apply to the connection to the sender only.
func stripResponse(h *fasthttp.ResponseHeader) {
	var names []string
	for name, value := range h.All() {
		if !hopByHop(name) {
			continue
		}
		names = append(names, string(name))
		if string(name) == fasthttp.HeaderConnection {
			eachConnectionOption(value, func(n string) { names = append(names, n) })
		}
	}
	for _, n := range names {
		switch string(bytes.ToLower([]byte(n))) {
		case "content-length", "transfer-encoding", "close":
		default:
			h.Del(n)
		}
	}
	h.ResetConnectionClose()
}
