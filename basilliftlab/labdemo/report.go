package labdemo

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
)

// evidence holds everything that a demo observed and that the checks need. Convergence is
// in microseconds. The string lists describe findings.
type evidence struct {
	editCount          int
	convergence        *hdrhistogram.Histogram
	lateEdits          []string
	versionRegressions []string

	verdicts    VerdictCounts
	permissions PermissionCheck
	runs        RunCheck
	droppedRuns int

	drainedAt          time.Time
	startsBeforeDrain  int
	lastStartAtDrained time.Time
	interruptedByDrain []string

	kill                 Kill
	stoppedCallerAddress string
	stoppedAt            time.Time
	stopDuration         time.Duration
	inFlightAtStop       int
	interruptedByStop    []string
	callsWithoutOwners   int
	uncleanExits         []string

	controlBytes  uint64
	platformReads uint64
	refusedReads  uint64
	loadTable     string
}

// check is the result of checking one promise: what was observed, and examples of failures.
type check struct {
	name     string
	ok       bool
	observed string
	examples []string
}

// checks evaluates the evidence. A check also fails if its subject was never observed, so
// that a demo that tests nothing does not pass.
func (e evidence) checks() []check {
	c := []check{
		noneFound("edit in force everywhere within 3 s", e.lateEdits),
		{"calls showed each edit's effect", e.editsWithoutCalls() == "", e.describeShownEdits(), nil},
		noneFound("no call against the lists in force", e.permissions.violations),
		noneFound("no version went back", e.versionRegressions),
		{"no call lost or cut", e.verdicts.lost == 0, fmt.Sprint(e.verdicts.lost), e.verdicts.examples},
		{"no answer wrong or crossed", e.verdicts.wrong == 0, fmt.Sprint(e.verdicts.wrong), nil},
		noneFound("no POST ran twice", e.runs.ranTwice),
		noneFound("nothing refused as not run that ran", e.runs.ranDespiteRefusal),
		noneFound("no answer without a run", e.runs.answeredWithoutRun),
		{"targets counted every run", e.droppedRuns == 0, fmt.Sprintf("%d dropped", e.droppedRuns), nil},
		e.drainCheck(),
		noneFound("drain interrupted no call", e.interruptedByDrain),
		e.stopCheck(),
		noneFound("processes stopped cleanly", e.uncleanExits),
		e.answeredCheck(),
		// The sum is 0 if the metric was renamed or the daemons do not communicate.
		{"control bytes were counted", e.controlBytes > 0, fmt.Sprint(e.controlBytes), nil},
	}
	return c
}

// noneFound returns a check that passes if there are no findings.
func noneFound(name string, found []string) check {
	return check{name, len(found) == 0, fmt.Sprintf("%d found", len(found)), found}
}

// editsWithoutCalls returns the numbers, counted from 1, of the edits whose effect no call
// showed.
func (e evidence) editsWithoutCalls() string {
	var missing []string
	for n := range e.editCount {
		if e.permissions.callsShowingEdit[n] == 0 {
			missing = append(missing, fmt.Sprint(n+1))
		}
	}
	return strings.Join(missing, ", ")
}

func (e evidence) describeShownEdits() string {
	if missing := e.editsWithoutCalls(); missing != "" {
		return "no call after edit " + missing
	}
	total := 0
	for _, n := range e.permissions.callsShowingEdit {
		total += n
	}
	return fmt.Sprintf("%d calls after %d edits", total, e.editCount)
}

func (e evidence) drainCheck() check {
	delay := e.lastStartAtDrained.Sub(e.drainedAt)
	ok := e.startsBeforeDrain > 0 && delay <= maxDrainDelay
	observed := fmt.Sprintf("%d calls before, last start %s after the drain", e.startsBeforeDrain, delay.Round(time.Millisecond))
	return check{"no new call at the drained target after 2 s", ok, observed, nil}
}

func (e evidence) stopCheck() check {
	observed := fmt.Sprintf("%d in flight, %d interrupted, stop took %s", e.inFlightAtStop, len(e.interruptedByStop), e.stopDuration.Round(time.Millisecond))
	return check{"SIGTERM interrupted no call", e.inFlightAtStop > 0 && len(e.interruptedByStop) == 0, observed, e.interruptedByStop}
}

// answeredCheck guards against a mesh that keeps the other promises by refusing calls.
func (e evidence) answeredCheck() check {
	ratio := 0.0
	if e.permissions.allowed > 0 {
		ratio = float64(e.permissions.answered) / float64(e.permissions.allowed)
	}
	observed := fmt.Sprintf("%d of %d allowed calls answered", e.permissions.answered, e.permissions.allowed)
	return check{fmt.Sprintf("at least %.0f%% of allowed calls answered", minAnsweredRatio*100), ratio >= minAnsweredRatio, observed, nil}
}

// Report is the result of a demo.
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

// Table returns the tables of the load and the checks, and examples of failures, for a human.
func (r Report) Table() string {
	w := table.NewWriter()
	w.AppendHeader(table.Row{"check", "result", "seen"})
	var examples []string
	for _, c := range r.checks {
		result := "ok"
		if !c.ok {
			result = "FAILED"
			examples = append(examples, c.examples[:min(len(c.examples), maxExamples)]...)
		}
		w.AppendRow(table.Row{c.name, result, c.observed})
	}
	w.AppendSeparator()
	e := r.evidence
	w.AppendRow(table.Row{"calls cut by SIGKILL of their own daemon", "", e.verdicts.cutByKill})
	w.AppendRow(table.Row{"keyed calls refused for want of owners", "", e.callsWithoutOwners})
	w.AppendRow(table.Row{"convergence max", "", milliseconds(e.convergence.Max()) + " ms"})
	w.AppendRow(table.Row{"reads that the platform refused", "", e.refusedReads})
	return strings.Join(append([]string{e.loadTable, w.Render()}, examples...), "\n")
}

// Line returns the last line of the demo's output: "demo ok:" or "demo failed:" with the
// failed checks, and the figures.
func (r Report) Line() string {
	e := r.evidence
	figures := fmt.Sprintf("changes=%d calls=%d lost=%d wrong=%d twice=%d converge_p50_ms=%s converge_p99_ms=%s control_bytes=%d platform_reads=%d",
		e.editCount, e.verdicts.total, e.verdicts.lost, e.verdicts.wrong, len(e.runs.ranTwice),
		milliseconds(e.convergence.ValueAtQuantile(50)), milliseconds(e.convergence.ValueAtQuantile(99)),
		e.controlBytes, e.platformReads)
	if r.OK() {
		return "demo ok: " + figures
	}
	var failed []string
	for _, c := range r.checks {
		if !c.ok {
			failed = append(failed, c.name+" ("+c.observed+")")
		}
	}
	return "demo failed: " + strings.Join(failed, "; ") + ": " + figures
}

func milliseconds(microseconds int64) string {
	return fmt.Sprintf("%.1f", float64(microseconds)/1000)
}
