package blfeed

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

const (
	// keptTables is how many tables a shelf holds: those of the time that a follower needs to ask again, at the
	// pace at which a storm is read.
	keptTables = 8
	// keptChanges is how many changes of targets' entries a shelf holds: those of all targets of a large mesh at once.
	keptChanges = 2048
	// followedFor is how long a daemon counts as followed after a question: some waits of its followers.
	followedFor = 5 * time.Second
	// trustedFor is how long after the registry's last answer a shelf counts as current: a wait for changes of a
	// daemon that is followed, and some round trips.
	trustedFor = 2400 * time.Millisecond
)

// entry is the newest publication of a key, and when this daemon learned of it.
type entry struct {
	publication basillift.RegistryEntry
	at          time.Time
}

// Cache keeps what a daemon has read from the registry. It implements basillift.FeedServer and is safe for concurrent use.
type Cache struct {
	mutex   sync.Mutex
	tables  []*bltable.Table
	table   basillift.RegistryEntry
	entries map[string]entry
	changes []entry
	// complete is the revision after which all changes are there, known the one up to which all are held.
	complete uint64
	known    uint64
	// seen is the newest revision of an entry.
	seen uint64
	away bool
	// answered tells when the registry answered last; nil if that is not known.
	answered func() time.Time
	// asked is when a follower asked last.
	asked time.Time
	// changed is closed and replaced when there is news.
	changed chan struct{}
	// messages holds what was encoded since the last news, by the question.
	messages map[basillift.FeedRequest][]byte
}

// NewCache returns an empty cache, which counts as away.
func NewCache() *Cache {
	return &Cache{
		changed: make(chan struct{}), entries: make(map[string]entry), away: true,
		messages: make(map[basillift.FeedRequest][]byte),
	}
}

// SetLastAnswer sets what tells when the registry answered last. A registry that has fallen silent is not away yet. It must
// be called before the first use.
func (s *Cache) SetLastAnswer(answered func() time.Time) { s.answered = answered }

// Adopt adds the newest table, and what the registry says of its key.
func (s *Cache) Adopt(p basillift.RegistryEntry, t *bltable.Table) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tables = append(s.tables, t)
	if len(s.tables) > keptTables {
		s.tables = slices.Clone(s.tables[1:])
	}
	s.table = basillift.NewRegistryEntry(p.Key(), p.Revision())
	s.see(p.Revision())
	s.wake()
}

// Replace takes the entries of all targets at a revision.
func (s *Cache) Replace(now time.Time, revision uint64, all []basillift.RegistryEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.entries)
	s.changes, s.away = nil, false
	for _, p := range all {
		s.entries[p.Key()] = entry{p, now}
		// Entries of later pages may be newer than a change which the listing missed; the registry tells both again.
		s.see(min(p.Revision(), revision))
	}
	s.complete, s.known = revision, max(s.known, revision)
	s.wake()
}

// Apply takes a change of a target's entry.
func (s *Cache) Apply(now time.Time, p basillift.RegistryEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if p.Revision() < s.entries[p.Key()].publication.Revision() {
		return
	}
	s.entries[p.Key()] = entry{p, now}
	if _, usable := p.Endpoint(); !usable {
		delete(s.entries, p.Key())
	}
	s.changes = append(s.changes, entry{p, now})
	if len(s.changes) > keptChanges {
		s.complete = s.changes[0].publication.Revision()
		s.changes = slices.Clone(s.changes[1:])
	}
	s.see(p.Revision())
	s.wake()
}

func (s *Cache) see(revision uint64) { s.seen, s.known = max(s.seen, revision), max(s.known, revision) }

// SetRegistryDown tells whether the registry is away, so that there may be news that is not in the cache.
func (s *Cache) SetRegistryDown(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.wake()
}

// HasFollowers reports whether a follower has asked lately.
func (s *Cache) HasFollowers(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.asked) < followedFor
}

func (s *Cache) wake() {
	clear(s.messages)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeFeed implements basillift.FeedServer.
func (s *Cache) ServeFeed(ctx context.Context, a basillift.FeedRequest) basillift.FeedResponse {
	timer := time.NewTimer(a.Wait())
	defer timer.Stop()
	for {
		reply, changed := s.answer(time.Now(), a)
		if reply.State() != basillift.FeedUnchanged {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return basillift.NewFeedResponse(basillift.FeedStale, 0)
		}
	}
}

// answer is what can be said at once, and what tells of news.
func (s *Cache) answer(now time.Time, a basillift.FeedRequest) (basillift.FeedResponse, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked = now
	state := s.state(a)
	if state == basillift.FeedUnchanged && s.answered != nil && now.Sub(s.answered()) > trustedFor {
		state = basillift.FeedStale
	}
	reply := basillift.NewFeedResponse(state, s.known)
	if state != basillift.FeedChanges && state != basillift.FeedFull {
		return reply, s.changed
	}
	body, err := s.message(now, a, state)
	if err != nil {
		// What cannot be encoded is of no help; the registry still has it.
		return basillift.NewFeedResponse(basillift.FeedStale, s.known), s.changed
	}
	return reply.WithBody(body), s.changed
}

func (s *Cache) state(a basillift.FeedRequest) basillift.FeedState {
	switch {
	case s.away || len(s.tables) == 0 || s.newest().Version() < a.Version() || s.seen < a.NewestRevision():
		return basillift.FeedStale
	case a.CompleteRevision() < s.complete:
		return basillift.FeedFull
	case a.Version() < s.newest().Version() || len(s.news(a, basillift.FeedChanges)) > 0:
		return basillift.FeedChanges
	default:
		return basillift.FeedUnchanged
	}
}

func (s *Cache) newest() *bltable.Table { return s.tables[len(s.tables)-1] }

// message encodes the answer to a question; many followers ask the same one.
func (s *Cache) message(now time.Time, a basillift.FeedRequest, state basillift.FeedState) ([]byte, error) {
	question := basillift.NewFeedRequest(a.Version(), 0).Since(a.CompleteRevision(), 0)
	if body, known := s.messages[question]; known {
		return body, nil
	}
	m := message{TableKey: s.table.Key(), TableRevision: s.table.Revision()}
	var err error
	if a.Version() < s.newest().Version() {
		if m.Table, err = bltable.FormatDelta(s.held(a.Version()), s.newest().RoutingSpec()); err != nil {
			return nil, fmt.Errorf("encode feed: %w", err)
		}
	}
	for _, e := range s.news(a, state) {
		m.Targets = append(m.Targets, newTarget(e.publication, now.Sub(e.at)))
	}
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode feed: %w", err)
	}
	s.messages[question] = body
	return body, nil
}

// news are all entries, or the changes since the follower's revision.
func (s *Cache) news(a basillift.FeedRequest, state basillift.FeedState) []entry {
	var news []entry
	if state == basillift.FeedFull {
		for _, e := range s.entries {
			news = append(news, e)
		}
		slices.SortFunc(news, func(a, b entry) int { return cmp.Compare(a.publication.Key(), b.publication.Key()) })
		return news
	}
	for _, e := range slices.Backward(s.changes) {
		if e.publication.Revision() <= a.CompleteRevision() {
			break
		}
		news = append(news, e)
	}
	slices.Reverse(news)
	return news
}

// held is the table of a version; nil if it is not on the shelf.
func (s *Cache) held(version uint64) *bltable.Table {
	for _, t := range s.tables {
		if t.Version() == version {
			return t
		}
	}
	return nil
}
