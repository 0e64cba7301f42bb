package blconfig

import (
	"basillift.dev/basillift"
)

// HistorySize is how many deltas a daemon keeps for peers that are behind. At
// 2,600 changes a day, 64 cover the changes of half an hour; a peer that is
// further behind takes a full transfer.
const HistorySize = 64

// historyChanges bounds the entries of all deltas together, because a delta may
// set every customer: 64 of those for 100,000 customers would take over 500 MB.
const historyChanges = 250_000

// History holds the last deltas that led to the version in force, without a gap.
type History struct {
	deltas  []Delta
	changes int
}

// add appends the delta of an adopted version. A delta that does not continue
// the history starts a new one.
func (h *History) add(d Delta) {
	if len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].to != d.from {
		*h = History{}
	}
	h.deltas = append(h.deltas, d)
	h.changes += d.Changes()
	for len(h.deltas) > HistorySize || h.changes > historyChanges {
		h.changes -= h.deltas[0].Changes()
		h.deltas = h.deltas[1:]
	}
}

// DeltaFrom returns the merged delta from the version that a peer holds to the
// newest one. It returns false when the history does not reach back that far.
func (h *History) DeltaFrom(have basillift.Version) (Delta, bool) {
	for i, d := range h.deltas {
		if d.from != have {
			continue
		}
		merged, err := Merge(d, h.deltas[i+1:]...)
		return merged, err == nil
	}
	return Delta{}, false
}

// Len is the number of deltas.
func (h *History) Len() int { return len(h.deltas) }
