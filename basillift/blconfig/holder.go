package blconfig

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// Decision says what a daemon does with a version.
type Decision string

// The decisions.
const (
	// DecisionAdopt means that the version is in force from now on.
	DecisionAdopt Decision = "adopt"
	// DecisionOlder means that a newer version is in force.
	DecisionOlder Decision = "older"
	// DecisionEqual means that the same version with the same content is in force.
	DecisionEqual Decision = "equal"
	// DecisionFetch means that the version is newer but its content is not known yet.
	DecisionFetch Decision = "fetch"
	// DecisionConflict means that the same version with other content is in force. The
	// daemon keeps what it holds, fetches the full version from a reader of the platform
	// and calls Settle.
	DecisionConflict Decision = "conflict"
)

// Conflict is a version that was seen with two contents.
type Conflict struct {
	version basillift.Version
	digest  uint64
	since   time.Time
}

// Version is the version concerned.
func (c Conflict) Version() basillift.Version { return c.version }

// Digest is the last other digest that was seen.
func (c Conflict) Digest() uint64 { return c.digest }

// Since is when the first other digest was seen.
func (c Conflict) Since() time.Time { return c.since }

// Holder decides which version a daemon holds. It never goes back to an older
// version. It is not safe for concurrent use: one control loop owns it.
type Holder struct {
	current  *Snapshot
	since    time.Time
	history  History
	conflict *Conflict
}

// NewHolder returns a holder of nothing.
func NewHolder() *Holder { return &Holder{} }

// Current is the snapshot in force, or nil.
func (h *Holder) Current() *Snapshot { return h.current }

// Version is the version in force, or the zero version.
func (h *Holder) Version() basillift.Version {
	if h.current == nil {
		return basillift.Version{}
	}
	return h.current.version
}

// Since is when the version in force was adopted.
func (h *Holder) Since() time.Time { return h.since }

// History holds the deltas that led to the version in force.
func (h *Holder) History() *History { return &h.history }

// Conflict returns the open conflict about the version in force.
func (h *Holder) Conflict() (Conflict, bool) {
	if h.conflict == nil {
		return Conflict{}, false
	}
	return *h.conflict, true
}

// Observe decides about a version of which only number and digest are known,
// such as from a probe.
func (h *Holder) Observe(now time.Time, v basillift.Version, digest uint64) Decision {
	if h.current == nil {
		if v.IsZero() {
			return DecisionEqual
		}
		return DecisionFetch
	}
	switch {
	case v.NewerThan(h.current.version):
		return DecisionFetch
	case h.current.version.NewerThan(v):
		return DecisionOlder
	case digest == h.current.digest:
		return DecisionEqual
	}
	if h.conflict == nil {
		h.conflict = &Conflict{since: now}
	}
	h.conflict.version, h.conflict.digest = v, digest
	return DecisionConflict
}

// Offer decides about a whole snapshot and holds it when the decision is DecisionAdopt.
func (h *Holder) Offer(now time.Time, s *Snapshot) Decision {
	decision := h.Observe(now, s.version, s.digest)
	if decision != DecisionFetch {
		return decision
	}
	h.adopt(now, s, Diff(h.current, s))
	return DecisionAdopt
}

// OfferDelta decides about a delta and holds its result when the decision is
// DecisionAdopt. An error means that the delta cannot lead from the version in
// force to its result, so the daemon needs a full transfer.
func (h *Holder) OfferDelta(now time.Time, d Delta) (Decision, error) {
	decision := h.Observe(now, d.to, d.digest)
	if decision != DecisionFetch {
		return decision, nil
	}
	base := h.current
	if base == nil {
		base = empty()
	}
	next, err := base.Apply(d)
	if err != nil {
		return DecisionFetch, fmt.Errorf("offer delta: %w", err)
	}
	h.adopt(now, next, d)
	return DecisionAdopt, nil
}

// Settle decides about a full transfer from a reader of the platform. It differs
// from Offer only in an open conflict: there the reader's content replaces other
// content of the same version, and the history, which leads to the replaced
// content, starts anew.
func (h *Holder) Settle(now time.Time, s *Snapshot) Decision {
	if h.conflict == nil || s.version != h.current.version {
		return h.Offer(now, s)
	}
	h.conflict = nil
	if s.digest == h.current.digest {
		return DecisionEqual
	}
	h.history = History{}
	h.current, h.since = s, now
	return DecisionAdopt
}

// adopt keeps no delta for the first version: it would be the whole
// configuration, which a full transfer carries in fewer bytes.
func (h *Holder) adopt(now time.Time, s *Snapshot, d Delta) {
	if h.current != nil {
		h.history.add(d)
	}
	h.current, h.since, h.conflict = s, now, nil
}
