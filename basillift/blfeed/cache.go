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
	// maxTables is how many versions of the table the cache keeps. They cover the time until a follower sends its
	// next request, also at the highest rate at which tables are read during a burst of changes.
	maxTables = 8
	// maxChanges is how many changes of target entries the cache keeps: enough for one change of each target in a
	// large mesh at the same time.
	maxChanges = 2048
	// followerTimeout is how long after its last request a daemon still counts as a follower. It spans several waits of
	// a follower.
	followerTimeout = 5 * time.Second
	// maxRegistryAnswerAge is how long after the registry's last answer the cache may report that nothing has changed.
	// It covers one wait of a reader with followers (blwatch.maxWaitWithFollowers) and a few round trips.
	maxRegistryAnswerAge = 2400 * time.Millisecond
)

// cachedEntry is an entry, or a change of one, and the time at which this daemon received it.
type cachedEntry struct {
	entry      basillift.RegistryEntry
	receivedAt time.Time
}

// Cache keeps what a daemon has read from the registry and serves it to followers. It implements basillift.FeedServer
// and is safe for concurrent use.
type Cache struct {
	mutex sync.Mutex
	// tables holds the last versions of the table, the newest one at the end. tableEntry is the key and revision of the
	// newest one.
	tables     []*bltable.Table
	tableEntry basillift.RegistryEntry
	// entries holds the usable entries of targets by key, and those of evacuations, also of ended ones until the next listing: a
	// follower that knows an evacuation of an era before would keep it without its end. changes holds their changes since historyStart, the newest one
	// at the end.
	entries map[string]cachedEntry
	changes []cachedEntry
	// historyStart is the revision after which the cache holds every change. completeRevision is the revision up to
	// which it holds every change.
	historyStart     basillift.Revision
	completeRevision basillift.Revision
	registryDown     bool
	// lastAnswer returns the time of the registry's last answer; nil if that time is not tracked.
	lastAnswer func() time.Time
	// lastRequest is the time of the last request of a follower.
	lastRequest time.Time
	// updated is closed and replaced when the content of the cache changes.
	updated chan struct{}
	// bodies holds the response bodies encoded since the last change, by request.
	bodies map[basillift.FeedRequest][]byte
}

// NewCache returns an empty cache, in which the registry counts as down at first.
func NewCache() *Cache {
	return &Cache{
		updated: make(chan struct{}), entries: make(map[string]cachedEntry), registryDown: true,
		bodies: make(map[basillift.FeedRequest][]byte),
	}
}

// SetLastAnswer sets the function that returns the time of the registry's last answer. The registry may have stopped
// answering some time before it is reported as down. It must be called before the first use.
func (c *Cache) SetLastAnswer(answered func() time.Time) { c.lastAnswer = answered }

// Adopt adds a table, together with the key and revision under which the registry holds it. Of a table that is not newer than the
// cached ones, only the revision counts.
func (c *Cache) Adopt(e basillift.RegistryEntry, t *bltable.Table) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.tables) == 0 || t.Version() > c.newestTable().Version() {
		c.tables = append(c.tables, t)
		if len(c.tables) > maxTables {
			c.tables = slices.Clone(c.tables[1:])
		}
		c.tableEntry = basillift.NewRegistryEntry(e.Key(), e.Revision())
	}
	c.observe(e.Revision())
	c.notifyWaiters()
}

// Replace replaces the entries of all targets and evacuations by those of a complete listing at a revision.
func (c *Cache) Replace(now time.Time, revision basillift.Revision, all []basillift.RegistryEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.entries)
	c.changes, c.registryDown = nil, false
	for _, e := range all {
		c.entries[e.Key()] = cachedEntry{e, now}
		// Entries on later pages may be newer than a change that the listing missed; the registry reports both again
		// as changes.
		c.observe(min(e.Revision(), revision))
	}
	c.historyStart, c.completeRevision = revision, max(c.completeRevision, revision)
	c.notifyWaiters()
}

// Apply applies a change of the entry of one target or evacuation. A change older than the cached entry is ignored.
func (c *Cache) Apply(now time.Time, e basillift.RegistryEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e.Revision() < c.entries[e.Key()].entry.Revision() {
		return
	}
	c.entries[e.Key()] = cachedEntry{e, now}
	if !isKept(e) {
		delete(c.entries, e.Key())
	}
	c.changes = append(c.changes, cachedEntry{e, now})
	if len(c.changes) > maxChanges {
		c.historyStart = c.changes[0].entry.Revision()
		c.changes = slices.Clone(c.changes[1:])
	}
	c.observe(e.Revision())
	c.notifyWaiters()
}

// isKept reports whether a follower that asks for all entries needs this one.
func isKept(e basillift.RegistryEntry) bool {
	_, isTarget := e.Endpoint()
	_, begun := e.Evacuation()
	_, ended := e.EvacuationEnd()
	return isTarget || begun || ended
}

// Observe records an entry that changes nothing, such as a table that was published again.
func (c *Cache) Observe(e basillift.RegistryEntry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.observe(e.Revision())
}

func (c *Cache) observe(revision basillift.Revision) {
	c.completeRevision = max(c.completeRevision, revision)
}

// SetRegistryDown records whether the registry is unreachable. While it is, there may be changes that the cache
// lacks.
func (c *Cache) SetRegistryDown(down bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.registryDown = down
	c.notifyWaiters()
}

// HasFollowers reports whether a follower has sent a request within followerTimeout.
func (c *Cache) HasFollowers(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.lastRequest) < followerTimeout
}

func (c *Cache) notifyWaiters() {
	clear(c.bodies)
	close(c.updated)
	c.updated = make(chan struct{})
}

// ServeFeed implements basillift.FeedServer. It waits for a change for as long as the request allows.
func (c *Cache) ServeFeed(ctx context.Context, request basillift.FeedRequest) basillift.FeedResponse {
	timer := time.NewTimer(request.Wait())
	defer timer.Stop()
	for {
		response, changed := c.respond(time.Now(), request)
		if response.State() != basillift.FeedUnchanged {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return response
		case <-ctx.Done():
			return basillift.NewFeedResponse(basillift.FeedStale, 0)
		}
	}
}

// respond returns the response that is possible without waiting, and a channel that is closed at the next change.
func (c *Cache) respond(now time.Time, request basillift.FeedRequest) (basillift.FeedResponse, <-chan struct{}) {
	// The watcher asks the cache for followers while it answers, so it must not be asked with the mutex held.
	registrySilent := c.lastAnswer != nil && now.Sub(c.lastAnswer()) > maxRegistryAnswerAge
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastRequest = now
	state := c.state(request)
	if state == basillift.FeedUnchanged && registrySilent {
		state = basillift.FeedStale
	}
	response := basillift.NewFeedResponse(state, c.completeRevision)
	if state != basillift.FeedChanges && state != basillift.FeedFull {
		return response, c.updated
	}
	body, err := c.body(now, request, state)
	if err != nil {
		// Encoding failed. The follower can still read the registry.
		return basillift.NewFeedResponse(basillift.FeedStale, c.completeRevision), c.updated
	}
	return response.WithBody(body), c.updated
}

func (c *Cache) state(request basillift.FeedRequest) basillift.FeedState {
	switch {
	case c.registryDown || len(c.tables) == 0 || c.newestTable().Version() < request.Version() || c.completeRevision < request.NewestRevision():
		return basillift.FeedStale
	case request.CompleteRevision() < c.historyStart:
		return basillift.FeedFull
	case request.Version() < c.newestTable().Version() || len(c.entriesFor(request, basillift.FeedChanges)) > 0:
		return basillift.FeedChanges
	default:
		return basillift.FeedUnchanged
	}
}

func (c *Cache) newestTable() *bltable.Table { return c.tables[len(c.tables)-1] }

// body returns the encoded response body. It is cached, since many followers send the same request.
func (c *Cache) body(now time.Time, request basillift.FeedRequest, state basillift.FeedState) ([]byte, error) {
	key := basillift.NewFeedRequest(request.Version(), 0).Since(request.CompleteRevision(), 0)
	if body, found := c.bodies[key]; found {
		return body, nil
	}
	feed := feedBody{TableKey: c.tableEntry.Key(), TableRevision: c.tableEntry.Revision()}
	var err error
	if request.Version() < c.newestTable().Version() {
		if feed.Table, err = bltable.FormatDelta(c.tableByVersion(request.Version()), c.newestTable().RoutingSpec()); err != nil {
			return nil, fmt.Errorf("encode feed: %w", err)
		}
	}
	for _, e := range c.entriesFor(request, state) {
		feed.Targets = append(feed.Targets, newFeedTarget(e.entry, now.Sub(e.receivedAt)))
	}
	body, err := json.Marshal(feed)
	if err != nil {
		return nil, fmt.Errorf("encode feed: %w", err)
	}
	c.bodies[key] = body
	return body, nil
}

// entriesFor returns all entries for a full response, otherwise the changes since the follower's revision.
func (c *Cache) entriesFor(request basillift.FeedRequest, state basillift.FeedState) []cachedEntry {
	var entries []cachedEntry
	if state == basillift.FeedFull {
		for _, e := range c.entries {
			entries = append(entries, e)
		}
		slices.SortFunc(entries, func(a, b cachedEntry) int { return cmp.Compare(a.entry.Key(), b.entry.Key()) })
		return entries
	}
	for _, e := range slices.Backward(c.changes) {
		if e.entry.Revision() <= request.CompleteRevision() {
			break
		}
		entries = append(entries, e)
	}
	slices.Reverse(entries)
	return entries
}

// tableByVersion returns the cached table of a version, or nil if the cache does not have it.
func (c *Cache) tableByVersion(version uint64) *bltable.Table {
	for _, t := range c.tables {
		if t.Version() == version {
			return t
		}
	}
	return nil
}
