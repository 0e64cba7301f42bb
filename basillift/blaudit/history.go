package blaudit

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

// daemon identifies one incarnation of the daemon of a VM.
type daemon struct {
	vm          basillift.VMID
	incarnation uint64
}

func daemonOf(e basillift.Event) daemon {
	return daemon{vm: e.VM(), incarnation: e.Incarnation()}
}

// history is a timeline, indexed for the rules.
type history struct {
	events   []basillift.Event
	daemons  []daemon
	byDaemon map[daemon][]basillift.Event
	gaps     map[daemon]bool
	end      time.Time
}

func newHistory(events []basillift.Event) history {
	h := history{events: events, byDaemon: map[daemon][]basillift.Event{}, gaps: map[daemon]bool{}}
	for _, e := range events {
		d := daemonOf(e)
		if _, known := h.byDaemon[d]; !known {
			h.daemons = append(h.daemons, d)
		}
		if uint64(len(h.byDaemon[d]))+1 != e.Sequence() {
			h.gaps[d] = true
		}
		h.byDaemon[d] = append(h.byDaemon[d], e)
		if e.At().After(h.end) {
			h.end = e.At()
		}
	}
	return h
}

func (h history) vmsWithGaps() []basillift.VMID {
	var vms []basillift.VMID
	for d := range h.gaps {
		vms = append(vms, d.vm)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// activePeriod returns the times of the first and the last event of an incarnation.
func (h history) activePeriod(d daemon) (from, to time.Time) {
	events := h.byDaemon[d]
	return events[0].At(), events[len(events)-1].At()
}

// calls groups the events by call id, in the order of the first event of each call.
func (h history) calls() [][]basillift.Event {
	return h.groupBy(func(e basillift.Event) string { return e.Call() })
}

// keys groups the events of non-idempotent calls by customer, service and idempotency key.
func (h history) keys() [][]basillift.Event {
	return h.groupBy(func(e basillift.Event) string {
		if e.Key() == "" || e.Call() == "" || idempotent(e.Method()) {
			return ""
		}
		return e.Customer() + "\x00" + e.Service() + "\x00" + e.Key()
	})
}

// groupBy groups the events by the id that groupID returns, in the order of the first event
// of each group. Events with an empty id are left out.
func (h history) groupBy(groupID func(basillift.Event) string) [][]basillift.Event {
	index := map[string]int{}
	var groups [][]basillift.Event
	for _, e := range h.events {
		id := groupID(e)
		if id == "" {
			continue
		}
		i, known := index[id]
		if !known {
			i = len(groups)
			index[id] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}

func ofKind(events []basillift.Event, kinds ...basillift.EventKind) []basillift.Event {
	var found []basillift.Event
	for _, e := range events {
		if slices.Contains(kinds, e.Kind()) {
			found = append(found, e)
		}
	}
	return found
}

// idempotent reports whether HTTP defines the method as idempotent. An unknown method counts as
// non-idempotent.
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
