package blproxy

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// proxyMetrics are the metrics of one proxy. Each proxy has a metrics set of its own, so that
// several proxies in one process do not share counters.
type proxyMetrics struct {
	set      *metrics.Set
	caller   outcomeCounters
	mesh     outcomeCounters
	retries  *metrics.Counter
	hedges   *metrics.Counter
	duration *metrics.Histogram
}

// outcomeCounters count the calls of the caller side or the mesh side by outcome.
type outcomeCounters struct {
	answered *metrics.Counter
	notRun   *metrics.Counter
	unknown  *metrics.Counter
}

func newProxyMetrics(p *Proxy) *proxyMetrics {
	set := metrics.NewSet()
	set.NewGauge("basillift_calls_in_flight", func() float64 { return float64(p.InFlight()) })
	set.NewGauge("basillift_target_calls_running", func() float64 {
		running, _ := p.admission.load()
		return float64(running)
	})
	set.NewGauge("basillift_target_calls_queued", func() float64 {
		_, queued := p.admission.load()
		return float64(queued)
	})
	return &proxyMetrics{
		set:      set,
		caller:   newOutcomeCounters(set, "caller"),
		mesh:     newOutcomeCounters(set, "mesh"),
		retries:  set.NewCounter("basillift_retries_total"),
		hedges:   set.NewCounter("basillift_hedges_total"),
		duration: set.NewHistogram("basillift_call_duration_seconds"),
	}
}

func newOutcomeCounters(set *metrics.Set, side string) outcomeCounters {
	name := func(outcome string) string {
		return `basillift_calls_total{side="` + side + `",outcome="` + outcome + `"}`
	}
	return outcomeCounters{
		answered: set.NewCounter(name("done")),
		notRun:   set.NewCounter(name("not-run")),
		unknown:  set.NewCounter(name("unknown")),
	}
}

// WriteMetrics writes the metrics of the request path in the Prometheus text format.
func (p *Proxy) WriteMetrics(w io.Writer) { p.metrics.set.WritePrometheus(w) }

// observeDuration records the duration of a call on the caller side.
func (pm *proxyMetrics) observeDuration(now, since time.Time) {
	pm.duration.Update(now.Sub(since).Seconds())
}
