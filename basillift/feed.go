package basillift

import (
	"context"
	"time"
)

// FeedRequest asks another daemon for changes in the registry.
type FeedRequest struct {
	version          uint64
	completeRevision uint64
	newestRevision   uint64
	wait             time.Duration
}

// NewFeedRequest returns a request for all entries. The version is that of the routing table in force, 0 for none;
// wait is how long the other daemon may wait for changes.
func NewFeedRequest(version uint64, wait time.Duration) FeedRequest {
	return FeedRequest{version: version, wait: wait}
}

// Since returns a copy that asks for changes only. All changes up to completeRevision are known to the sender, and
// newestRevision is the newest revision of any of its entries.
func (r FeedRequest) Since(completeRevision, newestRevision uint64) FeedRequest {
	r.completeRevision, r.newestRevision = completeRevision, newestRevision
	return r
}

// Version is the held version of the routing table; 0 for none.
func (r FeedRequest) Version() uint64 { return r.version }

// CompleteRevision is the revision up to which all changes are held; 0 if all entries are asked for.
func (r FeedRequest) CompleteRevision() uint64 { return r.completeRevision }

// NewestRevision is the newest revision of an entry that is held.
func (r FeedRequest) NewestRevision() uint64 { return r.newestRevision }

// Wait is how long the other daemon may wait for changes.
func (r FeedRequest) Wait() time.Duration { return r.wait }

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
	// FeedStale says that the daemon does not know whether there are changes.
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

// FeedServer serves changes in the registry to other daemons.
type FeedServer interface {
	// ServeFeed waits for changes until the wait is over or ctx ends.
	ServeFeed(ctx context.Context, r FeedRequest) FeedResponse
}

// FeedClient asks other daemons for changes in the registry.
type FeedClient interface {
	// RequestFeed asks the daemon at an address (IP:port).
	RequestFeed(ctx context.Context, address string, r FeedRequest) (FeedResponse, error)
}

// Neighbor is another daemon: its address (IP:port) and whether it is in the same failure domain.
type Neighbor struct {
	address    string
	sameDomain bool
}

// NewNeighbor returns another daemon.
func NewNeighbor(address string, sameDomain bool) Neighbor {
	return Neighbor{address: address, sameDomain: sameDomain}
}

// Address is the address (IP:port) at which the daemon takes requests of other daemons.
func (n Neighbor) Address() string { return n.address }

// SameDomain reports whether the daemon is in the same failure domain.
func (n Neighbor) SameDomain() bool { return n.sameDomain }
