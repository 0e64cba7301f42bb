package labload

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// maximumLatency is the largest recorded latency in microseconds.
const maximumLatency = int64(time.Minute / time.Microsecond)

// maximumDetails bounds the examples that are kept for a human.
const maximumDetails = 10

// Tally counts results and records latencies of answered calls. It is safe for
// concurrent use.
type Tally struct {
	lock      sync.Mutex
	calls     int
	verdicts  map[Kind]map[Verdict]int
	reasons   map[string]int
	latencies map[Kind]*hdrhistogram.Histogram
	details   []string
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	t := &Tally{
		verdicts: map[Kind]map[Verdict]int{}, reasons: map[string]int{},
		latencies: map[Kind]*hdrhistogram.Histogram{},
	}
	for _, k := range Kinds() {
		t.verdicts[k] = map[Verdict]int{}
		t.latencies[k] = hdrhistogram.New(1, maximumLatency, 3)
	}
	return t
}

// Observe counts a result.
func (t *Tally) Observe(r Result) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.calls++
	k := r.call.kind
	t.verdicts[k][r.verdict]++
	switch {
	case r.verdict == VerdictAnswered && r.call.work > 0:
		// A time that the caller asked for says nothing of the mesh.
	case r.verdict == VerdictAnswered:
		// Latencies above the bound are recorded as the bound.
		_ = t.latencies[k].RecordValue(min(max(1, r.Latency().Microseconds()), maximumLatency))
	case r.verdict.Honest():
		t.reasons[fmt.Sprintf("%s %s", r.verdict, r.reason)]++
	case len(t.details) < maximumDetails:
		t.details = append(t.details, r.String())
	}
}

// Calls is the number of attempts.
func (t *Tally) Calls() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.calls
}

// Count is the number of attempts of all kinds with one of the verdicts.
func (t *Tally) Count(verdicts ...Verdict) int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.count(verdicts...)
}

func (t *Tally) count(verdicts ...Verdict) int {
	count := 0
	for _, k := range Kinds() {
		for _, v := range verdicts {
			count += t.verdicts[k][v]
		}
	}
	return count
}

// Details returns examples of attempts that did not end honestly.
func (t *Tally) Details() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	return slices.Clone(t.details)
}

// Quantile is the latency of the answered calls of all kinds at a percentile.
func (t *Tally) Quantile(percent float64) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	all := hdrhistogram.New(1, maximumLatency, 3)
	for _, k := range Kinds() {
		all.Merge(t.latencies[k])
	}
	return time.Duration(all.ValueAtQuantile(percent)) * time.Microsecond
}

// Table shows the verdicts and latencies of each kind, and the reasons of refusals.
func (t *Tally) Table() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	w := table.NewWriter()
	header := table.Row{"kind"}
	for _, v := range Verdicts() {
		header = append(header, v)
	}
	w.AppendHeader(append(header, "p50 ms", "p99 ms", "p99.9 ms", "max ms"))
	for _, k := range Kinds() {
		row := table.Row{k}
		for _, v := range Verdicts() {
			row = append(row, t.verdicts[k][v])
		}
		h := t.latencies[k]
		w.AppendRow(append(row, milliseconds(h.ValueAtQuantile(50)), milliseconds(h.ValueAtQuantile(99)),
			milliseconds(h.ValueAtQuantile(99.9)), milliseconds(h.Max())))
	}
	return w.Render() + "\n" + t.reasonTable()
}

func (t *Tally) reasonTable() string {
	w := table.NewWriter()
	w.AppendHeader(table.Row{"verdict and reason", "calls"})
	for _, r := range slices.Sorted(maps.Keys(t.reasons)) {
		w.AppendRow(table.Row{r, t.reasons[r]})
	}
	return w.Render()
}

func milliseconds(microseconds int64) string {
	return fmt.Sprintf("%.2f", float64(microseconds)/1000)
}
