package bladmin

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

// TableSource provides what a daemon that routes by table shows to operators.
type TableSource interface {
	// Ready reports whether the daemon serves requests.
	Ready() bool
	// Table is the routing table in force; nil before the first one.
	Table() *bltable.Table
	// ExplainRoute returns the steps that show where a request would go.
	ExplainRoute(now time.Time, host, path string) []string
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
	r.GET("/explain", h.explain)
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

func (h *tableHandlers) explain(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	host, path := string(query.Peek("host")), string(query.Peek("path"))
	if host == "" || path == "" {
		ctx.Error("query parameters host and path must be set", fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, h.source.ExplainRoute(time.Now(), host, path))
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
func (c *Client) ExplainRoute(host, path string) ([]string, error) {
	var query fasthttp.Args
	query.Set("host", host)
	query.Set("path", path)
	var steps []string
	err := c.getJSON("/explain?"+query.String(), &steps)
	return steps, err
}
