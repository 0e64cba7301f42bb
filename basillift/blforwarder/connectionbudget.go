package blforwarder

import (
	"sync"
	"sync/atomic"

	"basillift.dev/basillift/blbudget"
)

// connectionBudget counts the connections of a daemon, and bounds them by its file descriptors. It is safe for concurrent use and
// implements blpool.Gate for connections to targets and other daemons.
type connectionBudget struct {
	limits blbudget.Limits

	mutex   sync.Mutex
	byClass map[blbudget.Class]int
	all     int
	// peers and outgoing are how many connections are open that were accepted, and that this daemon has opened.
	peers, outgoing atomic.Int64
	// refused counts the accepted connections that were closed at once.
	refused atomic.Int64
}

func newConnectionBudget(limits blbudget.Limits) *connectionBudget {
	return &connectionBudget{limits: limits, byClass: make(map[blbudget.Class]int)}
}

// open counts a new connection. It returns false if there may be no more of its class.
func (c *connectionBudget) open(class blbudget.Class) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.limits.Admits(class, c.byClass[class], c.all) {
		return false
	}
	c.count(class, 1)
	return true
}

// close counts a connection that was closed.
func (c *connectionBudget) close(class blbudget.Class) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count(class, -1)
}

func (c *connectionBudget) count(class blbudget.Class, n int) {
	c.byClass[class] += n
	c.all += n
	if class == blbudget.ClassOutgoing {
		c.outgoing.Add(int64(n))
	} else {
		c.peers.Add(int64(n))
	}
}

// Acquire implements blpool.Gate.
func (c *connectionBudget) Acquire() bool { return c.open(blbudget.ClassOutgoing) }

// Release implements blpool.Gate.
func (c *connectionBudget) Release() { c.close(blbudget.ClassOutgoing) }
