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
	// avoidFor is how long a reader that failed or was behind is not asked: an outage of one daemon lasts some seconds.
	avoidFor = 2 * time.Second
	// followerFor is how long a daemon counts as one that follows others; its link changes with a restart only.
	followerFor = 30 * time.Second
	// hints is how many readers an answer names at most.
	hints = 3
)

type standing string

const (
	standingUnknown  standing = ""
	standingReader   standing = "reader"
	standingFollower standing = "follower"
	standingAvoided  standing = "avoided"
)

// opinion is what is known of a daemon; it counts until a time.
type opinion struct {
	standing standing
	reader   bool
	until    time.Time
}

// ReaderSelector decides which daemon to ask for news: a known reader, one of the own
// failure domain before others, or daemons that may be readers. Each follower prefers other readers, so that they share the followers. It
// also implements basillift.FeedServer for a follower: it names the readers that it knows.
// It is safe for concurrent use.
type ReaderSelector struct {
	own      string
	mutex    sync.Mutex
	opinions map[string]opinion
}

// NewReaderSelector returns the decision for the daemon at an address.
func NewReaderSelector(own string) *ReaderSelector {
	return &ReaderSelector{own: own, opinions: make(map[string]opinion)}
}

// Choose returns the address of the reader to ask; false if none is known.
func (r *ReaderSelector) Choose(now time.Time, neighbors []basillift.Neighbor) (string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	readers := r.with(now, standingReader, neighbors)
	if len(readers) == 0 {
		return "", false
	}
	return slices.MaxFunc(readers, r.compare).Address(), true
}

// Unknown returns the addresses of some daemons that may be readers, at most count.
func (r *ReaderSelector) Unknown(now time.Time, neighbors []basillift.Neighbor, count int) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	unknown := r.with(now, standingUnknown, neighbors)
	slices.SortFunc(unknown, r.compare)
	addresses := make([]string, 0, count)
	for _, n := range unknown[:min(len(unknown), count)] {
		addresses = append(addresses, n.Address())
	}
	return addresses
}

// with returns the other daemons that have a standing.
func (r *ReaderSelector) with(now time.Time, s standing, neighbors []basillift.Neighbor) []basillift.Neighbor {
	return slices.DeleteFunc(slices.Clone(neighbors), func(n basillift.Neighbor) bool {
		return n.Address() == r.own || r.standing(now, n.Address()) != s
	})
}

// compare puts daemons of the own failure domain behind others, and then goes by lot.
func (r *ReaderSelector) compare(a, b basillift.Neighbor) int {
	if a.SameDomain() != b.SameDomain() {
		if a.SameDomain() {
			return 1
		}
		return -1
	}
	return cmp.Compare(r.weight(a), r.weight(b))
}

func (r *ReaderSelector) standing(now time.Time, address string) standing {
	o := r.opinions[address]
	switch {
	case o.standing == standingReader, now.Before(o.until):
		return o.standing
	case o.reader:
		return standingReader
	default:
		return standingUnknown
	}
}

// weight spreads the followers over the readers.
func (r *ReaderSelector) weight(n basillift.Neighbor) uint64 {
	return xxhash.Sum64String(r.own + " " + n.Address())
}

// Replied takes the state of a daemon's answer and the readers that it named.
func (r *ReaderSelector) Replied(now time.Time, address string, reply basillift.FeedResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch reply.State() {
	case basillift.FeedChanges, basillift.FeedFull, basillift.FeedUnchanged:
		r.opinions[address] = opinion{standing: standingReader, reader: true}
	case basillift.FeedFollower:
		r.opinions[address] = opinion{standing: standingFollower, until: now.Add(followerFor)}
	case basillift.FeedStale:
		r.opinions[address] = opinion{standing: standingAvoided, reader: true, until: now.Add(avoidFor)}
	}
	for _, named := range reply.Readers() {
		if r.standing(now, named) == standingUnknown {
			r.opinions[named] = opinion{standing: standingReader, reader: true}
		}
	}
}

// Failed notes that a daemon did not answer, or that others know a newer table.
func (r *ReaderSelector) Failed(now time.Time, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.opinions[address] = opinion{standing: standingAvoided, reader: r.opinions[address].reader, until: now.Add(avoidFor)}
}

// Retain forgets daemons that are gone.
func (r *ReaderSelector) Retain(neighbors []basillift.Neighbor) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	here := make(map[string]bool, len(neighbors))
	for _, n := range neighbors {
		here[n.Address()] = true
	}
	for address := range r.opinions {
		if !here[address] {
			delete(r.opinions, address)
		}
	}
}

// known are the readers to name to others, in the order of their addresses.
func (r *ReaderSelector) known() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []string
	for address, o := range r.opinions {
		if o.standing == standingReader {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), hints)]
}

// ServeFeed implements basillift.FeedServer.
func (r *ReaderSelector) ServeFeed(context.Context, basillift.FeedRequest) basillift.FeedResponse {
	return basillift.NewFeedResponse(basillift.FeedFollower, 0).WithReaders(r.known())
}
