package bladmin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/bltimeline"
)

// maxRequestBytes limits the body of an operator's request.
const maxRequestBytes = 64 << 10

// Source provides what a daemon shows to operators.
type Source interface {
	// Status describes the daemon.
	Status(now time.Time) blnode.Status
	// Ready reports whether the daemon serves calls.
	Ready() bool
	// Timeline returns the stored events and the number of dropped ones.
	Timeline() ([]basillift.Event, uint64)
	// Notices returns the open alerts whose notices this daemon has sent.
	Notices() []blnotice.Message
	// Explain returns the steps that show where a call would go.
	Explain(now time.Time, customer, service, method string) []string
	// Drain begins to drain the VM's target.
	Drain()
	// WriteMetrics writes the daemon's own metrics as Prometheus text.
	WriteMetrics(w io.Writer)
}

// Server is the HTTP server for the operators of one daemon.
type Server struct {
	source Source
	http   *fasthttp.Server
}

// NewServer returns a server for a daemon that routes by plans.
func NewServer(s Source) *Server {
	server := &Server{source: s}
	r := router.New()
	r.GET("/status", server.status)
	r.GET("/timeline", server.timeline)
	r.GET("/notices", server.notices)
	r.GET("/explain", server.explain)
	r.POST("/drain", server.drain)
	r.GET("/metrics", server.metrics)
	r.GET("/health", server.health)
	r.GET("/ready", server.ready)
	server.http = newHTTPServer(r.Handler)
	return server
}

func newHTTPServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            handler,
		Name:               "basilliftd",
		MaxRequestBodySize: maxRequestBytes,
		ReadTimeout:        30 * time.Second,
		IdleTimeout:        time.Minute,
		CloseOnShutdown:    true,
	}
}

// Run serves requests of the listener until Stop is called.
func (s *Server) Run(l net.Listener) error {
	if err := s.http.Serve(l); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Stop waits for the requests in flight and ends Run.
func (s *Server) Stop() error {
	if err := s.http.Shutdown(); err != nil {
		return fmt.Errorf("stop serving operators: %w", err)
	}
	return nil
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.source.Status(time.Now()))
}

func (s *Server) timeline(ctx *fasthttp.RequestCtx) {
	events, dropped := s.source.Timeline()
	var body bytes.Buffer
	if err := bltimeline.Write(&body, bltimeline.FormatJSON, events); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set("Basillift-Dropped", fmt.Sprint(dropped))
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBody(body.Bytes())
}

func (s *Server) notices(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.source.Notices())
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	customer, service := string(query.Peek("customer")), string(query.Peek("service"))
	if customer == "" || service == "" {
		ctx.Error("query parameters customer and service must be set", fasthttp.StatusBadRequest)
		return
	}
	method := string(query.Peek("method"))
	if method == "" {
		method = fasthttp.MethodGet
	}
	writeJSON(ctx, s.source.Explain(time.Now(), customer, service, method))
}

func (s *Server) drain(ctx *fasthttp.RequestCtx) {
	s.source.Drain()
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	s.source.WriteMetrics(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.source.Ready() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
