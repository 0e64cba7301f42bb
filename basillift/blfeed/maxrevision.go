package blfeed

import (
	"sync/atomic"

	"basillift.dev/basillift"
)

// maxRevision holds the newest of several revisions. Its zero value holds 0. It is safe for concurrent use.
type maxRevision struct{ value atomic.Uint64 }

func (m *maxRevision) load() basillift.Revision { return basillift.Revision(m.value.Load()) }

// raise replaces the revision by a newer one.
func (m *maxRevision) raise(revision basillift.Revision) {
	for {
		held := m.value.Load()
		if uint64(revision) <= held || m.value.CompareAndSwap(held, uint64(revision)) {
			return
		}
	}
}
