package blaudit

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// checkLeaving finds calls that were sent to a target after it had been leaving for longer than the
// bound, and calls that the target's own daemon admitted while it was leaving.
func checkLeaving(h history) []Finding {
	var findings []Finding
	leaving := map[basillift.VMID]basillift.Event{}
	for _, e := range h.events {
		switch e.Kind() {
		case basillift.EventStarted:
			delete(leaving, e.VM())
		case basillift.EventTargetState:
			if own(e) {
				trackLeaving(leaving, e)
			}
		case basillift.EventCallRouted:
			left, known := leaving[e.Target()]
			if known && e.VM() != e.Target() && e.At().Sub(left.At()) > LeaveBound+ClockError {
				findings = append(findings, newWork(left, e, e.At().Sub(left.At())))
			}
		case basillift.EventCallAdmitted:
			left, known := leaving[e.VM()]
			if known && e.Sequence() > left.Sequence() {
				findings = append(findings, newWork(left, e, e.At().Sub(left.At())))
			}
		}
	}
	return findings
}

// own reports whether a state is that of the recording VM's target. Daemons also record
// the states that they hear of others, with the other VM as target.
func own(e basillift.Event) bool { return e.Target() == "" || e.Target() == e.VM() }

// trackLeaving keeps when a target began to leave; a target that is ready again has not left.
func trackLeaving(leaving map[basillift.VMID]basillift.Event, e basillift.Event) {
	switch e.State() {
	case basillift.TargetDraining, basillift.TargetGone:
		if _, known := leaving[e.VM()]; !known {
			leaving[e.VM()] = e
		}
	default:
		delete(leaving, e.VM())
	}
}

func newWork(left, e basillift.Event, after time.Duration) Finding {
	return Finding{
		promise: LeaveTarget,
		text:    fmt.Sprintf("target %s got call %s from %s %s after it began to leave", left.VM(), e.Call(), e.VM(), after.Round(time.Millisecond)),
		events:  []basillift.Event{left, e},
	}
}

// checkStops finds planned stops that cut calls.
func checkStops(h history) []Finding {
	var findings []Finding
	for _, d := range h.daemons {
		stopping := ofKind(h.by[d], basillift.EventStopping)
		if len(stopping) == 0 {
			continue
		}
		for _, e := range ofKind(h.by[d], basillift.EventStopped) {
			if e.Status() > 0 {
				findings = append(findings, Finding{
					promise: GracefulStop,
					text:    fmt.Sprintf("the stop of %s cut %d calls", d.vm, e.Status()),
					events:  []basillift.Event{stopping[0], e},
				})
			}
		}
		for _, e := range ofKind(h.by[d], basillift.EventCallTruncated) {
			if e.Sequence() > stopping[0].Sequence() && e.Reason() == basillift.ReasonDraining {
				findings = append(findings, Finding{
					promise: GracefulStop,
					text:    fmt.Sprintf("the stop of %s cut call %s", d.vm, e.Call()),
					events:  []basillift.Event{stopping[0], e},
				})
			}
		}
	}
	return findings
}
