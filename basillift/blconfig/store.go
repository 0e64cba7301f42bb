package blconfig

import (
	"sync/atomic"

	"basillift.dev/basillift"
)

// Store holds the current snapshot for concurrent, lock-free reads. It implements
// basillift.ConfigurationSource.
type Store struct {
	current atomic.Pointer[Snapshot]
}

var _ basillift.ConfigurationSource = (*Store)(nil)

// NewStore returns a store without a snapshot.
func NewStore() *Store { return &Store{} }

// Current returns the current configuration, or false if none was set yet.
func (s *Store) Current() (basillift.Configuration, bool) {
	snapshot := s.current.Load()
	if snapshot == nil {
		return nil, false
	}
	return snapshot, true
}

// Snapshot returns the current snapshot, or nil if none was set yet.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// Set makes next the current snapshot. If next is older than the current one, Set
// returns false and changes nothing, so that readers never return to an older
// version, whatever the order of calls.
func (s *Store) Set(next *Snapshot) bool {
	for {
		current := s.current.Load()
		if current != nil && current.version.NewerThan(next.version) {
			return false
		}
		if s.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
