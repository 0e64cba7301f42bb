package labplatform

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value that the platform stores under a key.
const MaxValueBytes = 1 << 20

// maxValuesPerKey bounds how many values of a key are kept, including the current one.
// The stale and older faults return the earlier ones.
const maxValuesPerKey = 64

// Errors that callers compare with errors.Is.
var (
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = eris.New("value is larger than 1 MB")
	// ErrRevision means that a revision is higher than the store's.
	ErrRevision = eris.New("revision is higher than the store's")
)

// entry is a value and the revision of the write that created it.
type entry struct {
	modRevision uint64
	data        []byte
}

// Store holds the values and the single revision counter of all keys. It is not safe for
// concurrent use; Platform guards it with its mutex.
type Store struct {
	revision uint64
	entries  map[string][]entry
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store { return &Store{entries: map[string][]entry{}} }

// Revision is the revision of the last write; 0 for an empty store.
func (s *Store) Revision() uint64 { return s.revision }

// Put writes a value and returns its revision. The store keeps a reference to data. A
// value above MaxValueBytes returns ErrTooLarge.
func (s *Store) Put(key string, data []byte) (uint64, error) {
	if len(data) > MaxValueBytes {
		return 0, fmt.Errorf("put %s of %d bytes: %w", key, len(data), ErrTooLarge)
	}
	s.revision++
	history := append(s.entries[key], entry{modRevision: s.revision, data: data})
	if len(history) > maxValuesPerKey {
		history = slices.Clone(history[1:])
	}
	s.entries[key] = history
	return s.revision, nil
}

// At returns the value that a key had at a revision, and the revision of the write that
// created it. For a key that had no value then, these are nil and 0.
func (s *Store) At(key string, revision uint64) (modRevision uint64, data []byte) {
	for _, e := range slices.Backward(s.entries[key]) {
		if e.modRevision <= revision {
			return e.modRevision, e.data
		}
	}
	return 0, nil
}

// Restore sets the store back to an earlier revision, like a restore from a backup: later
// values are dropped, and the next writes use their revisions again. A revision higher
// than the store's returns ErrRevision.
func (s *Store) Restore(revision uint64) error {
	if revision > s.revision {
		return fmt.Errorf("restore revision %d of a store at revision %d: %w", revision, s.revision, ErrRevision)
	}
	for k, h := range s.entries {
		s.entries[k] = slices.DeleteFunc(h, func(e entry) bool { return e.modRevision > revision })
	}
	s.revision = revision
	return nil
}
