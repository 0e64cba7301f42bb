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
	positions := monotonicEvents(events)
	slices.SortStableFunc(positions, func(a, b orderedEvent) int { return cmp.Compare(a.at, b.at) })
	for i, p := range positions {
		events[i] = p.event
	}
	return events
}

// monotonicEvents assigns sort times that never decrease within one incarnation.
func monotonicEvents(events []basillift.Event) []orderedEvent {
	positions := make([]orderedEvent, len(events))
	for i, e := range events {
		at := e.At().UnixNano()
		if i > 0 && sameDaemon(events[i-1], e) {
			at = max(at, positions[i-1].at)
		}
		positions[i] = orderedEvent{at: at, event: e}
	}
	return positions
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
