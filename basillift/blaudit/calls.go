package blaudit

import (
	"fmt"

	"basillift.dev/basillift"
)

// checkWholeAnswer finds calls that ended more than once, were answered after they were truncated, or never
// ended although their caller's daemon stopped gracefully.
func checkWholeAnswer(h history) []Finding {
	var findings []Finding
	for _, call := range h.calls() {
		for _, accepted := range ofKind(call, basillift.EventCallAccepted) {
			if f, broken := h.checkEnd(accepted, call); broken {
				findings = append(findings, f)
			}
		}
	}
	return findings
}

func (h history) checkEnd(accepted basillift.Event, call []basillift.Event) (Finding, bool) {
	d := daemonOf(accepted)
	if h.gaps[d] {
		return Finding{}, false
	}
	var ends []basillift.Event
	for _, e := range ofKind(call, basillift.EventCallAnswered, basillift.EventCallRefused, basillift.EventCallTruncated) {
		if daemonOf(e) == d && e.Sequence() > accepted.Sequence() {
			ends = append(ends, e)
		}
	}
	switch {
	case len(ends) > 1:
		return Finding{
			promise: WholeAnswer,
			text:    fmt.Sprintf("call %s ended %d times on %s", accepted.Call(), len(ends), d.vm),
			events:  append([]basillift.Event{accepted}, ends...),
		}, true
	case len(ends) == 0 && h.stoppedGracefully(d):
		return Finding{
			promise: WholeAnswer,
			text:    fmt.Sprintf("call %s got no answer on %s", accepted.Call(), d.vm),
			events:  []basillift.Event{accepted},
		}, true
	default:
		return Finding{}, false
	}
}

// stoppedGracefully reports whether a daemon completed a graceful shutdown, so that all its calls must have ended.
func (h history) stoppedGracefully(d daemon) bool {
	return len(ofKind(h.byDaemon[d], basillift.EventStopped)) > 0
}

// checkNotRun finds calls that were refused to their caller as "not run" although a target ran them.
func checkNotRun(h history) []Finding {
	var findings []Finding
	for _, call := range h.calls() {
		refusal := finalRefusal(call)
		if refusal.Outcome() != basillift.OutcomeNotRun {
			continue
		}
		if runs := runsOf(call); len(runs) > 0 {
			findings = append(findings, Finding{
				promise: NotRunMeansNotRun,
				text:    fmt.Sprintf("call %s was refused as not run by %s but ran on %s", refusal.Call(), refusal.VM(), runs[0].VM()),
				events:  append(runs, refusal),
			})
		}
	}
	return findings
}

// finalRefusal returns the last refusal by the daemon that accepted the call from its caller, or a zero event.
func finalRefusal(call []basillift.Event) basillift.Event {
	var last basillift.Event
	accepted := ofKind(call, basillift.EventCallAccepted)
	if len(accepted) == 0 {
		return last
	}
	for _, e := range ofKind(call, basillift.EventCallRefused) {
		if e.VM() == accepted[0].VM() && e.Sequence() > accepted[0].Sequence() {
			last = e
		}
	}
	return last
}

// runsOf returns the start events of calls on targets, without those that the target refused as "not run".
func runsOf(call []basillift.Event) []basillift.Event {
	var runs []basillift.Event
	for i, e := range call {
		if e.Kind() != basillift.EventCallStarted {
			continue
		}
		if !refusedByTarget(call[i+1:], e) {
			runs = append(runs, e)
		}
	}
	return runs
}

// refusedByTarget reports whether the next end event of the call on the same daemon has the outcome "not run".
func refusedByTarget(later []basillift.Event, start basillift.Event) bool {
	for _, e := range ofKind(later, basillift.EventCallEnded) {
		if daemonOf(e) == daemonOf(start) && e.Call() == start.Call() {
			return e.Outcome() == basillift.OutcomeNotRun
		}
	}
	return false
}

// checkAtMostOnce finds non-idempotent calls that ran more than once, and idempotency keys that ran for more
// than one call.
func checkAtMostOnce(h history) []Finding {
	var findings []Finding
	for _, call := range h.calls() {
		if idempotent(call[0].Method()) {
			continue
		}
		if runs := runsOf(call); len(runs) > 1 {
			findings = append(findings, duplicateRunFinding("call "+call[0].Call(), runs))
		}
	}
	for _, group := range h.keys() {
		runs := runsOf(group)
		if len(runs) > 1 && runs[0].Call() != runs[1].Call() {
			findings = append(findings, duplicateRunFinding("key "+group[0].Key(), runs))
		}
	}
	return findings
}

func duplicateRunFinding(name string, runs []basillift.Event) Finding {
	return Finding{
		promise: AtMostOnce,
		text:    fmt.Sprintf("%s ran %d times, first on %s and then on %s", name, len(runs), runs[0].VM(), runs[1].VM()),
		events:  runs,
	}
}
