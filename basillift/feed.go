package basillift

import (
	"context"
	"time"
)

// FeedAsk asks another daemon for what is new in the registry.
type FeedAsk struct {
	version uint64
	known   uint64
	seen    uint64
	wait    time.Duration
}

// NewFeedAsk returns a question with the held version of the routing table, 0 for none, and how long the other
// daemon may wait for news. All entries are asked for.
func NewFeedAsk(version uint64, wait time.Duration) FeedAsk {
	return FeedAsk{version: version, wait: wait}
}

// Since asks for changes only: all changes up to the revision known are held, and seen is the newest one of an entry.
func (a FeedAsk) Since(known, seen uint64) FeedAsk {
	a.known, a.seen = known, seen
	return a
}

// Version is the held version of the routing table; 0 for none.
func (a FeedAsk) Version() uint64 { return a.version }

// Known is the revision up to which all changes are held; 0 if all entries are asked for.
func (a FeedAsk) Known() uint64 { return a.known }

// Seen is the newest revision of an entry that is held.
func (a FeedAsk) Seen() uint64 { return a.seen }

// Wait is how long the other daemon may wait for news.
func (a FeedAsk) Wait() time.Duration { return a.wait }

// FeedState says what an answer to a FeedAsk is.
type FeedState string

// The states of answers.
const (
	// FeedNews brings what has changed.
	FeedNews FeedState = "news"
	// FeedWhole brings all entries; those that it lacks are gone.
	FeedWhole FeedState = "whole"
	// FeedUnchanged says that nothing has changed.
	FeedUnchanged FeedState = "unchanged"
	// FeedBehind says that the daemon does not know whether there is news.
	FeedBehind FeedState = "behind"
	// FeedFollower says that the daemon follows others itself; the answer names some of them.
	FeedFollower FeedState = "follower"
)

// FeedReply is the answer to a FeedAsk.
type FeedReply struct {
	state    FeedState
	revision uint64
	body     []byte
	readers  []string
}

// NewFeedReply returns an answer. The revision is the one up to which the daemon holds all changes.
func NewFeedReply(s FeedState, revision uint64) FeedReply {
	return FeedReply{state: s, revision: revision}
}

// WithBody adds the encoded entries.
func (r FeedReply) WithBody(body []byte) FeedReply {
	r.body = body
	return r
}

// WithReaders adds the addresses of daemons that read the registry.
func (r FeedReply) WithReaders(addresses []string) FeedReply {
	r.readers = addresses
	return r
}

// State says what the answer is.
func (r FeedReply) State() FeedState { return r.state }

// Revision is the one up to which the other daemon holds all changes.
func (r FeedReply) Revision() uint64 { return r.revision }

// Body holds the encoded entries.
func (r FeedReply) Body() []byte { return r.body }

// Readers are addresses of daemons that read the registry.
func (r FeedReply) Readers() []string { return r.readers }

// Feed hands what is new in the registry to other daemons.
type Feed interface {
	// Answer waits for news until the wait is over or ctx ends.
	Answer(ctx context.Context, a FeedAsk) FeedReply
}

// FeedPeers asks other daemons for what is new in the registry.
type FeedPeers interface {
	// AskFeed asks the daemon at an address (IP:port).
	AskFeed(ctx context.Context, daemon string, a FeedAsk) (FeedReply, error)
}

// Neighbor is another daemon: its address (IP:port) and whether it is in the same failure domain.
type Neighbor struct {
	address string
	near    bool
}

// NewNeighbor returns another daemon.
func NewNeighbor(address string, near bool) Neighbor { return Neighbor{address: address, near: near} }

// Address is the address (IP:port) at which the daemon takes requests of other daemons.
func (n Neighbor) Address() string { return n.address }

// Near reports whether the daemon is in the same failure domain.
func (n Neighbor) Near() bool { return n.near }
