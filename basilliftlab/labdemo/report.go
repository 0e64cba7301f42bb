package labdemo

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// evidence is all that the checks need.
type evidence struct {
	changes     int
	convergence *hdrhistogram.Histogram
	late        []string
	back        []string

	counts  Counts
	rights  Rights
	runs    Runs
	dropped int

	drainAt     time.Time
	drainBefore int
	drainLast   time.Time
	drainCut    []string

	kill          Kill
	stopCaller    string
	stopAt        time.Time
	stopTook      time.Duration
	stopFlying    int
	stopCut       []string
	withoutOwners int
	unclean       []string

	controlBytes    uint64
	platformReads   uint64
	platformRefused uint64
	loads           string
}

// check is one promise with what was seen of it.
type check struct {
	name     string
	ok       bool
	seen     string
	examples []string
}

// checks judges the evidence. A check whose subject was never seen fails, so
// that a demo that tests nothing does not pass.
func (e evidence) checks() []check {
	c := []check{
		none("edit in force everywhere within 3 s", e.late),
		{"calls showed each edit's effect", e.unshown() == "", e.shown(), nil},
		none("no call against the lists in force", e.rights.broken),
		none("no version went back", e.back),
		{"no call lost or cut", e.counts.lost == 0, fmt.Sprint(e.counts.lost), e.counts.examples},
		{"no answer wrong or crossed", e.counts.wrong == 0, fmt.Sprint(e.counts.wrong), nil},
		none("no POST ran twice", e.runs.twice),
		none("nothing refused as not run that ran", e.runs.notRun),
		none("no answer without a run", e.runs.silent),
		{"targets counted every run", e.dropped == 0, fmt.Sprintf("%d dropped", e.dropped), nil},
		e.drainCheck(),
		none("drain interrupted no call", e.drainCut),
		e.stopCheck(),
		none("processes stopped cleanly", e.unclean),
		e.servedCheck(),
		// A renamed metric or a mesh whose daemons do not talk would report 0.
		{"control bytes were counted", e.controlBytes > 0, fmt.Sprint(e.controlBytes), nil},
	}
	return c
}

// none is a check that passes when nothing was found.
func none(name string, found []string) check {
	return check{name, len(found) == 0, fmt.Sprintf("%d found", len(found)), found}
}

// unshown names the edits whose effect no call showed.
func (e evidence) unshown() string {
	var missing []string
	for n := range e.changes {
		if e.rights.shown[n] == 0 {
			missing = append(missing, fmt.Sprint(n+1))
		}
	}
	return strings.Join(missing, ", ")
}

func (e evidence) shown() string {
	if missing := e.unshown(); missing != "" {
		return "no call after edit " + missing
	}
	total := 0
	for _, n := range e.rights.shown {
		total += n
	}
	return fmt.Sprintf("%d calls after %d edits", total, e.changes)
}

func (e evidence) drainCheck() check {
	late := e.drainLast.Sub(e.drainAt)
	ok := e.drainBefore > 0 && late <= drainBound
	seen := fmt.Sprintf("%d calls before, last start %s after the drain", e.drainBefore, late.Round(time.Millisecond))
	return check{"no new call at the drained target after 2 s", ok, seen, nil}
}

func (e evidence) stopCheck() check {
	seen := fmt.Sprintf("%d in flight, %d interrupted, stop took %s", e.stopFlying, len(e.stopCut), e.stopTook.Round(time.Millisecond))
	return check{"SIGTERM interrupted no call", e.stopFlying > 0 && len(e.stopCut) == 0, seen, e.stopCut}
}

// servedCheck guards against a mesh that keeps its promises by refusing.
func (e evidence) servedCheck() check {
	share := 0.0
	if e.rights.allowed > 0 {
		share = float64(e.rights.answered) / float64(e.rights.allowed)
	}
	seen := fmt.Sprintf("%d of %d allowed calls answered", e.rights.answered, e.rights.allowed)
	return check{fmt.Sprintf("at least %.0f%% of allowed calls answered", leastServed*100), share >= leastServed, seen, nil}
}

// Report is the outcome of a demo.
type Report struct {
	evidence evidence
	checks   []check
}

func newReport(e evidence) Report { return Report{evidence: e, checks: e.checks()} }

// OK reports whether all checks passed.
func (r Report) OK() bool {
	for _, c := range r.checks {
		if !c.ok {
			return false
		}
	}
	return true
}

// Table shows the load, the checks and examples of what failed.
func (r Report) Table() string {
	w := table.NewWriter()
	w.AppendHeader(table.Row{"check", "result", "seen"})
	var examples []string
	for _, c := range r.checks {
		result := "ok"
		if !c.ok {
			result = "FAILED"
			examples = append(examples, c.examples[:min(len(c.examples), maximumExamples)]...)
		}
		w.AppendRow(table.Row{c.name, result, c.seen})
	}
	w.AppendSeparator()
	e := r.evidence
	w.AppendRow(table.Row{"calls cut by SIGKILL of their own daemon", "", e.counts.cutByKill})
	w.AppendRow(table.Row{"keyed calls refused for want of owners", "", e.withoutOwners})
	w.AppendRow(table.Row{"convergence max", "", milliseconds(e.convergence.Max()) + " ms"})
	w.AppendRow(table.Row{"reads that the platform refused", "", e.platformRefused})
	return strings.Join(append([]string{e.loads, w.Render()}, examples...), "\n")
}

// Line is the last line of the demo's output.
func (r Report) Line() string {
	e := r.evidence
	figures := fmt.Sprintf("changes=%d calls=%d lost=%d wrong=%d twice=%d converge_p50_ms=%s converge_p99_ms=%s control_bytes=%d platform_reads=%d",
		e.changes, e.counts.calls, e.counts.lost, e.counts.wrong, len(e.runs.twice),
		milliseconds(e.convergence.ValueAtQuantile(50)), milliseconds(e.convergence.ValueAtQuantile(99)),
		e.controlBytes, e.platformReads)
	if r.OK() {
		return "demo ok: " + figures
	}
	var failed []string
	for _, c := range r.checks {
		if !c.ok {
			failed = append(failed, c.name+" ("+c.seen+")")
		}
	}
	return "demo failed: " + strings.Join(failed, "; ") + ": " + figures
}

func milliseconds(microseconds int64) string {
	return fmt.Sprintf("%.1f", float64(microseconds)/1000)
}
