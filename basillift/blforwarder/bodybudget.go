package blforwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blpool"
)

const (
	// minBufferedBytes is the part of each body that is held in memory in any case.
	minBufferedBytes = 4 << 10
	// reclaimTimeout is how long a request waits for the memory of the connections that give way to it. Closing them takes
	// some milliseconds, more on a busy machine.
	reclaimTimeout = 100 * time.Millisecond
	// reclaimInterval is the time between two searches for connections that give way, which look at all connections.
	reclaimInterval = 10 * time.Millisecond
	// reclaimShare is the part of the memory that one search frees, and reclaimConnections the number of connections, so that
	// few are needed.
	reclaimShare       = 16
	reclaimConnections = 16
)

// bodyBudget is the memory that all peers of a daemon share: for buffers of connections, headers, bodies of requests and answers
// to them. Without it, targets that send answers without end, or many callers with large or unfinished bodies, would take all
// memory of the VM. It is safe for concurrent use.
type bodyBudget struct {
	limits      blbudget.Limits
	connections *connectionBudget
	used        atomic.Int64
	// refused counts the requests for which there was no memory.
	refused atomic.Int64
	// reclaim closes connections that make no progress and hold n bytes, and returns how many it has closed.
	reclaim func(now time.Time, n int64) int

	mutex       sync.Mutex
	reclaimedAt time.Time
	// reclaimed is set if the last search has closed any connection.
	reclaimed bool
}

func newBodyBudget(limits blbudget.Limits, connections *connectionBudget, reclaim func(time.Time, int64) int) *bodyBudget {
	return &bodyBudget{limits: limits, connections: connections, reclaim: reclaim}
}

// usedBytes returns the number of bytes that are taken, without those for connections as such.
func (b *bodyBudget) usedBytes() int64 { return b.used.Load() }

// total returns the number of bytes that are taken, with those for connections.
func (b *bodyBudget) total() int64 {
	return b.used.Load() + b.connections.peers.Load()*blbudget.ConnectionBytes + b.connections.outgoing.Load()*2*blpool.BufferBytes
}

// add takes n bytes, or returns them if n is negative, for what a connection needs in any case.
func (b *bodyBudget) add(n int) { b.used.Add(int64(n)) }

// take takes n bytes for a request that holds some already. It returns false if the budget has less.
func (b *bodyBudget) take(held, n int64) bool {
	if !b.limits.Fits(blbudget.SizeOf(held+n), b.total(), n) {
		return false
	}
	b.used.Add(n)
	return true
}

// takeOrReclaim is like take, but closes connections that make no progress if there is not enough, and waits for their memory.
func (b *bodyBudget) takeOrReclaim(held, n int64) bool {
	if b.take(held, n) {
		return true
	}
	return b.retryReclaiming(reclaimInterval, max(n, b.limits.PeerBytes()/reclaimShare), &b.refused, func() bool { return b.take(held, n) })
}

// retryReclaiming closes connections that make no progress and hold n bytes, and tries again at an interval until that succeeds. It
// returns false, and counts a refusal, if there are no such connections or they do not end in time.
func (b *bodyBudget) retryReclaiming(interval time.Duration, n int64, refused *atomic.Int64, try func() bool) bool {
	for end := time.Now().Add(reclaimTimeout); ; time.Sleep(interval) {
		if try() {
			return true
		}
		if now := time.Now(); now.After(end) || !b.startReclaim(now, n) {
			refused.Add(1)
			return false
		}
	}
}

// startReclaim closes connections that make no progress, unless that has just been done. It returns false if there were none.
func (b *bodyBudget) startReclaim(now time.Time, n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Sub(b.reclaimedAt) >= reclaimInterval {
		b.reclaimedAt = now
		b.reclaimed = b.reclaim(now, n) > 0
	}
	return b.reclaimed
}

// admitsConnection reports whether there is memory for one more connection.
func (b *bodyBudget) admitsConnection() bool {
	return b.limits.Fits(blbudget.SizeSmall, b.total(), blbudget.ConnectionBytes)
}

// newMemory returns the memory of one request whose header has a number of bytes.
func (b *bodyBudget) newMemory(headerBytes int) *bodyMemory {
	b.add(headerBytes)
	return &bodyMemory{budget: b, taken: int64(headerBytes)}
}

// bodyMemory is what one request has taken of the budget, for its header, its body and the bodies of the answers of all its
// attempts. A nil bodyMemory has no bound.
type bodyMemory struct {
	budget *bodyBudget
	mutex  sync.Mutex
	taken  int64
}

// take takes n bytes until release. It returns false if the budget has less.
func (m *bodyMemory) take(n int) bool { return m == nil || m.takeBy(m.budget.take, int64(n)) }

// takeOrReclaim is like take, but closes connections that make no progress if there is not enough.
func (m *bodyMemory) takeOrReclaim(n int) bool {
	return m == nil || m.takeBy(m.budget.takeOrReclaim, int64(n))
}

func (m *bodyMemory) takeBy(take func(held, n int64) bool, n int64) bool {
	if !take(m.held(), n) {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.taken += n
	return true
}

// held returns the number of bytes that are taken.
func (m *bodyMemory) held() int64 {
	if m == nil {
		return 0
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.taken
}

// readAheadBytes bounds what is held of a body beyond what has been sent on.
func (m *bodyMemory) readAheadBytes() int {
	if m == nil {
		return maxReadAheadBytes
	}
	return int(m.budget.limits.ReadAheadBytes())
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
