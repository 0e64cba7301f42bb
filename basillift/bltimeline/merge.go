package bltimeline

import (
	"cmp"
	"slices"

	"basillift.dev/basillift"
)

// orderedEvent is an event with the time, in Unix nanoseconds, by which it is sorted.
type orderedEvent struct {
	at    int64
	event basillift.Event
}

// Merge merges the events of several daemons into one list, ordered by time, and
// removes duplicates. The events of one incarnation keep the order of their sequence
// numbers even if the VM's clock was set back. The input lists are not changed.
func Merge(lists ...[]basillift.Event) []basillift.Event {
	events := slices.Concat(lists...)
	slices.SortFunc(events, compareOrigin)
	events = slices.CompactFunc(events, sameOrigin)
	ordered := withMonotonicTimes(events)
	slices.SortStableFunc(ordered, func(a, b orderedEvent) int { return cmp.Compare(a.at, b.at) })
	for i, o := range ordered {
		events[i] = o.event
	}
	return events
}

// withMonotonicTimes pairs each event with a sort time. Sort times never decrease within one
// incarnation.
func withMonotonicTimes(events []basillift.Event) []orderedEvent {
	ordered := make([]orderedEvent, len(events))
	for i, e := range events {
		at := e.At().UnixNano()
		if i > 0 && sameDaemon(events[i-1], e) {
			at = max(at, ordered[i-1].at)
		}
		ordered[i] = orderedEvent{at: at, event: e}
	}
	return ordered
}

func sameDaemon(a, b basillift.Event) bool {
	return a.VM() == b.VM() && a.Incarnation() == b.Incarnation()
}

func sameOrigin(a, b basillift.Event) bool { return compareOrigin(a, b) == 0 }

func compareOrigin(a, b basillift.Event) int {
	return cmp.Or(
		cmp.Compare(a.VM(), b.VM()),
		cmp.Compare(a.Incarnation(), b.Incarnation()),
		cmp.Compare(a.Sequence(), b.Sequence()),
	)
}
