package blforwarder

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blretry"
)

// counters are the metrics of one courier. Each has its own set, so that several couriers in one process do not
// share them.
type counters struct {
	set      *metrics.Set
	duration *metrics.Histogram
	held     *metrics.Histogram
	late     *metrics.Counter
	repeats  *metrics.Counter
}

func newCounters(c *Forwarder) *counters {
	set := metrics.NewSet()
	set.NewGauge("basillift_target_requests_running", func() float64 { return float64(c.desk.load().Running()) })
	set.NewGauge("basillift_target_requests_queued", func() float64 { return float64(c.desk.load().Queued()) })
	set.NewGauge("basillift_target_slots", func() float64 { return float64(c.desk.load().Slots()) })
	set.NewGauge("basillift_target_hold_seconds", func() float64 { return c.desk.load().MeanServiceTime().Seconds() })
	set.NewGauge("basillift_target_connections_opened", func() float64 {
		return float64(c.pools.Of(c.settings.target).Opened())
	})
	set.NewGauge("basillift_table_version", func() float64 {
		if t := c.tables.Current(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	set.NewGauge("basillift_registry_revision", func() float64 { return float64(c.news.NewestRevision()) })
	set.NewGauge("basillift_machines", func() float64 { return float64(c.fleet.VMCount()) })
	return &counters{
		set:      set,
		duration: set.NewHistogram("basillift_request_duration_seconds"),
		held:     set.NewHistogram("basillift_target_wait_seconds"),
		late:     set.NewCounter("basillift_requests_late_total"),
		repeats:  set.NewCounter("basillift_repeats_total"),
	}
}

// answered counts an answer to a caller by what is known about the request.
func (c *counters) answered(a *answer) {
	name := `basillift_requests_total{outcome="` + string(a.outcome) + `",reason="` + string(a.reason) + `"}`
	c.set.GetOrCreateCounter(name).Inc()
}

// ended counts a request of a caller.
func (c *counters) ended(now time.Time, j *journey, a *answer) {
	c.answered(a)
	c.duration.Update(now.Sub(j.request.arrived).Seconds())
	if a.outcome == basillift.OutcomeDone && now.After(j.hop.goal) {
		c.late.Inc()
	}
}

// attempt counts one attempt by its ending.
func (c *counters) attempt(e blretry.AttemptResult) {
	c.set.GetOrCreateCounter(`basillift_attempts_total{ending="` + string(e) + `"}`).Inc()
}

// WriteMetrics writes the courier's metrics in the Prometheus text format.
func (c *Forwarder) WriteMetrics(w io.Writer) { c.counters.set.WritePrometheus(w) }
