package blaudit

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// DetailAlone marks the first version of a restarted daemon that no peer answered. Only
// such a daemon may hold an older version than its VM held before.
const DetailAlone = "no peer answered"

// checkNeverBack finds a VM that applies a version that is not newer than the last one.
func checkNeverBack(h history) []Finding {
	var findings []Finding
	held := map[basillift.VMID]basillift.Event{}
	for _, e := range ofKind(h.events, basillift.EventVersionApplied) {
		last, known := held[e.VM()]
		held[e.VM()] = e
		if !known || e.Version().NewerThan(last.Version()) {
			continue
		}
		restarted := last.Incarnation() != e.Incarnation()
		if restarted && (e.Version() == last.Version() || e.Detail() == DetailAlone) {
			continue
		}
		findings = append(findings, Finding{
			promise: NeverBack,
			text:    fmt.Sprintf("%s went from version %s to %s", e.VM(), last.Version(), e.Version()),
			events:  []basillift.Event{last, e},
		})
	}
	return findings
}

// checkNoBadRoute finds calls routed by a version that is not in force on the daemon, or to a target
// that the daemon never knew.
func checkNoBadRoute(h history) []Finding {
	var findings []Finding
	for _, d := range h.daemons {
		if h.gaps[d] {
			continue
		}
		findings = append(findings, badRoutes(h.by[d], d)...)
	}
	return findings
}

func badRoutes(events []basillift.Event, d daemon) []Finding {
	var findings []Finding
	held := map[basillift.Version]bool{}
	known := map[basillift.VMID]bool{d.vm: true}
	for _, e := range events {
		switch e.Kind() {
		case basillift.EventVersionApplied:
			held[e.Version()] = true
		case basillift.EventMemberJoined, basillift.EventMemberReturned:
			known[e.Target()] = true
		case basillift.EventCallRouted:
			if held[e.Version()] && known[e.Target()] {
				continue
			}
			findings = append(findings, Finding{
				promise: NoBadRoute,
				text: fmt.Sprintf("%s routed call %s by version %s to %s, which it does not have",
					e.VM(), e.Call(), e.Version(), e.Target()),
				events: []basillift.Event{e},
			})
		}
	}
	return findings
}

// checkAllOrNone finds daemons that hold different content under one version, and versions that are in
// force although a daemon refused them.
func checkAllOrNone(h history) []Finding {
	var findings []Finding
	first := map[basillift.Version]basillift.Event{}
	refused := map[basillift.Version]basillift.Event{}
	for _, e := range ofKind(h.events, basillift.EventVersionRefused) {
		refused[e.Version()] = e
	}
	for _, e := range ofKind(h.events, basillift.EventVersionApplied) {
		other, known := first[e.Version()]
		if !known {
			first[e.Version()] = e
		}
		if known && other.Digest() != e.Digest() {
			findings = append(findings, Finding{
				promise: AllOrNone,
				text:    fmt.Sprintf("version %s has digest %x on %s and %x on %s", e.Version(), other.Digest(), other.VM(), e.Digest(), e.VM()),
				events:  []basillift.Event{other, e},
			})
		}
		r, bad := refused[e.Version()]
		if bad && !known {
			findings = append(findings, Finding{
				promise: AllOrNone,
				text:    fmt.Sprintf("version %s is in force on %s although %s refused it", e.Version(), e.VM(), r.VM()),
				events:  []basillift.Event{r, e},
			})
		}
	}
	return findings
}

// checkInForce finds daemons that ran from a version's first appearance until
// the bound and did not hold it, or a newer one, by then.
func checkInForce(h history) []Finding {
	var findings []Finding
	seen := map[basillift.Version]bool{}
	for _, e := range ofKind(h.events, basillift.EventVersionSeen, basillift.EventVersionApplied) {
		if seen[e.Version()] || h.wasRefused(e.Version()) {
			continue
		}
		seen[e.Version()] = true
		for _, d := range h.daemons {
			if h.late(d, e) {
				findings = append(findings, Finding{
					promise: InForce,
					text:    fmt.Sprintf("%s did not hold version %s within %s", d.vm, e.Version(), ForceBound),
					events:  []basillift.Event{e},
				})
			}
		}
	}
	return findings
}

func (h history) wasRefused(v basillift.Version) bool {
	for _, e := range ofKind(h.events, basillift.EventVersionRefused) {
		if e.Version() == v {
			return true
		}
	}
	return false
}

// late reports whether a daemon missed the bound for the version of an event.
func (h history) late(d daemon, appeared basillift.Event) bool {
	deadline := appeared.At().Add(ForceBound + ClockError)
	from, to := h.span(d)
	if h.gaps[d] || from.After(appeared.At()) || to.Before(deadline) {
		return false
	}
	for _, e := range ofKind(h.by[d], basillift.EventVersionApplied) {
		if !e.At().After(deadline) && e.Version().Compare(appeared.Version()) >= 0 {
			return false
		}
	}
	return !h.excused(d, appeared.At(), deadline)
}

// excused reports whether the daemon could not be reached or did not run for
// part of the time: others declared it dead, it declared all others dead, or it
// was paused or stopping.
func (h history) excused(d daemon, from, to time.Time) bool {
	for _, e := range h.events {
		if e.At().Before(from.Add(-ForceBound)) || e.At().After(to.Add(ForceBound)) {
			continue
		}
		switch e.Kind() {
		case basillift.EventMemberDied, basillift.EventMemberSuspected:
			if e.Target() == d.vm || e.VM() == d.vm {
				return true
			}
		case basillift.EventPaused, basillift.EventStopping:
			if daemonOf(e) == d {
				return true
			}
		}
	}
	return false
}
