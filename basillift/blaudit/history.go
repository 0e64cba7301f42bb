package blaudit

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

// daemon is one incarnation of one VM's daemon.
type daemon struct {
	vm          basillift.VMID
	incarnation uint64
}

func daemonOf(e basillift.Event) daemon {
	return daemon{vm: e.VM(), incarnation: e.Incarnation()}
}

// history indexes a timeline for the rules.
type history struct {
	events  []basillift.Event
	daemons []daemon
	by      map[daemon][]basillift.Event
	gaps    map[daemon]bool
	end     time.Time
}

func newHistory(events []basillift.Event) history {
	h := history{events: events, by: map[daemon][]basillift.Event{}, gaps: map[daemon]bool{}}
	for _, e := range events {
		d := daemonOf(e)
		if _, known := h.by[d]; !known {
			h.daemons = append(h.daemons, d)
		}
		if uint64(len(h.by[d]))+1 != e.Sequence() {
			h.gaps[d] = true
		}
		h.by[d] = append(h.by[d], e)
		if e.At().After(h.end) {
			h.end = e.At()
		}
	}
	return h
}

func (h history) gapVMs() []basillift.VMID {
	var vms []basillift.VMID
	for d := range h.gaps {
		vms = append(vms, d.vm)
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

// span is the time during which an incarnation is known to have run.
func (h history) span(d daemon) (from, to time.Time) {
	events := h.by[d]
	return events[0].At(), events[len(events)-1].At()
}

// calls groups the events that name a call, in the order of their first event.
func (h history) calls() [][]basillift.Event {
	return h.group(func(e basillift.Event) string { return e.Call() })
}

// keys groups the events of non-idempotent calls that name an idempotency key.
func (h history) keys() [][]basillift.Event {
	return h.group(func(e basillift.Event) string {
		if e.Key() == "" || e.Call() == "" || idempotent(e.Method()) {
			return ""
		}
		return e.Customer() + "\x00" + e.Service() + "\x00" + e.Key()
	})
}

// group collects events with the same name; an empty name is left out.
func (h history) group(name func(basillift.Event) string) [][]basillift.Event {
	index := map[string]int{}
	var groups [][]basillift.Event
	for _, e := range h.events {
		n := name(e)
		if n == "" {
			continue
		}
		i, known := index[n]
		if !known {
			i = len(groups)
			index[n] = i
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

// idempotent reports whether HTTP permits sending the method again. An unknown method counts as not
// idempotent.
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
