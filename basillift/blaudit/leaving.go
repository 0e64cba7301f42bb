package blaudit

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// checkLeaving finds calls that were routed to a target more than LeaveBound after it began to leave, and calls
// that the target's own daemon admitted while the target was leaving.
func checkLeaving(h history) []Finding {
	var findings []Finding
	leavingSince := map[basillift.VMID]basillift.Event{}
	for _, e := range h.events {
		switch e.Kind() {
		case basillift.EventStarted:
			delete(leavingSince, e.VM())
		case basillift.EventTargetState:
			if isOwnTarget(e) {
				trackLeaving(leavingSince, e)
			}
		case basillift.EventCallRouted:
			leaveEvent, known := leavingSince[e.Target()]
			if known && e.VM() != e.Target() && e.At().Sub(leaveEvent.At()) > LeaveBound+ClockTolerance {
				findings = append(findings, newWorkFinding(leaveEvent, e, e.At().Sub(leaveEvent.At())))
			}
		case basillift.EventCallAdmitted:
			leaveEvent, known := leavingSince[e.VM()]
			if known && e.Sequence() > leaveEvent.Sequence() {
				findings = append(findings, newWorkFinding(leaveEvent, e, e.At().Sub(leaveEvent.At())))
			}
		}
	}
	return findings
}

// isOwnTarget reports whether an event records the state of the recording VM's own target. Daemons also record
// the states that others report to them, with the other VM as target.
func isOwnTarget(e basillift.Event) bool { return e.Target() == "" || e.Target() == e.VM() }

// trackLeaving records when a target began to leave. It removes a target that is in use again.
func trackLeaving(leavingSince map[basillift.VMID]basillift.Event, e basillift.Event) {
	switch e.State() {
	case basillift.TargetDraining, basillift.TargetGone:
		if _, known := leavingSince[e.VM()]; !known {
			leavingSince[e.VM()] = e
		}
	default:
		delete(leavingSince, e.VM())
	}
}

func newWorkFinding(leaveEvent, e basillift.Event, after time.Duration) Finding {
	return Finding{
		promise: NoNewWork,
		text:    fmt.Sprintf("target %s got call %s from %s %s after it began to leave", leaveEvent.VM(), e.Call(), e.VM(), after.Round(time.Millisecond)),
		events:  []basillift.Event{leaveEvent, e},
	}
}

// checkStops finds graceful shutdowns that interrupted or truncated calls.
func checkStops(h history) []Finding {
	var findings []Finding
	for _, d := range h.daemons {
		stopping := ofKind(h.byDaemon[d], basillift.EventStopping)
		if len(stopping) == 0 {
			continue
		}
		for _, e := range ofKind(h.byDaemon[d], basillift.EventStopped) {
			if e.Status() > 0 {
				findings = append(findings, Finding{
					promise: GracefulStop,
					text:    fmt.Sprintf("the shutdown of %s interrupted %d calls", d.vm, e.Status()),
					events:  []basillift.Event{stopping[0], e},
				})
			}
		}
		for _, e := range ofKind(h.byDaemon[d], basillift.EventCallTruncated) {
			if e.Sequence() > stopping[0].Sequence() && e.Reason() == basillift.ReasonDraining {
				findings = append(findings, Finding{
					promise: GracefulStop,
					text:    fmt.Sprintf("the shutdown of %s truncated call %s", d.vm, e.Call()),
					events:  []basillift.Event{stopping[0], e},
				})
			}
		}
	}
	return findings
}
