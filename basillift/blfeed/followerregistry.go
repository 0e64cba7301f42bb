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
	"basillift.dev/basillift/common/bltrace"
)

const (
	// maxQueries is how many times other daemons are asked for the feed before the registry is read. A probe of several
	// daemons at once counts as one query.
	maxQueries = 8
	// maxProbes is how many daemons are asked at the same time whether they are readers. Right after all daemons have
	// started none of them can name a reader, and those with a busy link are slow to answer that they aren't one.
	maxProbes = 12
	// probeTimeout bounds the time until a probe's answer begins: a few round trips on a busy link.
	probeTimeout = 300 * time.Millisecond
	// maxFeedWait is how long a reader may delay its response while nothing changes. A table has to be in force
	// within 2 s, so a reader that stops answering must not delay changes for that long.
	maxFeedWait = 500 * time.Millisecond
	// failoverTimeout bounds the search for another reader after one has failed.
	failoverTimeout = 900 * time.Millisecond
	// registryWait and registryTimeout bound a wait for changes at the registry itself. Changes that take longer to
	// transfer contain several versions of the table; a listing, which contains only the newest one, arrives sooner.
	registryWait    = time.Second
	registryTimeout = registryWait + 800*time.Millisecond
)

// FollowerRegistry gives a follower access to the registry through readers. It reads the registry itself where no
// reader can answer. It implements basillift.Registry.
type FollowerRegistry struct {
	registry  basillift.Registry
	client    basillift.FeedClient
	selector  *ReaderSelector
	tables    *bltable.Holder
	neighbors func() []basillift.Neighbor
	// completeRevision is the revision up to which this daemon holds all changes. newestRevision is the newest
	// revision of any entry.
	completeRevision maxRevision
	newestRevision   maxRevision
	// peerRevision is the newest revision of an entry that another daemon has reported.
	peerRevision maxRevision
	// lastRelayed is set while the last answer came from a reader.
	lastRelayed atomic.Bool
	// reader is the address of the followed reader; empty for none.
	reader         atomic.Pointer[string]
	onReaderChange func(reader string, err error)
}

// NewFollowerRegistry returns a registry that sends its requests to readers, and to the registry where no reader can
// answer.
func NewFollowerRegistry(registry basillift.Registry, client basillift.FeedClient, selector *ReaderSelector, tables *bltable.Holder,
	neighbors func() []basillift.Neighbor,
) *FollowerRegistry {
	r := &FollowerRegistry{
		registry: registry, client: client, selector: selector, tables: tables, neighbors: neighbors,
		onReaderChange: func(string, error) {},
	}
	r.reader.Store(new(string))
	return r
}

// OnReaderChange sets the callback for a change of the followed reader. The address is empty if no reader is followed
// any more, and err says why the last request failed. It must be called before the first use.
func (r *FollowerRegistry) OnReaderChange(f func(reader string, err error)) { r.onReaderChange = f }

// setReader records the followed reader, empty for none. err says why no reader is followed any more.
func (r *FollowerRegistry) setReader(reader string, err error) {
	if *r.reader.Swap(&reader) != reader {
		r.onReaderChange(reader, err)
	}
}

// List implements basillift.Registry. The first page comes from a reader if one is current; later pages come from the
// registry.
func (r *FollowerRegistry) List(ctx context.Context, after string) (basillift.RegistryPage, error) {
	if after == "" {
		newRequest := func(version uint64, _ time.Duration) basillift.FeedRequest {
			// A reader of an older era holds what the registry has lost. One that lacks an entry which this daemon has received would
			// remove it by its listing, and end an evacuation so. What only other daemons have told may still be on its way.
			return basillift.NewFeedRequest(version, 0).Since(0, max(r.newestKnown().EraStart(), r.newestRevision.load()))
		}
		if page, full := r.queryReaders(ctx, 0, newRequest); full {
			return page, nil
		}
	}
	return r.observePage(r.registry.List(ctx, after))
}

// Changes implements basillift.Registry. The error wraps basillift.ErrCompacted, so that all entries are listed again,
// in three cases: the reader does not hold all changes since the revision, no daemon is current any more although the
// last answer came from a reader, or the registry takes longer than registryTimeout. A listing contains only the newest
// table, whereas the changes may contain many versions.
func (r *FollowerRegistry) Changes(ctx context.Context, revision basillift.Revision, wait, timeout time.Duration) (basillift.RegistryPage, error) {
	r.completeRevision.raise(revision)
	page, full := r.queryReaders(ctx, min(wait, maxFeedWait), func(version uint64, wait time.Duration) basillift.FeedRequest {
		return basillift.NewFeedRequest(version, wait).Since(revision, r.newestKnown())
	})
	switch {
	case full, !page.Relayed() && ctx.Err() == nil && r.lastRelayed.Swap(false):
		return page, fmt.Errorf("request feed from other daemons: %w", basillift.ErrCompacted)
	case page.Relayed():
		return page, nil
	case ctx.Err() != nil:
		return page, fmt.Errorf("request feed from other daemons: %w: %w", basillift.ErrUnavailable, ctx.Err())
	}
	directCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	wait = min(wait, registryWait)
	if r.peerRevision.load() > revision {
		// The registry has the change that other daemons know, so an answer that does not come at once is lost.
		wait = 0
	}
	direct, err := r.observePage(r.registry.Changes(directCtx, revision, wait, timeout))
	if err != nil && directCtx.Err() != nil && ctx.Err() == nil {
		return direct, fmt.Errorf("changes took too long to arrive: %w", basillift.ErrCompacted)
	}
	return direct, err
}

// observePage records the revisions of the entries in an answer of the registry.
func (r *FollowerRegistry) observePage(page basillift.RegistryPage, err error) (basillift.RegistryPage, error) {
	if err != nil {
		return page, err //nolint:wrapcheck // the source stands for the registry
	}
	for _, e := range page.Entries() {
		// Pages after the first may hold entries that are newer than a change which the listing missed.
		r.newestRevision.raise(min(e.Revision(), page.Revision()))
	}
	return page, nil
}

// ObserveRevision records the newest revision that another daemon has seen. A reader whose entries are all older than
// that revision is behind.
func (r *FollowerRegistry) ObserveRevision(revision basillift.Revision) {
	r.peerRevision.raise(revision)
}

// newestKnown returns the newest revision of any entry that this daemon or another one has received.
func (r *FollowerRegistry) newestKnown() basillift.Revision {
	return max(r.newestRevision.load(), r.peerRevision.load())
}

// requestFunc builds a request from the version of the table in force, 0 for none, and the maximum wait.
type requestFunc func(version uint64, wait time.Duration) basillift.FeedRequest

// errNotCurrent means that the daemon that responded is a follower itself or is behind.
var errNotCurrent = eris.New("daemon is not current with the registry")

// queryReaders sends requests to other daemons until one of them is current. Only the first one may wait for changes.
// full reports that the page holds all entries. A page that is not marked as relayed means that no daemon was
// current.
func (r *FollowerRegistry) queryReaders(ctx context.Context, wait time.Duration, newRequest requestFunc) (basillift.RegistryPage, bool) {
	neighbors := r.neighbors()
	r.selector.Retain(neighbors)
	var deadline time.Time
	for range maxQueries {
		now := time.Now()
		if ctx.Err() != nil || !deadline.IsZero() && now.After(deadline) {
			break
		}
		result, found := r.queryNext(ctx, now, neighbors, wait, newRequest)
		if !found {
			break
		}
		if result.err == nil {
			r.lastRelayed.Store(true)
			r.setReader(result.daemon, nil)
			return result.page, result.full
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(failoverTimeout)
		}
		wait = 0
	}
	return basillift.RegistryPage{}, false
}

// queryNext sends a request to the preferred reader, or probes several daemons that may be readers.
func (r *FollowerRegistry) queryNext(ctx context.Context, now time.Time, neighbors []basillift.Neighbor, wait time.Duration, newRequest requestFunc) (queryResult, bool) {
	address, found := r.selector.Choose(now, neighbors)
	if !found {
		candidates := r.selector.Candidates(now, neighbors, maxProbes)
		return r.probeAll(ctx, candidates, newRequest), len(candidates) > 0
	}
	result := r.query(ctx, address, wait, newRequest)
	if result.err != nil && !errors.Is(result.err, errNotCurrent) {
		// This also applies when the wait was canceled because other daemons are ahead: this reader is behind.
		r.selector.Failed(time.Now(), address)
	}
	if result.err != nil && *r.reader.Load() == address {
		r.setReader("", result.err)
	}
	return result, true
}

// queryResult is the result of a request to one daemon.
type queryResult struct {
	daemon string
	page   basillift.RegistryPage
	full   bool
	err    error
}

// probe asks one of several daemons whether it is a reader.
type probe struct {
	registry   *FollowerRegistry
	address    string
	newRequest requestFunc
	results    chan<- queryResult
}

func (p *probe) run(ctx context.Context) {
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(probeTimeout, cancel)
	defer timer.Stop()
	probeCtx = bltrace.WithAnswerBegun(probeCtx, func() { timer.Stop() })
	result := p.registry.query(probeCtx, p.address, 0, p.newRequest)
	if result.err != nil && !errors.Is(result.err, errNotCurrent) && ctx.Err() == nil {
		p.registry.selector.Failed(time.Now(), p.address)
	}
	p.results <- result
}

// probeAll sends a request to several daemons at once and returns the first usable result.
func (r *FollowerRegistry) probeAll(ctx context.Context, addresses []string, newRequest requestFunc) queryResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan queryResult, len(addresses))
	for _, address := range addresses {
		p := &probe{registry: r, address: address, newRequest: newRequest, results: results}
		go p.run(ctx)
	}
	result := queryResult{err: errNotCurrent}
	for range addresses {
		if result = <-results; result.err == nil {
			break
		}
	}
	return result
}

// query sends a request to one daemon.
func (r *FollowerRegistry) query(ctx context.Context, address string, wait time.Duration, newRequest requestFunc) queryResult {
	current, version := r.tables.Current(), uint64(0)
	if current != nil {
		version = current.Version()
	}
	result := queryResult{daemon: address}
	response, err := r.client.RequestFeed(ctx, address, newRequest(version, wait))
	if err != nil {
		result.err = fmt.Errorf("request feed: %w", err)
		return result
	}
	r.selector.Replied(time.Now(), address, response)
	var entries []basillift.RegistryEntry
	switch response.State() {
	case basillift.FeedStale, basillift.FeedFollower:
		result.err = fmt.Errorf("feed response state %q: %w", response.State(), errNotCurrent)
		return result
	case basillift.FeedChanges, basillift.FeedFull:
		if entries, result.err = decodeBody(current, response.Body()); result.err != nil {
			return result
		}
	}
	for _, e := range entries {
		r.newestRevision.raise(e.Revision())
	}
	// A reader that is not behind holds all changes that this daemon holds.
	complete := max(response.Revision(), r.completeRevision.load())
	result.page, result.full = basillift.NewRegistryPage(entries, complete, "").WithRelayed(), response.State() == basillift.FeedFull
	return result
}
