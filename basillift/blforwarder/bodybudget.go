package blforwarder

import (
	"sync"
	"sync/atomic"
)

const (
	// maxBufferedTotal bounds the memory for the bodies of all requests of a daemon, and for the answers to them. Above it bodies
	// are streamed, as those above maxBufferedBytes always are.
	maxBufferedTotal = 48 << 20
	// minBufferedBytes is the part of each body that is held in memory in any case.
	minBufferedBytes = 4 << 10
)

// bodyBudget is the memory for bodies that all requests of a daemon share. Without it, targets that send answers without end, or
// many callers with large bodies, would take all memory of the VM. It is safe for concurrent use.
type bodyBudget struct{ used atomic.Int64 }

// usedBytes returns the number of bytes that are taken.
func (b *bodyBudget) usedBytes() int64 { return b.used.Load() }

func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) <= maxBufferedTotal {
		return true
	}
	b.used.Add(-n)
	return false
}

// newMemory returns the memory for the bodies of one request.
func (b *bodyBudget) newMemory() *bodyMemory { return &bodyMemory{budget: b} }

// bodyMemory is what one request has taken of the budget, for its own body and those of the answers of all its attempts. A nil
// bodyMemory has no bound.
type bodyMemory struct {
	budget *bodyBudget
	mutex  sync.Mutex
	taken  int64
}

// take takes n bytes until release. It returns false if the budget has less.
func (m *bodyMemory) take(n int) bool {
	if m == nil {
		return true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.budget.take(int64(n)) {
		return false
	}
	m.taken += int64(n)
	return true
}

// release returns all that was taken. It must be called when the request is answered.
func (m *bodyMemory) release() {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.used.Add(-m.taken)
	m.taken = 0
}
