package blconfig

import (
	"sync/atomic"

	"basillift.dev/basillift"
)

// Store gives the snapshot in force to any number of readers without a lock. It
// implements basillift.ConfigurationSource.
type Store struct {
	current atomic.Pointer[Snapshot]
}

var _ basillift.ConfigurationSource = (*Store)(nil)

// NewStore returns a store without a snapshot.
func NewStore() *Store { return &Store{} }

// Current returns the configuration in force, or false until there is a first one.
func (s *Store) Current() (basillift.Configuration, bool) {
	snapshot := s.current.Load()
	if snapshot == nil {
		return nil, false
	}
	return snapshot, true
}

// Snapshot returns the snapshot in force, or nil.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// Set puts a snapshot in force. It refuses one that is older than the current
// one and reports false, so that no order of calls moves readers back.
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
