package blfeed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
)

const (
	// avoidDuration is how long a reader that failed or was behind is not asked again: an outage of one daemon lasts
	// some seconds.
	avoidDuration = 2 * time.Second
	// followerStateTTL is how long a daemon is known as a follower. Its role depends on the speed of its link, which
	// changes only with a restart.
	followerStateTTL = 30 * time.Second
	// maxNamedReaders is how many readers a response names at most.
	maxNamedReaders = 3
)

type peerState string

const (
	peerUnknown  peerState = ""
	peerReader   peerState = "reader"
	peerFollower peerState = "follower"
	peerAvoided  peerState = "avoided"
)

// peer is what is known about another daemon. The state peerReader does not expire. Any other state is valid until
// expires; from then on the daemon counts as a reader if isReader is set, and as unknown otherwise.
type peer struct {
	state    peerState
	isReader bool
	expires  time.Time
}

// ReaderSelector decides which daemon to ask for changes. It prefers known readers in the own failure domain, then
// other known readers; without one it returns daemons that may be readers. Hashing gives each follower its own order
// of the readers, which spreads the followers over them. ReaderSelector also implements basillift.FeedServer for a
// follower: its responses name the readers that it knows. It is safe for concurrent use.
type ReaderSelector struct {
	ownAddress string
	mutex      sync.Mutex
	peers      map[string]peer
}

// NewReaderSelector returns a selector for the daemon at an address (IP:port).
func NewReaderSelector(ownAddress string) *ReaderSelector {
	return &ReaderSelector{ownAddress: ownAddress, peers: make(map[string]peer)}
}

// Choose returns the address of the reader that comparePreference sorts last; false if none is known. Readers in the
// own failure domain thus come before all others.
func (r *ReaderSelector) Choose(now time.Time, neighbors []basillift.Neighbor) (string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	readers := r.inState(now, peerReader, neighbors)
	if len(readers) == 0 {
		return "", false
	}
	return slices.MaxFunc(readers, r.comparePreference).Address(), true
}

// Candidates returns the addresses of daemons that may be readers, at most count of them. They are those that
// comparePreference sorts first, the reverse of the order of Choose: daemons of other failure domains come first.
func (r *ReaderSelector) Candidates(now time.Time, neighbors []basillift.Neighbor, count int) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := r.inState(now, peerUnknown, neighbors)
	slices.SortFunc(candidates, r.comparePreference)
	addresses := make([]string, 0, count)
	for _, n := range candidates[:min(len(candidates), count)] {
		addresses = append(addresses, n.Address())
	}
	return addresses
}

// inState returns the other daemons that are in a state.
func (r *ReaderSelector) inState(now time.Time, state peerState, neighbors []basillift.Neighbor) []basillift.Neighbor {
	return slices.DeleteFunc(slices.Clone(neighbors), func(n basillift.Neighbor) bool {
		return n.Address() == r.ownAddress || r.stateOf(now, n.Address()) != state
	})
}

// comparePreference sorts the daemon that Choose prefers last: those of the own failure domain come after all others,
// and within both groups the order is that of rising hashWeight.
func (r *ReaderSelector) comparePreference(a, b basillift.Neighbor) int {
	if a.SameDomain() != b.SameDomain() {
		if a.SameDomain() {
			return 1
		}
		return -1
	}
	return cmp.Compare(r.hashWeight(a), r.hashWeight(b))
}

func (r *ReaderSelector) stateOf(now time.Time, address string) peerState {
	p := r.peers[address]
	switch {
	case p.state == peerReader, now.Before(p.expires):
		return p.state
	case p.isReader:
		return peerReader
	default:
		return peerUnknown
	}
}

// hashWeight is the weight of a daemon in rendezvous hashing. It spreads the followers over the readers.
func (r *ReaderSelector) hashWeight(n basillift.Neighbor) uint64 {
	return xxhash.Sum64String(r.ownAddress + " " + n.Address())
}

// Replied records the state of a daemon from its response, and the readers that the response names.
func (r *ReaderSelector) Replied(now time.Time, address string, response basillift.FeedResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch response.State() {
	case basillift.FeedChanges, basillift.FeedFull, basillift.FeedUnchanged:
		r.peers[address] = peer{state: peerReader, isReader: true}
	case basillift.FeedFollower:
		r.peers[address] = peer{state: peerFollower, expires: now.Add(followerStateTTL)}
	case basillift.FeedStale:
		r.peers[address] = peer{state: peerAvoided, isReader: true, expires: now.Add(avoidDuration)}
	}
	for _, named := range response.Readers() {
		if r.stateOf(now, named) == peerUnknown {
			r.peers[named] = peer{state: peerReader, isReader: true}
		}
	}
}

// Failed records that a daemon did not answer, or that other daemons have a newer revision.
func (r *ReaderSelector) Failed(now time.Time, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers[address] = peer{state: peerAvoided, isReader: r.peers[address].isReader, expires: now.Add(avoidDuration)}
}

// Retain removes the state of daemons that are no longer neighbors.
func (r *ReaderSelector) Retain(neighbors []basillift.Neighbor) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	present := make(map[string]bool, len(neighbors))
	for _, n := range neighbors {
		present[n.Address()] = true
	}
	for address := range r.peers {
		if !present[address] {
			delete(r.peers, address)
		}
	}
}

// knownReaders returns the readers to name in a response, ordered by address.
func (r *ReaderSelector) knownReaders() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []string
	for address, p := range r.peers {
		if p.state == peerReader {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), maxNamedReaders)]
}

// ServeFeed implements basillift.FeedServer. It returns at once.
func (r *ReaderSelector) ServeFeed(context.Context, basillift.FeedRequest) basillift.FeedResponse {
	return basillift.NewFeedResponse(basillift.FeedFollower, 0).WithReaders(r.knownReaders())
}
