package basillift

import (
	"context"
	"time"
)

// FeedRequest asks another daemon for changes in the registry.
type FeedRequest struct {
	version          uint64
	completeRevision Revision
	newestRevision   Revision
	wait             time.Duration
}

// NewFeedRequest returns a request for all entries. version is that of the sender's routing table in force, 0 for none.
// wait is how long the other daemon may wait for changes.
func NewFeedRequest(version uint64, wait time.Duration) FeedRequest {
	return FeedRequest{version: version, wait: wait}
}

// Since returns a copy that asks for changes only. All changes up to completeRevision are known to the sender, and
// newestRevision is the newest revision of any of its entries.
func (r FeedRequest) Since(completeRevision, newestRevision Revision) FeedRequest {
	r.completeRevision, r.newestRevision = completeRevision, newestRevision
	return r
}

// Version is the version of the sender's routing table in force; 0 for none.
func (r FeedRequest) Version() uint64 { return r.version }

// CompleteRevision is the revision up to which the sender knows all changes; 0 if it asks for all entries.
func (r FeedRequest) CompleteRevision() Revision { return r.completeRevision }

// NewestRevision is the newest revision of any of the sender's entries.
func (r FeedRequest) NewestRevision() Revision { return r.newestRevision }

// Wait is how long the other daemon may wait for changes.
func (r FeedRequest) Wait() time.Duration { return r.wait }

// FeedState says what a FeedResponse contains.
type FeedState string

// The states of responses.
const (
	// FeedChanges means that the response contains the changes.
	FeedChanges FeedState = "news"
	// FeedFull means that the response contains all entries; any other entry no longer exists.
	FeedFull FeedState = "whole"
	// FeedUnchanged means that nothing has changed.
	FeedUnchanged FeedState = "unchanged"
	// FeedStale means that the daemon does not know whether there are changes.
	FeedStale FeedState = "behind"
	// FeedFollower means that the daemon is a follower itself; the response names readers that it knows.
	FeedFollower FeedState = "follower"
)

// FeedResponse is the response to a FeedRequest.
type FeedResponse struct {
	state    FeedState
	revision Revision
	body     []byte
	readers  []string
}

// NewFeedResponse returns a response without entries. The daemon knows all changes up to the revision.
func NewFeedResponse(s FeedState, revision Revision) FeedResponse {
	return FeedResponse{state: s, revision: revision}
}

// WithBody returns a copy with the encoded entries.
func (r FeedResponse) WithBody(body []byte) FeedResponse {
	r.body = body
	return r
}

// WithReaders returns a copy with the addresses (IP:port) of daemons that read the registry.
func (r FeedResponse) WithReaders(addresses []string) FeedResponse {
	r.readers = addresses
	return r
}

// State says what the response contains.
func (r FeedResponse) State() FeedState { return r.state }

// Revision is the registry's revision up to which the other daemon knows all changes.
func (r FeedResponse) Revision() Revision { return r.revision }

// Body is the encoded entries as JSON; package blfeed has the format.
func (r FeedResponse) Body() []byte { return r.body }

// Readers are the addresses (IP:port) of daemons that read the registry.
func (r FeedResponse) Readers() []string { return r.readers }

// FeedServer serves changes in the registry to other daemons.
type FeedServer interface {
	// ServeFeed waits for changes for as long as the request allows, or until ctx ends.
	ServeFeed(ctx context.Context, r FeedRequest) FeedResponse
}

// FeedClient asks other daemons for changes in the registry.
type FeedClient interface {
	// RequestFeed asks the daemon at an address (IP:port).
	RequestFeed(ctx context.Context, address string, r FeedRequest) (FeedResponse, error)
}

// Neighbor is another daemon from which the feed can be requested.
type Neighbor struct {
	address    string
	sameDomain bool
}

// NewNeighbor returns the daemon at an address (IP:port).
func NewNeighbor(address string, sameDomain bool) Neighbor {
	return Neighbor{address: address, sameDomain: sameDomain}
}

// Address is the address (IP:port) at which the daemon takes requests of other daemons.
func (n Neighbor) Address() string { return n.address }

// SameDomain reports whether the daemon is in the same failure domain.
func (n Neighbor) SameDomain() bool { return n.sameDomain }
