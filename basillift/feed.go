package basillift

import (
	"context"
	"time"
)

// FeedRequest asks another daemon for what is new in the registry.
type FeedRequest struct {
	version          uint64
	completeRevision uint64
	newestRevision   uint64
	wait             time.Duration
}

// NewFeedRequest returns a question with the held version of the routing table, 0 for none, and how long the other
// daemon may wait for news. All entries are asked for.
func NewFeedRequest(version uint64, wait time.Duration) FeedRequest {
	return FeedRequest{version: version, wait: wait}
}

// Since asks for changes only: all changes up to the revision known are held, and seen is the newest one of an entry.
func (a FeedRequest) Since(known, seen uint64) FeedRequest {
	a.completeRevision, a.newestRevision = known, seen
	return a
}

// Version is the held version of the routing table; 0 for none.
func (a FeedRequest) Version() uint64 { return a.version }

// CompleteRevision is the revision up to which all changes are held; 0 if all entries are asked for.
func (a FeedRequest) CompleteRevision() uint64 { return a.completeRevision }

// NewestRevision is the newest revision of an entry that is held.
func (a FeedRequest) NewestRevision() uint64 { return a.newestRevision }

// Wait is how long the other daemon may wait for news.
func (a FeedRequest) Wait() time.Duration { return a.wait }

// FeedState says what an answer to a FeedRequest is.
type FeedState string

// The states of answers.
const (
	// FeedChanges brings what has changed.
	FeedChanges FeedState = "news"
	// FeedFull brings all entries; those that it lacks are gone.
	FeedFull FeedState = "whole"
	// FeedUnchanged says that nothing has changed.
	FeedUnchanged FeedState = "unchanged"
	// FeedStale says that the daemon does not know whether there is news.
	FeedStale FeedState = "behind"
	// FeedFollower says that the daemon follows others itself; the answer names some of them.
	FeedFollower FeedState = "follower"
)

// FeedResponse is the answer to a FeedRequest.
type FeedResponse struct {
	state    FeedState
	revision uint64
	body     []byte
	readers  []string
}

// NewFeedResponse returns an answer. The revision is the one up to which the daemon holds all changes.
func NewFeedResponse(s FeedState, revision uint64) FeedResponse {
	return FeedResponse{state: s, revision: revision}
}

// WithBody adds the encoded entries.
func (r FeedResponse) WithBody(body []byte) FeedResponse {
	r.body = body
	return r
}

// WithReaders adds the addresses of daemons that read the registry.
func (r FeedResponse) WithReaders(addresses []string) FeedResponse {
	r.readers = addresses
	return r
}

// State says what the answer is.
func (r FeedResponse) State() FeedState { return r.state }

// Revision is the one up to which the other daemon holds all changes.
func (r FeedResponse) Revision() uint64 { return r.revision }

// Body holds the encoded entries.
func (r FeedResponse) Body() []byte { return r.body }

// Readers are addresses of daemons that read the registry.
func (r FeedResponse) Readers() []string { return r.readers }

// FeedServer hands what is new in the registry to other daemons.
type FeedServer interface {
	// ServeFeed waits for news until the wait is over or ctx ends.
	ServeFeed(ctx context.Context, a FeedRequest) FeedResponse
}

// FeedClient asks other daemons for what is new in the registry.
type FeedClient interface {
	// RequestFeed asks the daemon at an address (IP:port).
	RequestFeed(ctx context.Context, daemon string, a FeedRequest) (FeedResponse, error)
}

// Neighbor is another daemon: its address (IP:port) and whether it is in the same failure domain.
type Neighbor struct {
	address    string
	sameDomain bool
}

// NewNeighbor returns another daemon.
func NewNeighbor(address string, near bool) Neighbor {
	return Neighbor{address: address, sameDomain: near}
}

// Address is the address (IP:port) at which the daemon takes requests of other daemons.
func (n Neighbor) Address() string { return n.address }

// SameDomain reports whether the daemon is in the same failure domain.
func (n Neighbor) SameDomain() bool { return n.sameDomain }
