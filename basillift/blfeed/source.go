package blfeed

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

const (
	// asksInRow is how many daemons are asked before the registry is.
	asksInRow = 12
	// feedWait is how long a reader may hold a question. A reader that falls silent must not delay news for much
	// longer than a target may be used that leaves, less the pauses on the way: 2 s.
	feedWait = time.Second
)

// Source is the registry for a daemon that follows others. It implements basillift.Registry.
type Source struct {
	registry  basillift.Registry
	peers     basillift.FeedPeers
	readers   *Readers
	tables    *bltable.Holder
	neighbors func() []basillift.Neighbor
	// known is the revision up to which this daemon holds all changes, seen the newest one of an entry.
	known atomic.Uint64
	seen  atomic.Uint64
}

// NewSource returns a source that asks peers, and the registry where no reader helps.
func NewSource(registry basillift.Registry, peers basillift.FeedPeers, readers *Readers, tables *bltable.Holder,
	neighbors func() []basillift.Neighbor,
) *Source {
	return &Source{registry: registry, peers: peers, readers: readers, tables: tables, neighbors: neighbors}
}

// List implements basillift.Registry. A daemon that knows no others asks the registry.
func (s *Source) List(ctx context.Context, after string) (basillift.Listing, error) {
	if after == "" {
		if l, whole := s.ask(ctx, func(version uint64) basillift.FeedAsk { return basillift.NewFeedAsk(version, 0) }); whole {
			return l, nil
		}
	}
	return s.read(s.registry.List(ctx, after))
}

// Changes implements basillift.Registry. The error wraps basillift.ErrCompacted if a reader does not know all
// changes since the revision.
func (s *Source) Changes(ctx context.Context, revision uint64, wait time.Duration) (basillift.Listing, error) {
	s.known.Store(max(s.known.Load(), revision))
	l, whole := s.ask(ctx, func(version uint64) basillift.FeedAsk {
		return basillift.NewFeedAsk(version, min(wait, feedWait)).Since(revision, s.seen.Load())
	})
	switch {
	case whole:
		return l, fmt.Errorf("ask other daemons: %w", basillift.ErrCompacted)
	case l.Relayed():
		return l, nil
	case ctx.Err() != nil:
		return l, fmt.Errorf("ask other daemons: %w: %w", basillift.ErrUnavailable, ctx.Err())
	}
	return s.read(s.registry.Changes(ctx, revision, wait))
}

// read notes what an answer of the registry holds.
func (s *Source) read(l basillift.Listing, err error) (basillift.Listing, error) {
	if err != nil {
		return l, err //nolint:wrapcheck // the source stands for the registry
	}
	for _, p := range l.Publications() {
		// Behind the first page there may be entries that are newer than a change which it missed.
		s.see(min(p.Revision(), l.Revision()))
	}
	return l, nil
}

func (s *Source) see(revision uint64) { s.seen.Store(max(s.seen.Load(), revision)) }

// ask asks other daemons until one knows whether there is news. Whole tells that the answer holds all entries. An
// answer that is not relayed is none.
func (s *Source) ask(ctx context.Context, question func(version uint64) basillift.FeedAsk) (l basillift.Listing, whole bool) {
	neighbors := s.neighbors()
	s.readers.Retain(neighbors)
	for range asksInRow {
		address, found := s.readers.Choose(time.Now(), neighbors)
		if !found || ctx.Err() != nil {
			break
		}
		if l, whole = s.askOne(ctx, address, question); l.Relayed() {
			return l, whole
		}
	}
	return basillift.Listing{}, false
}

func (s *Source) askOne(ctx context.Context, address string, question func(version uint64) basillift.FeedAsk) (l basillift.Listing, whole bool) {
	held, version := s.tables.Current(), uint64(0)
	if held != nil {
		version = held.Version()
	}
	reply, err := s.peers.AskFeed(ctx, address, question(version))
	now := time.Now()
	if err != nil {
		// Also when the wait was given up because others are ahead: this reader is not.
		s.readers.Failed(now, address)
		return l, false
	}
	s.readers.Replied(now, address, reply)
	var publications []basillift.Publication
	switch reply.State() {
	case basillift.FeedBehind, basillift.FeedFollower:
		return l, false
	case basillift.FeedNews, basillift.FeedWhole:
		if publications, err = decode(held, reply.Body()); err != nil {
			s.readers.Failed(now, address)
			return l, false
		}
	}
	for _, p := range publications {
		s.see(p.Revision())
	}
	// A reader that is not behind knows all changes that this daemon knows.
	known := max(reply.Revision(), s.known.Load())
	return basillift.NewListing(publications, known, "").WithRelayed(), reply.State() == basillift.FeedWhole
}
