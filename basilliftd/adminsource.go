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

// adminSource provides the data of all parts to the admin server.
type adminSource struct {
	node     *blnode.Node
	proxy    *blproxy.Proxy
	poller   *bltarget.Poller
	timeline *bltimeline.Log
	notices  *blnotice.Service
}

func newAdminSource(n *blnode.Node, p *blproxy.Proxy, poller *bltarget.Poller, timeline *bltimeline.Log, notices *blnotice.Service) *adminSource {
	return &adminSource{node: n, proxy: p, poller: poller, timeline: timeline, notices: notices}
}

// Status returns the status of the daemon.
func (s *adminSource) Status(time.Time) blnode.Status { return s.node.Status() }

// Ready reports whether the daemon serves calls.
func (s *adminSource) Ready() bool { return s.node.Ready() }

// Timeline returns the kept events and the number of dropped ones.
func (s *adminSource) Timeline() ([]basillift.Event, uint64) { return s.timeline.Events() }

// Notices returns the open alerts that this daemon has sent.
func (s *adminSource) Notices() []blnotice.Message { return s.notices.Open() }

// Drain starts draining the VM's target.
func (s *adminSource) Drain() { s.poller.Drain() }

// WriteMetrics writes the metrics of all parts in the Prometheus text format.
func (s *adminSource) WriteMetrics(w io.Writer) {
	s.node.Metrics().WritePrometheus(w)
	s.proxy.WriteMetrics(w)
}

// Explain returns the steps that decide to which target a call would go or why it would be refused.
func (s *adminSource) Explain(now time.Time, customer, service, method string) []string {
	return s.proxy.Explain(now, customer, service, method)
}

// conditionDetector collects the state from which conditions are detected.
type conditionDetector struct {
	node  *blnode.Node
	proxy *blproxy.Proxy
	lag   blnotice.VersionLag
}

func (c *conditionDetector) conditions(now time.Time) []blnotice.Condition {
	status := c.node.Status()
	current, ok := c.node.Current()
	if !ok {
		return nil
	}
	// If the text can't be parsed, the zero version is used. No version is older than that, so the daemon does not
	// count as behind.
	newest, _ := basillift.ParseVersion(status.Newest)
	conditionDuration := time.Duration(status.Platform.Lasted * float64(time.Second))
	return blnotice.Detect(blnotice.NewView(c.node.Self().ID(), current.Services(), c.node.Members()).
		WithPlatform(blnotice.PlatformState(status.Platform.Condition), conditionDuration).
		WithRefused(status.Platform.Problem).
		WithPartitioned(status.Cut).
		WithQuarantined(c.proxy.QuarantinedFingerprints(now)).
		WithVersionLag(c.lag.Observe(now, current.Version(), newest)))
}
