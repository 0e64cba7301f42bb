package bladmin

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/bltable"
)

// TableSource provides what a daemon that routes by table shows to operators.
type TableSource interface {
	// Ready reports whether the daemon serves requests.
	Ready() bool
	// Table is the routing table in force; nil before the first one.
	Table() *bltable.Table
	// ExplainRoute says where a request would go and why, without sending it.
	ExplainRoute(now time.Time, q blexplain.Query) blexplain.Explanation
	// WriteMetrics writes the daemon's own metrics as Prometheus text.
	WriteMetrics(w io.Writer)
}

// tableHandlers handles the requests of operators to a daemon that routes by table.
type tableHandlers struct{ source TableSource }

// NewTableServer returns a server for a daemon that routes by table.
func NewTableServer(s TableSource) *Server {
	h := &tableHandlers{source: s}
	r := router.New()
	r.GET("/table", h.table)
	r.GET("/explain", func(ctx *fasthttp.RequestCtx) {
		h.explain(ctx, func(e blexplain.Explanation) any { return e.Lines })
	})
	r.GET("/explain/parts", func(ctx *fasthttp.RequestCtx) {
		h.explain(ctx, func(e blexplain.Explanation) any { return e })
	})
	r.GET("/metrics", h.metrics)
	r.GET("/health", func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusOK) })
	r.GET("/ready", h.ready)
	return &Server{http: newHTTPServer(r.Handler)}
}

func (h *tableHandlers) table(ctx *fasthttp.RequestCtx) {
	t := h.source.Table()
	if t == nil {
		ctx.Error("no routing table is in force yet", fasthttp.StatusServiceUnavailable)
		return
	}
	data, err := bltable.Format(t.RoutingSpec())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// explain answers with the form of an explanation that is asked for.
func (h *tableHandlers) explain(ctx *fasthttp.RequestCtx, form func(blexplain.Explanation) any) {
	query := ctx.QueryArgs()
	host, path := string(query.Peek("host")), string(query.Peek("path"))
	if host == "" || path == "" {
		ctx.Error("query parameters host and path must be set", fasthttp.StatusBadRequest)
		return
	}
	size, errSize := optionalInt(query, "bytes")
	deadlineMillis, errDeadline := optionalInt(query, "deadline")
	if errSize != nil || errDeadline != nil {
		ctx.Error("query parameters bytes and deadline must be numbers of 0 to 2147483647", fasthttp.StatusBadRequest)
		return
	}
	q := blexplain.NewQuery(host, path).WithBytes(size).WithDeadline(time.Duration(deadlineMillis) * time.Millisecond)
	writeJSON(ctx, form(h.source.ExplainRoute(time.Now(), q)))
}

// optionalInt returns a number of a query, or 0 without one.
func optionalInt(query *fasthttp.Args, name string) (int, error) {
	if !query.Has(name) {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(query.Peek(name)), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("parse query parameter %s: %w", name, err)
	}
	return int(n), nil
}

func (h *tableHandlers) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	h.source.WriteMetrics(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func (h *tableHandlers) ready(ctx *fasthttp.RequestCtx) {
	if !h.source.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Table returns the routing table in force.
func (c *Client) Table() (basillift.RoutingSpec, error) {
	body, err := c.do(fasthttp.MethodGet, "/table")
	if err != nil {
		return basillift.RoutingSpec{}, err
	}
	spec, err := bltable.Parse(body)
	if err != nil {
		return basillift.RoutingSpec{}, fmt.Errorf("table of %s: %w: %w", c.address, ErrResponse, err)
	}
	return spec, nil
}

// ExplainRoute returns the steps that show where a request would go.
func (c *Client) ExplainRoute(q blexplain.Query) ([]string, error) {
	var steps []string
	err := c.getJSON("/explain?"+queryOf(q), &steps)
	return steps, err
}

// ExplainParts returns where a request would go and why, in parts.
func (c *Client) ExplainParts(q blexplain.Query) (blexplain.Explanation, error) {
	var e blexplain.Explanation
	err := c.getJSON("/explain/parts?"+queryOf(q), &e)
	return e, err
}

func queryOf(q blexplain.Query) string {
	var query fasthttp.Args
	query.Set("host", q.Host())
	query.Set("path", q.Path())
	query.SetUint("bytes", q.Bytes())
	query.SetUint("deadline", int(q.Deadline().Milliseconds()))
	return query.String()
}
