package bltimeline

import (
	"cmp"
	"slices"

	"basillift.dev/basillift"
)

// position is where an event stands in the merged order.
type position struct {
	at    int64
	event basillift.Event
}

// Merge joins the events of several daemons into one ordered list. An event
// that is present twice is kept once. The events of one incarnation keep the
// order of their sequence numbers even when the VM's clock was set back.
func Merge(lists ...[]basillift.Event) []basillift.Event {
	events := slices.Concat(lists...)
	slices.SortFunc(events, compareOrigin)
	events = slices.CompactFunc(events, sameOrigin)
	positions := placeEvents(events)
	slices.SortStableFunc(positions, func(a, b position) int { return cmp.Compare(a.at, b.at) })
	for i, p := range positions {
		events[i] = p.event
	}
	return events
}

// placeEvents gives each event of one incarnation a time that is not before its predecessor's.
func placeEvents(events []basillift.Event) []position {
	positions := make([]position, len(events))
	for i, e := range events {
		at := e.At().UnixNano()
		if i > 0 && sameDaemon(events[i-1], e) {
			at = max(at, positions[i-1].at)
		}
		positions[i] = position{at: at, event: e}
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
