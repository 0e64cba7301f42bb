package blfeed

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

const (
	// asksInRow is how many times daemons are asked before the registry is.
	asksInRow = 8
	// exploredAtOnce is how many daemons are asked at the same time whether they are readers. Where all have just
	// started nobody can name one, and those with busy links take long to say no.
	exploredAtOnce = 12
	// exploreTime is how long they have to answer: some round trips of a busy link.
	exploreTime = 300 * time.Millisecond
	// feedWait is how long a reader may hold a question. A reader that falls silent must not delay news for as long
	// as a table may take to be in force: 2 s.
	feedWait = 500 * time.Millisecond
	// searchTime bounds the search for another reader behind one that failed.
	searchTime = 900 * time.Millisecond
	// directWait and directMost bound a wait for changes at the registry itself. Changes that take longer to arrive
	// hold several versions of the table, and a listing with the newest one is there sooner.
	directWait = time.Second
	directMost = directWait + 800*time.Millisecond
)

// FollowerRegistry is the registry for a daemon that follows others. It implements basillift.Registry.
type FollowerRegistry struct {
	registry  basillift.Registry
	peers     basillift.FeedClient
	readers   *ReaderSelector
	tables    *bltable.Holder
	neighbors func() []basillift.Neighbor
	// known is the revision up to which this daemon holds all changes, seen the newest one of an entry.
	known atomic.Uint64
	seen  atomic.Uint64
	// heard is the newest revision of an entry that another daemon has seen.
	heard atomic.Uint64
	// relayed is set while the last answer came from a reader.
	relayed atomic.Bool
	// reader is the daemon that is followed; empty for none.
	reader atomic.Pointer[string]
	notify func(reader string, err error)
}

// NewFollowerRegistry returns a source that asks peers, and the registry where no reader helps.
func NewFollowerRegistry(registry basillift.Registry, peers basillift.FeedClient, readers *ReaderSelector, tables *bltable.Holder,
	neighbors func() []basillift.Neighbor,
) *FollowerRegistry {
	s := &FollowerRegistry{
		registry: registry, peers: peers, readers: readers, tables: tables, neighbors: neighbors,
		notify: func(string, error) {},
	}
	s.reader.Store(new(string))
	return s
}

// OnReaderChange sets what is told when another daemon is followed than before, or none, and why the last question failed. It
// must be called before the first use.
func (s *FollowerRegistry) OnReaderChange(f func(reader string, err error)) { s.notify = f }

// follow notes which daemon is followed, and why it is not the one before.
func (s *FollowerRegistry) follow(reader string, err error) {
	if *s.reader.Swap(&reader) != reader {
		s.notify(reader, err)
	}
}

// List implements basillift.Registry. A daemon that knows no others asks the registry.
func (s *FollowerRegistry) List(ctx context.Context, after string) (basillift.RegistryPage, error) {
	if after == "" {
		question := func(version uint64, _ time.Duration) basillift.FeedRequest {
			return basillift.NewFeedRequest(version, 0)
		}
		if l, whole := s.ask(ctx, 0, question); whole {
			return l, nil
		}
	}
	return s.read(s.registry.List(ctx, after))
}

// Changes implements basillift.Registry. The error wraps basillift.ErrCompacted if a reader does not know all
// changes since the revision, and when no reader is left: a listing has the newest table only, where the changes
// since then may hold many.
func (s *FollowerRegistry) Changes(ctx context.Context, revision uint64, wait time.Duration) (basillift.RegistryPage, error) {
	s.known.Store(max(s.known.Load(), revision))
	fed, whole := s.ask(ctx, min(wait, feedWait), func(version uint64, wait time.Duration) basillift.FeedRequest {
		return basillift.NewFeedRequest(version, wait).Since(revision, max(s.seen.Load(), s.heard.Load()))
	})
	switch {
	case whole, !fed.Relayed() && ctx.Err() == nil && s.relayed.Swap(false):
		return fed, fmt.Errorf("ask other daemons: %w", basillift.ErrCompacted)
	case fed.Relayed():
		return fed, nil
	case ctx.Err() != nil:
		return fed, fmt.Errorf("ask other daemons: %w: %w", basillift.ErrUnavailable, ctx.Err())
	}
	direct, cancel := context.WithTimeout(ctx, directMost)
	defer cancel()
	l, err := s.read(s.registry.Changes(direct, revision, min(wait, directWait)))
	if err != nil && direct.Err() != nil && ctx.Err() == nil {
		return l, fmt.Errorf("changes are long on their way: %w", basillift.ErrCompacted)
	}
	return l, err
}

// read notes what an answer of the registry holds.
func (s *FollowerRegistry) read(l basillift.RegistryPage, err error) (basillift.RegistryPage, error) {
	if err != nil {
		return l, err //nolint:wrapcheck // the source stands for the registry
	}
	for _, p := range l.Entries() {
		// Behind the first page there may be entries that are newer than a change which it missed.
		s.see(min(p.Revision(), l.Revision()))
	}
	return l, nil
}

// ObserveRevision takes the newest revision that another daemon has seen: a reader that does not know it is behind.
func (s *FollowerRegistry) ObserveRevision(revision uint64) {
	s.heard.Store(max(s.heard.Load(), revision))
}

func (s *FollowerRegistry) see(revision uint64) { s.seen.Store(max(s.seen.Load(), revision)) }

// question is what to ask a daemon, by the held version of the table and how long it may wait.
type question func(version uint64, wait time.Duration) basillift.FeedRequest

// errUseless is the answer of a daemon that follows others, or is behind.
var errUseless = eris.New("daemon does not know the newest state")

// ask asks other daemons until one knows whether there is news; only the first one may wait for some. Whole
// tells that the answer holds all entries. An answer that is not relayed is none.
func (s *FollowerRegistry) ask(ctx context.Context, wait time.Duration, q question) (basillift.RegistryPage, bool) {
	neighbors := s.neighbors()
	s.readers.Retain(neighbors)
	var until time.Time
	for range asksInRow {
		now := time.Now()
		if ctx.Err() != nil || !until.IsZero() && now.After(until) {
			break
		}
		f, found := s.askNext(ctx, now, neighbors, wait, q)
		if !found {
			break
		}
		if f.err == nil {
			s.relayed.Store(true)
			s.follow(f.daemon, nil)
			return f.listing, f.whole
		}
		if until.IsZero() {
			until = time.Now().Add(searchTime)
		}
		wait = 0
	}
	return basillift.RegistryPage{}, false
}

// askNext asks the best reader, or some daemons that may be one.
func (s *FollowerRegistry) askNext(ctx context.Context, now time.Time, neighbors []basillift.Neighbor, wait time.Duration, q question) (finding, bool) {
	address, found := s.readers.Choose(now, neighbors)
	if !found {
		unknown := s.readers.Unknown(now, neighbors, exploredAtOnce)
		return s.explore(ctx, unknown, q), len(unknown) > 0
	}
	f := s.askOne(ctx, address, wait, q)
	if f.err != nil && !errors.Is(f.err, errUseless) {
		// Also when the wait was given up because others are ahead: this reader is not.
		s.readers.Failed(time.Now(), address)
	}
	if f.err != nil && *s.reader.Load() == address {
		s.follow("", f.err)
	}
	return f, true
}

// finding is what a daemon answered.
type finding struct {
	daemon  string
	listing basillift.RegistryPage
	whole   bool
	err     error
}

// scout asks one of several daemons.
type scout struct {
	source   *FollowerRegistry
	address  string
	question question
	findings chan<- finding
}

func (c *scout) run(ctx context.Context) {
	f := c.source.askOne(ctx, c.address, 0, c.question)
	if f.err != nil && !errors.Is(f.err, errUseless) && !errors.Is(ctx.Err(), context.Canceled) {
		c.source.readers.Failed(time.Now(), c.address)
	}
	c.findings <- f
}

// explore asks several daemons at once and takes the first answer that is of use.
func (s *FollowerRegistry) explore(ctx context.Context, addresses []string, q question) finding {
	ctx, cancel := context.WithTimeout(ctx, exploreTime)
	defer cancel()
	findings := make(chan finding, len(addresses))
	for _, address := range addresses {
		c := &scout{source: s, address: address, question: q, findings: findings}
		go c.run(ctx)
	}
	f := finding{err: errUseless}
	for range addresses {
		if f = <-findings; f.err == nil {
			break
		}
	}
	return f
}

// askOne asks one daemon.
func (s *FollowerRegistry) askOne(ctx context.Context, address string, wait time.Duration, q question) finding {
	held, version := s.tables.Current(), uint64(0)
	if held != nil {
		version = held.Version()
	}
	f := finding{daemon: address}
	reply, err := s.peers.RequestFeed(ctx, address, q(version, wait))
	if err != nil {
		f.err = fmt.Errorf("ask for news: %w", err)
		return f
	}
	s.readers.Replied(time.Now(), address, reply)
	var publications []basillift.RegistryEntry
	switch reply.State() {
	case basillift.FeedStale, basillift.FeedFollower:
		f.err = fmt.Errorf("answer %q: %w", reply.State(), errUseless)
		return f
	case basillift.FeedChanges, basillift.FeedFull:
		if publications, f.err = decode(held, reply.Body()); f.err != nil {
			return f
		}
	}
	for _, p := range publications {
		s.see(p.Revision())
	}
	// A reader that is not behind knows all changes that this daemon knows.
	known := max(reply.Revision(), s.known.Load())
	f.listing, f.whole = basillift.NewRegistryPage(publications, known, "").WithRelayed(), reply.State() == basillift.FeedFull
	return f
}
