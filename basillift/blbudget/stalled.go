package blbudget

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is what a connection waits for.
type Waiting string

// What a connection may wait for.
const (
	// WaitingNothing is a connection that is idle between two requests or whose request is being served.
	WaitingNothing Waiting = ""
	// WaitingRequest is the rest of a request that has begun to arrive.
	WaitingRequest Waiting = "request"
	// WaitingAnswer is a peer that reads its answer.
	WaitingAnswer Waiting = "answer"
	// WaitingFirst is the first byte on a connection.
	WaitingFirst Waiting = "first"
)

const (
	// minRequestStall is how long a request must have made no progress before it gives way. A lost packet is sent again
	// after 200 ms.
	minRequestStall = 250 * time.Millisecond
	// minAnswerStall is the same for an answer that is not read, and for a connection on which nothing has arrived. An answer
	// that is ready is worth more than a request that has not arrived.
	minAnswerStall = time.Second
)

// Peer is a connection as far as it matters for who gives way.
type Peer struct {
	waiting Waiting
	since   time.Time
	bytes   int64
}

// NewPeer returns a connection that has made no progress since a time and whose requests hold a number of bytes.
func NewPeer(w Waiting, since time.Time, bytes int64) Peer {
	return Peer{waiting: w, since: since, bytes: bytes}
}

// Waiting returns what the connection waits for.
func (p Peer) Waiting() Waiting { return p.waiting }

// stalled reports whether the connection may be closed.
func (p Peer) stalled(now time.Time) bool {
	switch p.waiting {
	case WaitingRequest:
		return now.Sub(p.since) >= minRequestStall
	case WaitingAnswer, WaitingFirst:
		return now.Sub(p.since) >= minAnswerStall
	default:
		return false
	}
}

// order ranks what a connection waits for: unfinished requests give way before answers that are not read.
func (w Waiting) order() int {
	switch w {
	case WaitingRequest:
		return 0
	case WaitingFirst:
		return 1
	default:
		return 2
	}
}

// Stalled returns the indices of the connections that give way so that at least n bytes are freed, or of all that may if they
// hold less. With n = 0 it is one connection. Those that have made no progress for longest come first; connections that make
// progress are never among them.
func Stalled(now time.Time, peers []Peer, n int64) []int {
	var candidates []int
	for i, p := range peers {
		if p.stalled(now) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		x, y := peers[a], peers[b]
		return cmp.Or(cmp.Compare(x.waiting.order(), y.waiting.order()), x.since.Compare(y.since), cmp.Compare(a, b))
	})
	freed := int64(0)
	for i, c := range candidates {
		if i > 0 && freed >= n {
			return candidates[:i]
		}
		freed += peers[c].bytes
	}
	return candidates
}
