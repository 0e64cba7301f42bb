package blforwarder

import (
	"sync/atomic"
	"time"

	"basillift.dev/basillift/blbudget"
)

// refusedSlotPeriod is how long a slot counts as wanted after a request was refused one.
const refusedSlotPeriod = time.Second

// peerBudget bounds what the peers of a daemon can make it use, memory and connections. It is shared by both servers of the daemon.
type peerBudget struct {
	limits      blbudget.Limits
	memory      *bodyBudget
	connections *connectionBudget
	servers     []*server
	// closed counts the connections that made no progress and gave way, and stalled the requests that did not arrive in time.
	closed, stalled atomic.Int64
	// refusedSlotAt is when a request was last refused a slot of the target, in Unix nanoseconds.
	refusedSlotAt atomic.Int64
}

func newPeerBudget(limits blbudget.Limits) *peerBudget {
	p := &peerBudget{limits: limits, connections: newConnectionBudget(limits)}
	p.memory = newBodyBudget(limits, p.connections, p.closeStalled)
	return p
}

// closeStalled closes connections that make no progress and hold n bytes, at least one if there is any, and returns how many it
// has closed.
func (p *peerBudget) closeStalled(now time.Time, n int64) int {
	var sessions []*session
	var peers []blbudget.Peer
	for _, s := range p.servers {
		sessions = s.appendSessions(sessions)
	}
	for _, s := range sessions {
		peers = append(peers, s.progress.peer())
	}
	stalled := blbudget.Stalled(now, peers, n)
	for _, i := range stalled {
		sessions[i].shed(peers[i].Waiting())
	}
	p.closed.Add(int64(len(stalled)))
	return len(stalled)
}

// recordRefusedSlot records that a request was refused a slot of the target.
func (p *peerBudget) recordRefusedSlot(now time.Time) { p.refusedSlotAt.Store(now.UnixNano()) }

// refusedSlot reports whether a request was refused a slot lately. The queue refuses a request at once that it does not expect to
// start in time, so bodies that hold all slots without progress may have no request waiting behind them.
func (p *peerBudget) refusedSlot(now time.Time) bool {
	return now.Sub(time.Unix(0, p.refusedSlotAt.Load())) < refusedSlotPeriod
}

// exhausted reports whether there is no memory left for a further small request.
func (p *peerBudget) exhausted() bool {
	return !p.limits.Fits(blbudget.SizeSmall, p.memory.total(), blbudget.SmallBytes)
}

// admit counts a new connection. If there are too many, one that makes no progress gives way to it. It returns false if there
// is none, or if it does not end in time.
func (p *peerBudget) admit(class blbudget.Class) bool {
	if p.open(class) {
		return true
	}
	return p.memory.retryReclaiming(time.Millisecond, reclaimConnections*blbudget.ConnectionBytes, &p.connections.refused, func() bool { return p.open(class) })
}

// open counts a new connection if there are descriptors and memory for it. Connections of other daemons are admitted without
// regard to memory; what they send is bounded.
func (p *peerBudget) open(class blbudget.Class) bool {
	return (class != blbudget.ClassCaller || p.memory.admitsConnection()) && p.connections.open(class)
}
