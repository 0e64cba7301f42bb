package blaudit

import (
	"fmt"

	"basillift.dev/basillift"
)

// checkWholeAnswer finds calls that ended more than once, were answered after they were cut, or never
// ended although their caller's daemon went on.
func checkWholeAnswer(h history) []Finding {
	var findings []Finding
	for _, call := range h.calls() {
		for _, accepted := range ofKind(call, basillift.EventCallAccepted) {
			if f, bad := h.checkEnd(accepted, call); bad {
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
	case len(ends) == 0 && h.stopped(d):
		return Finding{
			promise: WholeAnswer,
			text:    fmt.Sprintf("call %s got no answer on %s", accepted.Call(), d.vm),
			events:  []basillift.Event{accepted},
		}, true
	default:
		return Finding{}, false
	}
}

// stopped reports whether a daemon stopped in order, so that all its calls must have ended.
func (h history) stopped(d daemon) bool {
	return len(ofKind(h.by[d], basillift.EventStopped)) > 0
}

// checkNotRun finds calls that were refused as "not run" to their caller although a target ran them.
func checkNotRun(h history) []Finding {
	var findings []Finding
	for _, call := range h.calls() {
		refused := finalRefusal(call)
		if refused.Outcome() != basillift.OutcomeNotRun {
			continue
		}
		if runs := runsOf(call); len(runs) > 0 {
			findings = append(findings, Finding{
				promise: TrulyNotRun,
				text:    fmt.Sprintf("call %s was refused as not run by %s but ran on %s", refused.Call(), refused.VM(), runs[0].VM()),
				events:  append(runs, refused),
			})
		}
	}
	return findings
}

// finalRefusal is the last refusal by the daemon that accepted the call from its caller.
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

// runsOf returns the starts of a call on targets, without those that the target itself refused.
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

// refusedByTarget reports whether the next end of the call on the same daemon says "not run".
func refusedByTarget(later []basillift.Event, start basillift.Event) bool {
	for _, e := range ofKind(later, basillift.EventCallEnded) {
		if daemonOf(e) == daemonOf(start) && e.Call() == start.Call() {
			return e.Outcome() == basillift.OutcomeNotRun
		}
	}
	return false
}

// checkAtMostOnce finds non-idempotent calls, and idempotency keys, that ran more than once.
func checkAtMostOnce(h history) []Finding {
	var findings []Finding
	for _, call := range h.calls() {
		if idempotent(call[0].Method()) {
			continue
		}
		if runs := runsOf(call); len(runs) > 1 {
			findings = append(findings, ranTwice("call "+call[0].Call(), runs))
		}
	}
	for _, group := range h.keys() {
		runs := runsOf(group)
		if len(runs) > 1 && runs[0].Call() != runs[1].Call() {
			findings = append(findings, ranTwice("key "+group[0].Key(), runs))
		}
	}
	return findings
}

func ranTwice(name string, runs []basillift.Event) Finding {
	return Finding{
		promise: AtMostOnce,
		text:    fmt.Sprintf("%s ran %d times, first on %s and then on %s", name, len(runs), runs[0].VM(), runs[1].VM()),
		events:  runs,
	}
}
