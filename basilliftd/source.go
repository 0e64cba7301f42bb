package main

import (
	"io"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
	"basillift.dev/basillift/blproxy"
	"basillift.dev/basillift/bltarget"
	"basillift.dev/basillift/bltimeline"
)

// source joins what the parts show to operators.
type source struct {
	node     *blnode.Node
	proxy    *blproxy.Proxy
	poller   *bltarget.Poller
	timeline *bltimeline.Log
	notices  *blnotice.Service
}

func newSource(n *blnode.Node, p *blproxy.Proxy, poller *bltarget.Poller, timeline *bltimeline.Log, notices *blnotice.Service) *source {
	return &source{node: n, proxy: p, poller: poller, timeline: timeline, notices: notices}
}

// Status describes the daemon.
func (s *source) Status(time.Time) blnode.Status { return s.node.Status() }

// Ready reports whether the daemon serves calls.
func (s *source) Ready() bool { return s.node.Ready() }

// Timeline returns the kept events and the number of dropped ones.
func (s *source) Timeline() ([]basillift.Event, uint64) { return s.timeline.Events() }

// Notices returns the open matters that this daemon has sent.
func (s *source) Notices() []blnotice.Message { return s.notices.Open() }

// Drain begins to drain the VM's target.
func (s *source) Drain() { s.poller.Drain() }

// WriteMetrics writes the metrics of all parts as Prometheus text.
func (s *source) WriteMetrics(w io.Writer) {
	s.node.Metrics().WritePrometheus(w)
	s.proxy.WriteMetrics(w)
}

// Explain says step by step where a call would go.
func (s *source) Explain(now time.Time, customer, service, method string) []string {
	return s.proxy.Explain(now, customer, service, method)
}

// viewer collects what conditions are detected from.
type viewer struct {
	node  *blnode.Node
	proxy *blproxy.Proxy
	lag   blnotice.Lag
}

func (v *viewer) conditions(now time.Time) []blnotice.Condition {
	status := v.node.Status()
	held, ok := v.node.Current()
	if !ok {
		return nil
	}
	// An unreadable text leaves the zero version, which nothing is behind.
	newest, _ := basillift.ParseVersion(status.Newest)
	lasted := time.Duration(status.Platform.Lasted * float64(time.Second))
	return blnotice.Detect(blnotice.NewView(v.node.Self().ID(), held.Services(), v.node.Members()).
		WithPlatform(blnotice.PlatformState(status.Platform.Condition), lasted).
		WithRefused(status.Platform.Problem).
		WithPartitioned(status.Cut).
		WithQuarantined(v.proxy.Quarantined(now)).
		WithBehind(v.lag.Observe(now, held.Version(), newest)))
}
