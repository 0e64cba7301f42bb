package blaudit

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// DetailNoPeerAnswered is the detail of the first applied version of a restarted daemon to which no peer
// answered. Only such a daemon may apply an older version than its VM had before the restart.
const DetailNoPeerAnswered = "no peer answered"

// checkNoOlderVersion finds VMs that apply a version that is not newer than their last one.
func checkNoOlderVersion(h history) []Finding {
	var findings []Finding
	applied := map[basillift.VMID]basillift.Event{}
	for _, e := range ofKind(h.events, basillift.EventVersionApplied) {
		last, known := applied[e.VM()]
		applied[e.VM()] = e
		if !known || e.Version().NewerThan(last.Version()) {
			continue
		}
		restarted := last.Incarnation() != e.Incarnation()
		if restarted && (e.Version() == last.Version() || e.Detail() == DetailNoPeerAnswered) {
			continue
		}
		findings = append(findings, Finding{
			promise: NoOlderVersion,
			text:    fmt.Sprintf("%s went from version %s to %s", e.VM(), last.Version(), e.Version()),
			events:  []basillift.Event{last, e},
		})
	}
	return findings
}

// checkNoBadRoute finds calls that were routed by a version that was never in force on the daemon, or to a target
// that the daemon did not know.
func checkNoBadRoute(h history) []Finding {
	var findings []Finding
	for _, d := range h.daemons {
		if h.gaps[d] {
			continue
		}
		findings = append(findings, badRouteFindings(h.byDaemon[d], d)...)
	}
	return findings
}

func badRouteFindings(events []basillift.Event, d daemon) []Finding {
	var findings []Finding
	applied := map[basillift.Version]bool{}
	known := map[basillift.VMID]bool{d.vm: true}
	for _, e := range events {
		switch e.Kind() {
		case basillift.EventVersionApplied:
			applied[e.Version()] = true
		case basillift.EventMemberJoined, basillift.EventMemberReturned:
			known[e.Target()] = true
		case basillift.EventCallRouted:
			if applied[e.Version()] && known[e.Target()] {
				continue
			}
			findings = append(findings, Finding{
				promise: NoBadRoute,
				text: fmt.Sprintf("%s routed call %s by version %s to %s, but never had this version in force or does not know this target",
					e.VM(), e.Call(), e.Version(), e.Target()),
				events: []basillift.Event{e},
			})
		}
	}
	return findings
}

// checkAllOrNone finds daemons that hold different content for the same version, and versions that are in
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
		refusal, wasRefused := refused[e.Version()]
		if wasRefused && !known {
			findings = append(findings, Finding{
				promise: AllOrNone,
				text:    fmt.Sprintf("version %s is in force on %s although %s refused it", e.Version(), e.VM(), refusal.VM()),
				events:  []basillift.Event{refusal, e},
			})
		}
	}
	return findings
}

// checkInForce finds daemons that ran from the first appearance of a version until
// InForceBound later and had neither that version nor a newer one in force by then.
func checkInForce(h history) []Finding {
	var findings []Finding
	seen := map[basillift.Version]bool{}
	for _, e := range ofKind(h.events, basillift.EventVersionSeen, basillift.EventVersionApplied) {
		if seen[e.Version()] || h.wasRefused(e.Version()) {
			continue
		}
		seen[e.Version()] = true
		for _, d := range h.daemons {
			if h.missedBound(d, e) {
				findings = append(findings, Finding{
					promise: InForce,
					text:    fmt.Sprintf("%s did not have version %s in force within %s", d.vm, e.Version(), InForceBound),
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

// missedBound reports whether a daemon applied the version of an event later than InForceBound, or not at all.
func (h history) missedBound(d daemon, appeared basillift.Event) bool {
	deadline := appeared.At().Add(InForceBound + ClockTolerance)
	from, to := h.activePeriod(d)
	if h.gaps[d] || from.After(appeared.At()) || to.Before(deadline) {
		return false
	}
	for _, e := range ofKind(h.byDaemon[d], basillift.EventVersionApplied) {
		if !e.At().After(deadline) && e.Version().Compare(appeared.Version()) >= 0 {
			return false
		}
	}
	return !h.wasUnavailable(d, appeared.At(), deadline)
}

// wasUnavailable reports whether the daemon was unreachable or did not run for part of the
// time: others suspected it or declared it dead, it suspected another member or declared it
// dead, or it was paused or stopping.
func (h history) wasUnavailable(d daemon, from, to time.Time) bool {
	for _, e := range h.events {
		if e.At().Before(from.Add(-InForceBound)) || e.At().After(to.Add(InForceBound)) {
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
