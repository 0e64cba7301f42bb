package blproxy

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// parseCall reads the headers that the caller side and the mesh side both need. The returned call
// is not nil even if the request is refused.
func (p *Proxy) parseCall(ctx *fasthttp.RequestCtx, now time.Time) (*call, *refusal) {
	h := &ctx.Request.Header
	k := &call{
		id:        string(h.Peek(HeaderCall)),
		customer:  string(h.Peek(HeaderCustomer)),
		method:    string(h.Method()),
		key:       string(h.Peek(HeaderKey)),
		startedAt: now,
		deadline:  now.Add(p.settings.timeout),
	}
	k.conn, _ = ctx.Conn().(*callerConn)
	if k.id == "" || len(k.id) > 64 {
		k.id = p.callID(p.directory.Self())
	}
	r := checkFraming(h)
	if r != nil {
		return k, r
	}
	k.service, r = serviceOf(ctx)
	if r != nil {
		return k, r
	}
	r = p.parseLimits(h, k, now)
	if r != nil {
		return k, r
	}
	if k.customer == "" {
		return k, refuse(basillift.OutcomeNotRun, basillift.ReasonCustomer, "The header Basillift-Customer is missing.")
	}
	return k, nil
}

// serviceOf returns the first segment of the path. The path is forwarded unchanged, so it must
// name the same service with and without normalization. Otherwise a target that normalizes paths
// could serve a path of another service than the one that was authorized.
func serviceOf(ctx *fasthttp.RequestCtx) (string, *refusal) {
	service := string(firstSegment(ctx.Request.Header.RequestURI()))
	if service == "" {
		return "", refuse(basillift.OutcomeNotRun, basillift.ReasonService, "The path must start with the name of a service.")
	}
	if string(firstSegment(ctx.Path())) != service {
		return service, refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "The path must not leave its service.")
	}
	return service, nil
}

// firstSegment returns nil for a request target that is not a path.
func firstSegment(path []byte) []byte {
	rest, ok := bytes.CutPrefix(path, []byte("/"))
	if !ok {
		return nil
	}
	end := bytes.IndexAny(rest, "/?#")
	if end < 0 {
		return rest
	}
	return rest[:end]
}

// checkFraming refuses requests whose length two parsers could interpret differently (request
// smuggling).
func checkFraming(h *fasthttp.RequestHeader) *refusal {
	if !h.IsHTTP11() {
		r := refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "HTTP/1.1 is required.")
		r.status = fasthttp.StatusHTTPVersionNotSupported
		return r
	}
	size := h.ContentLength()
	if size == 0 || size == -2 {
		return nil
	}
	raw := h.RawHeaders()
	if hasHeader(raw, "content-length") && hasHeader(raw, "transfer-encoding") {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest,
			"A request must not have both Content-Length and Transfer-Encoding.")
	}
	return nil
}

// hasHeader reports whether a raw header block contains a name, given in lower case.
func hasHeader(raw []byte, name string) bool {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if len(line) > len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			return true
		}
	}
	return false
}

// parseLimits reads the deadline and the depth of the call chain.
func (p *Proxy) parseLimits(h *fasthttp.RequestHeader, k *call, now time.Time) *refusal {
	raw := h.Peek(HeaderTimeout)
	if len(raw) > 0 {
		leftMillis, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || leftMillis < 0 {
			return refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest,
				"Basillift-Timeout must be a number of milliseconds, 0 or more.")
		}
		maximum := p.settings.maxTimeout
		k.deadline = now.Add(min(time.Duration(min(leftMillis, maximum.Milliseconds()))*time.Millisecond, maximum))
		if leftMillis == 0 {
			return refuse(basillift.OutcomeNotRun, basillift.ReasonDeadline, "No time is left.")
		}
	}
	raw = h.Peek(HeaderDepth)
	if len(raw) == 0 {
		return nil
	}
	depth, err := strconv.Atoi(string(raw))
	if err != nil || depth < 0 {
		return refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "Basillift-Depth must be a number, 0 or more.")
	}
	k.depth = depth
	return nil
}

// prepare copies the request header to the outgoing request, without the headers that must not be
// forwarded.
func (c *call) prepare(ctx *fasthttp.RequestCtx, out *fasthttp.Request) {
	ctx.Request.Header.CopyTo(&out.Header)
	stripRequest(&out.Header)
	_ = out.Header.SetTrailer("")
	out.Header.SetNoDefaultContentType(true)
	out.Header.Set(HeaderCall, c.id)
}

// setTimeout sets the timeout header to the time left. It reports false if there is none.
func (c *call) setTimeout(now time.Time, out *fasthttp.Request) bool {
	leftMillis := c.deadline.Sub(now).Milliseconds()
	if leftMillis < 1 {
		return false
	}
	out.Header.Set(HeaderTimeout, strconv.FormatInt(leftMillis, 10))
	return true
}

// event returns an event with the fields of the call.
func (c *call) event(now time.Time, kind basillift.EventKind) basillift.Event {
	return basillift.NewEvent(now, kind).WithCall(c.id, c.customer, c.service, c.method).WithKey(c.key)
}

// writeRefusal writes a refusal as the response. After a bad request the connection is closed,
// because the body was not read to its end.
func writeRefusal(ctx *fasthttp.RequestCtx, r *refusal) {
	r.write(&ctx.Response)
	if r.reason == basillift.ReasonBadRequest {
		ctx.SetConnectionClose()
		return
	}
	discardBody(ctx)
}

// refuseMalformed refuses a request that fasthttp could not parse.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	writeRefusal(ctx, refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "The request is malformed: "+err.Error()))
	ctx.SetConnectionClose()
}
