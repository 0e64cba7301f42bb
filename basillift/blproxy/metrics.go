package blproxy

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one proxy. Each has its own set, so that several
// proxies in one process do not share them.
type counters struct {
	set      *metrics.Set
	caller   sideCounters
	mesh     sideCounters
	retries  *metrics.Counter
	hedges   *metrics.Counter
	duration *metrics.Histogram
}

// sideCounters count the calls of one side by how they ended.
type sideCounters struct {
	answered *metrics.Counter
	notRun   *metrics.Counter
	unknown  *metrics.Counter
}

func newCounters(p *Proxy) *counters {
	set := metrics.NewSet()
	set.NewGauge("basillift_calls_in_flight", func() float64 { return float64(p.InFlight()) })
	set.NewGauge("basillift_target_calls_running", func() float64 {
		running, _ := p.gate.load()
		return float64(running)
	})
	set.NewGauge("basillift_target_calls_queued", func() float64 {
		_, queued := p.gate.load()
		return float64(queued)
	})
	return &counters{
		set:      set,
		caller:   newSideCounters(set, "caller"),
		mesh:     newSideCounters(set, "mesh"),
		retries:  set.NewCounter("basillift_retries_total"),
		hedges:   set.NewCounter("basillift_hedges_total"),
		duration: set.NewHistogram("basillift_call_duration_seconds"),
	}
}

func newSideCounters(set *metrics.Set, side string) sideCounters {
	name := func(outcome string) string {
		return `basillift_calls_total{side="` + side + `",outcome="` + outcome + `"}`
	}
	return sideCounters{
		answered: set.NewCounter(name("done")),
		notRun:   set.NewCounter(name("not-run")),
		unknown:  set.NewCounter(name("unknown")),
	}
}

// WriteMetrics writes the metrics of the request path in the Prometheus text format.
func (p *Proxy) WriteMetrics(w io.Writer) { p.metrics.set.WritePrometheus(w) }

// observe counts the end of a call on the caller side.
func (c *counters) observe(now, since time.Time) { c.duration.Update(now.Sub(since).Seconds()) }
