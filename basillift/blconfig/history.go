package blconfig

import (
	"basillift.dev/basillift"
)

// MaxHistoryDeltas is the maximum number of deltas that a daemon keeps for peers
// with an older version. At 2,600 changes a day, 64 deltas cover half an hour. A
// peer with an even older version needs a full transfer.
const MaxHistoryDeltas = 64

// maxHistoryChanges is the maximum number of entries in all deltas together. A delta
// may set every customer, and 64 such deltas for 100,000 customers would use over
// 500 MB.
const maxHistoryChanges = 250_000

// History holds the most recent consecutive deltas up to the current version.
type History struct {
	deltas  []Delta
	changes int
}

// add appends the delta of an adopted version. If the delta does not start at the
// newest version of the history, the older deltas are discarded.
func (h *History) add(d Delta) {
	if len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].to != d.from {
		*h = History{}
	}
	h.deltas = append(h.deltas, d)
	h.changes += d.ChangeCount()
	for len(h.deltas) > MaxHistoryDeltas || h.changes > maxHistoryChanges {
		h.changes -= h.deltas[0].ChangeCount()
		h.deltas = h.deltas[1:]
	}
}

// DeltaFrom returns the merged delta from the base version, usually that of a peer,
// to the newest one. It returns false if the history has no delta from that version.
func (h *History) DeltaFrom(base basillift.Version) (Delta, bool) {
	for i, d := range h.deltas {
		if d.from != base {
			continue
		}
		merged, err := Merge(d, h.deltas[i+1:]...)
		return merged, err == nil
	}
	return Delta{}, false
}

// Len returns the number of deltas.
func (h *History) Len() int { return len(h.deltas) }
