package blconfig

import (
	"fmt"
	"time"

	"basillift.dev/basillift"
)

// Decision is the result of comparing a version with the current one.
type Decision string

// Decisions of a Holder.
const (
	// DecisionAdopt means that the version was adopted and is now the current one.
	DecisionAdopt Decision = "adopt"
	// DecisionOlder means that the current version is newer.
	DecisionOlder Decision = "older"
	// DecisionEqual means that version and content equal the current ones.
	DecisionEqual Decision = "equal"
	// DecisionFetch means that the version is newer and its content must be fetched.
	DecisionFetch Decision = "fetch"
	// DecisionConflict means that the current snapshot has the same version but other
	// content. The daemon keeps its snapshot, fetches the full version from a reader of
	// the platform and calls AdoptFromReader.
	DecisionConflict Decision = "conflict"
)

// Conflict describes a version that was observed with two different contents.
type Conflict struct {
	version basillift.Version
	digest  uint64
	since   time.Time
}

// Version returns the version that has different contents.
func (c Conflict) Version() basillift.Version { return c.version }

// Digest returns the most recently observed digest that differs from the holder's.
func (c Conflict) Digest() uint64 { return c.digest }

// Since returns when a different digest was first observed.
func (c Conflict) Since() time.Time { return c.since }

// Holder holds the current snapshot of a daemon and decides whether to replace it.
// It never returns to an older version. It is not safe for concurrent use; one
// control loop owns it.
type Holder struct {
	current  *Snapshot
	since    time.Time
	history  History
	conflict *Conflict
}

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder { return &Holder{} }

// Current returns the current snapshot, or nil if there is none yet.
func (h *Holder) Current() *Snapshot { return h.current }

// Version returns the current version, or the zero version if there is none yet.
func (h *Holder) Version() basillift.Version {
	if h.current == nil {
		return basillift.Version{}
	}
	return h.current.version
}

// Since returns when the current snapshot was adopted.
func (h *Holder) Since() time.Time { return h.since }

// History returns the deltas that led to the current version.
func (h *Holder) History() *History { return &h.history }

// Conflict returns the unresolved conflict about the current version, or false if
// there is none.
func (h *Holder) Conflict() (Conflict, bool) {
	if h.conflict == nil {
		return Conflict{}, false
	}
	return *h.conflict, true
}

// Observe compares a version with the current one when only its number and digest
// are known, for example from a probe. It records a conflict but adopts nothing.
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

// AdoptIfNewer adopts the snapshot if its version is newer than the current one. It never
// returns DecisionFetch.
func (h *Holder) AdoptIfNewer(now time.Time, s *Snapshot) Decision {
	decision := h.Observe(now, s.version, s.digest)
	if decision != DecisionFetch {
		return decision
	}
	h.adopt(now, s, Diff(h.current, s))
	return DecisionAdopt
}

// ApplyDeltaIfNewer applies the delta to the current snapshot and adopts the result if its
// version is newer. An error means that the delta does not apply to the current
// snapshot, so the daemon needs a full transfer.
func (h *Holder) ApplyDeltaIfNewer(now time.Time, d Delta) (Decision, error) {
	decision := h.Observe(now, d.to, d.digest)
	if decision != DecisionFetch {
		return decision, nil
	}
	base := h.current
	if base == nil {
		base = emptySnapshot()
	}
	next, err := base.Apply(d)
	if err != nil {
		return DecisionFetch, fmt.Errorf("adopt delta: %w", err)
	}
	h.adopt(now, next, d)
	return DecisionAdopt, nil
}

// AdoptFromReader handles a full transfer from a reader of the platform. It differs from
// AdoptIfNewer only during a conflict about the same version: the reader's content then
// replaces the current content, and the history is cleared because its deltas lead
// to the replaced content.
func (h *Holder) AdoptFromReader(now time.Time, s *Snapshot) Decision {
	if h.conflict == nil || s.version != h.current.version {
		return h.AdoptIfNewer(now, s)
	}
	h.conflict = nil
	if s.digest == h.current.digest {
		return DecisionEqual
	}
	h.history = History{}
	h.current, h.since = s, now
	return DecisionAdopt
}

// adopt makes s the current snapshot. It stores no delta for the first version,
// because that delta would hold the whole configuration, for which a full transfer
// needs fewer bytes.
func (h *Holder) adopt(now time.Time, s *Snapshot, d Delta) {
	if h.current != nil {
		h.history.add(d)
	}
	h.current, h.since, h.conflict = s, now, nil
}
