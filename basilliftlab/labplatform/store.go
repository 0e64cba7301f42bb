package labplatform

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// MaximumValue is the largest value in bytes that the platform holds under a key.
const MaximumValue = 1 << 20

// maximumHistory bounds how many earlier values of a key stay available for the
// stale and older faults.
const maximumHistory = 64

// Errors that callers compare with errors.Is.
var (
	// ErrTooLarge means that a value is above MaximumValue.
	ErrTooLarge = eris.New("value is larger than 1 MB")
	// ErrRevision means that a revision lies beyond the store's.
	ErrRevision = eris.New("revision is beyond the store's")
)

// entry is a value together with the revision that wrote it.
type entry struct {
	mod  uint64
	data []byte
}

// Store holds the values and the one revision over all keys. It is not safe for
// concurrent use; its Server guards it.
type Store struct {
	revision uint64
	entries  map[string][]entry
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store { return &Store{entries: map[string][]entry{}} }

// Revision is the revision of the last write.
func (s *Store) Revision() uint64 { return s.revision }

// Put writes a value and returns its revision. The store keeps data.
func (s *Store) Put(key string, data []byte) (uint64, error) {
	if len(data) > MaximumValue {
		return 0, fmt.Errorf("put %s of %d bytes: %w", key, len(data), ErrTooLarge)
	}
	s.revision++
	history := append(s.entries[key], entry{mod: s.revision, data: data})
	if len(history) > maximumHistory {
		history = slices.Clone(history[1:])
	}
	s.entries[key] = history
	return s.revision, nil
}

// At returns the value that a key had at a revision. Mod is 0 and data nil for
// a key that had none.
func (s *Store) At(key string, revision uint64) (mod uint64, data []byte) {
	for _, e := range slices.Backward(s.entries[key]) {
		if e.mod <= revision {
			return e.mod, e.data
		}
	}
	return 0, nil
}

// Restore sets the store back to what it held at a revision, as a restore from
// a backup does: the next write reuses the revision that follows.
func (s *Store) Restore(revision uint64) error {
	if revision > s.revision {
		return fmt.Errorf("restore to %d while at %d: %w", revision, s.revision, ErrRevision)
	}
	for k, h := range s.entries {
		s.entries[k] = slices.DeleteFunc(h, func(e entry) bool { return e.mod > revision })
	}
	s.revision = revision
	return nil
}
