package blproxy

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// begin reads the headers that both sides need. The returned call is not nil
// even if the request is refused.
func (p *Proxy) begin(ctx *fasthttp.RequestCtx, now time.Time) (*call, *refusal) {
	h := &ctx.Request.Header
	k := &call{
		id:       string(h.Peek(HeaderCall)),
		customer: string(h.Peek(HeaderCustomer)),
		method:   string(h.Method()),
		key:      string(h.Peek(HeaderKey)),
		since:    now,
		deadline: now.Add(p.settings.timeout),
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
	r = p.readLimits(h, k, now)
	if r != nil {
		return k, r
	}
	if k.customer == "" {
		return k, refuse(basillift.OutcomeNotRun, basillift.ReasonCustomer, "The header Basillift-Customer is missing.")
	}
	return k, nil
}

// serviceOf returns the first segment of the path. The path is passed on as it
// is, so it must name the same service with and without normalisation; otherwise
// a target that normalises could serve a path of another service than the one checked.
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

// firstSegment returns nothing for a request target that is not a path.
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

// checkFraming refuses requests whose length two parsers could read differently.
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

// hasHeader looks for a name, in lower case, in a raw header block.
func hasHeader(raw []byte, name string) bool {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if len(line) > len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			return true
		}
	}
	return false
}

// readLimits reads deadline and depth.
func (p *Proxy) readLimits(h *fasthttp.RequestHeader, k *call, now time.Time) *refusal {
	raw := h.Peek(HeaderTimeout)
	if len(raw) > 0 {
		left, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || left < 0 {
			return refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest,
				"Basillift-Timeout must be a number of milliseconds, 0 or more.")
		}
		longest := p.settings.longestTimeout
		k.deadline = now.Add(min(time.Duration(min(left, longest.Milliseconds()))*time.Millisecond, longest))
		if left == 0 {
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

// prepare fills the outgoing request with what goes on to the next hop.
func (k *call) prepare(ctx *fasthttp.RequestCtx, out *fasthttp.Request) {
	ctx.Request.Header.CopyTo(&out.Header)
	stripRequest(&out.Header)
	_ = out.Header.SetTrailer("")
	out.Header.SetNoDefaultContentType(true)
	out.Header.Set(HeaderCall, k.id)
}

// setTimeout tells the next hop how much time is left, and reports false if there is none.
func (k *call) setTimeout(now time.Time, out *fasthttp.Request) bool {
	left := k.deadline.Sub(now).Milliseconds()
	if left < 1 {
		return false
	}
	out.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	return true
}

// event returns an event about the call.
func (k *call) event(now time.Time, kind basillift.EventKind) basillift.Event {
	return basillift.NewEvent(now, kind).WithCall(k.id, k.customer, k.service, k.method).WithKey(k.key)
}

// answer writes a refusal. A request whose body was not read to its end closes
// the connection.
func answer(ctx *fasthttp.RequestCtx, r *refusal) {
	r.write(&ctx.Response)
	if r.reason == basillift.ReasonBadRequest {
		ctx.SetConnectionClose()
		return
	}
	discardBody(ctx)
}

// refuseMalformed answers a request that fasthttp could not parse.
func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	answer(ctx, refuse(basillift.OutcomeNotRun, basillift.ReasonBadRequest, "The request is malformed: "+err.Error()))
	ctx.SetConnectionClose()
}
