package blforwarder

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/blwarmup"
)

// counters holds the metrics of one forwarder. Each has its own set, so that several forwarders in one process do not
// share them.
type counters struct {
	set      *metrics.Set
	duration *metrics.Histogram
	slotWait *metrics.Histogram
	late     *metrics.Counter
	retries  *metrics.Counter
	crashes  *metrics.Counter
}

func newCounters(f *Forwarder) *counters {
	set := metrics.NewSet()
	set.NewGauge("basillift_target_requests_running", func() float64 { return float64(f.admission.load().Running()) })
	set.NewGauge("basillift_target_requests_queued", func() float64 { return float64(f.admission.load().Queued()) })
	set.NewGauge("basillift_target_requests_late_waiting", func() float64 { return float64(f.admission.lateWaiting()) })
	set.NewGauge("basillift_target_slots", func() float64 { return float64(f.admission.load().Slots()) })
	set.NewGauge("basillift_target_hold_seconds", func() float64 { return f.admission.load().MeanServiceTime().Seconds() })
	set.NewGauge("basillift_target_connections_opened", func() float64 {
		return float64(f.pools.Of(f.settings.targetAddress).Opened())
	})
	set.NewGauge("basillift_target_limit_per_second", func() float64 {
		perSecond, _ := f.advisories.Limit(time.Now(), f.ownTarget(""))
		return perSecond
	})
	set.NewGauge("basillift_target_leaving", func() float64 {
		if _, leaving := f.advisories.Leaving(f.ownTarget("")); leaving {
			return 1
		}
		return 0
	})
	set.NewGauge("basillift_target_cold", func() float64 {
		if f.cold.limit.Load() != nil {
			return 1
		}
		return 0
	})
	set.NewGauge("basillift_target_cold_limit_per_second", func() float64 {
		if limit := f.cold.limit.Load(); limit != nil {
			return limit.PerSecond()
		}
		return 0
	})
	set.NewGauge("basillift_requests_quarantined", func() float64 { return float64(len(f.quarantine.quarantines(time.Now()))) })
	set.NewGauge("basillift_table_version", func() float64 {
		if t := f.tables.Current(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	set.NewGauge("basillift_registry_revision", func() float64 { return float64(f.gossip.NewestRevision().Number()) })
	set.NewGauge("basillift_registry_era", func() float64 { return float64(f.gossip.NewestRevision().Era()) })
	set.NewGauge("basillift_machines", func() float64 { return float64(f.fleet.VMCount()) })
	set.NewGauge("basillift_evacuated_domains", func() float64 { return float64(len(f.fleet.Evacuations())) })
	newBudgetMetrics(set, f.peers)
	return &counters{
		set:      set,
		duration: set.NewHistogram("basillift_request_duration_seconds"),
		slotWait: set.NewHistogram("basillift_target_wait_seconds"),
		late:     set.NewCounter("basillift_requests_late_total"),
		retries:  set.NewCounter("basillift_repeats_total"),
		crashes:  set.NewCounter("basillift_target_crashes_total"),
	}
}

// newBudgetMetrics adds the metrics of the budgets for peers, and of what was refused or closed because of them.
func newBudgetMetrics(set *metrics.Set, p *peerBudget) {
	values := map[string]func() int64{
		"basillift_peer_memory_bytes":                                 p.memory.total,
		"basillift_peer_memory_limit_bytes":                           p.limits.PeerBytes,
		`basillift_connections{direction="accepted"}`:                 p.connections.peers.Load,
		`basillift_connections{direction="opened"}`:                   p.connections.outgoing.Load,
		"basillift_connections_limit":                                 func() int64 { return int64(p.limits.Connections()) },
		`basillift_budget_refused_total{what="connection"}`:           p.connections.refused.Load,
		`basillift_budget_refused_total{what="request"}`:              p.memory.refused.Load,
		`basillift_budget_closed_total{reason="no-progress"}`:         p.closed.Load,
		`basillift_budget_closed_total{reason="stalled-past-answer"}`: p.stalled.Load,
	}
	for name, value := range values {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
}

// countAnswer counts an answer to a caller by outcome and reason.
func (c *counters) countAnswer(a *answer) {
	name := `basillift_requests_total{outcome="` + string(a.outcome) + `",reason="` + string(a.reason) + `"}`
	c.set.GetOrCreateCounter(name).Inc()
}

// countRequest counts a caller's request, its duration, and whether it missed its soft deadline.
func (c *counters) countRequest(now time.Time, rr *routedRequest, a *answer) {
	c.countAnswer(a)
	c.duration.Update(now.Sub(rr.request.arrived).Seconds())
	if a.outcome == basillift.OutcomeDone && now.After(rr.metadata.softDeadline) {
		c.late.Inc()
	}
}

// countAttempt counts one attempt by its result.
func (c *counters) countAttempt(result blretry.AttemptResult) {
	c.set.GetOrCreateCounter(`basillift_attempts_total{ending="` + string(result) + `"}`).Inc()
}

// countHealthCheck counts a health check of the VM's own target by its result.
func (c *counters) countHealthCheck(r blwarmup.HealthResult) {
	c.set.GetOrCreateCounter(`basillift_health_checks_total{result="` + string(r) + `"}`).Inc()
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (f *Forwarder) WriteMetrics(w io.Writer) {
	f.counters.set.WritePrometheus(w)
	f.writeEvacuations(w)
}
