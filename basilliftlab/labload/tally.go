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

// maxLatencyMicros is the largest latency that is recorded.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// maxDetails limits the results that are stored as examples for a human.
const maxDetails = 10

// Tally is an observer that counts results and records the latencies of answered
// calls. It is safe for concurrent use.
type Tally struct {
	mutex         sync.Mutex
	resultCount   int
	verdictCounts map[Kind]map[Verdict]int
	reasonCounts  map[string]int
	latencies     map[Kind]*hdrhistogram.Histogram
	details       []string
}

// NewTally returns a tally without results.
func NewTally() *Tally {
	t := &Tally{
		verdictCounts: map[Kind]map[Verdict]int{}, reasonCounts: map[string]int{},
		latencies: map[Kind]*hdrhistogram.Histogram{},
	}
	for _, k := range Kinds() {
		t.verdictCounts[k] = map[Verdict]int{}
		t.latencies[k] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	return t
}

// Observe counts a result.
func (t *Tally) Observe(r Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.resultCount++
	k := r.call.kind
	t.verdictCounts[k][r.verdict]++
	switch {
	case r.verdict == VerdictAnswered && r.call.extraWork > 0:
		// The latency consists mostly of the requested work time and says nothing about the mesh.
	case r.verdict == VerdictAnswered:
		// Latencies above the maximum are recorded as the maximum.
		_ = t.latencies[k].RecordValue(min(max(1, r.Latency().Microseconds()), maxLatencyMicros))
	case r.verdict.Acceptable():
		t.reasonCounts[fmt.Sprintf("%s %s", r.verdict, r.reason)]++
	case len(t.details) < maxDetails:
		t.details = append(t.details, r.String())
	}
}

// Calls is the number of results; a repeat counts as a call.
func (t *Tally) Calls() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.resultCount
}

// Count is the number of results of all kinds with one of the verdicts.
func (t *Tally) Count(verdicts ...Verdict) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.count(verdicts...)
}

func (t *Tally) count(verdicts ...Verdict) int {
	count := 0
	for _, k := range Kinds() {
		for _, v := range verdicts {
			count += t.verdictCounts[k][v]
		}
	}
	return count
}

// Details returns examples of results whose verdict is not acceptable, at most
// maxDetails of them.
func (t *Tally) Details() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.details)
}

// Percentile is the latency percentile, from 0 to 100, of the answered calls of all
// kinds without extra work.
func (t *Tally) Percentile(percent float64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := hdrhistogram.New(1, maxLatencyMicros, 3)
	for _, k := range Kinds() {
		all.Merge(t.latencies[k])
	}
	return time.Duration(all.ValueAtQuantile(percent)) * time.Microsecond
}

// Table returns a table of the verdicts and latencies of each kind, and a table of
// the verdicts and reasons of calls that were refused, unknown or unreached.
func (t *Tally) Table() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w := table.NewWriter()
	header := table.Row{"kind"}
	for _, v := range Verdicts() {
		header = append(header, v)
	}
	w.AppendHeader(append(header, "p50 ms", "p99 ms", "p99.9 ms", "max ms"))
	for _, k := range Kinds() {
		row := table.Row{k}
		for _, v := range Verdicts() {
			row = append(row, t.verdictCounts[k][v])
		}
		h := t.latencies[k]
		w.AppendRow(append(row, formatMillis(h.ValueAtQuantile(50)), formatMillis(h.ValueAtQuantile(99)),
			formatMillis(h.ValueAtQuantile(99.9)), formatMillis(h.Max())))
	}
	return w.Render() + "\n" + t.reasonTable()
}

func (t *Tally) reasonTable() string {
	w := table.NewWriter()
	w.AppendHeader(table.Row{"verdict and reason", "calls"})
	for _, r := range slices.Sorted(maps.Keys(t.reasonCounts)) {
		w.AppendRow(table.Row{r, t.reasonCounts[r]})
	}
	return w.Render()
}

func formatMillis(microseconds int64) string {
	return fmt.Sprintf("%.2f", float64(microseconds)/1000)
}
