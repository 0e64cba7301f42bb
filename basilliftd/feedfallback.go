package main

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfeed"
	"basillift.dev/basillift/blwatch"
	"basillift.dev/basillift/common/blwait"
)

// fallbackInterval is how long a reader that has lost the registry waits until it asks other daemons again, if none of them is
// current. An evacuation has to be known within 5 s.
const fallbackInterval = time.Second

// feedFallback lets a reader learn of evacuations and newer routing tables from other readers while the registry does not answer it:
// the registry may be closed to this VM only. It takes nothing else from them. The reader's own feed cache stays behind meanwhile, so
// that readers do not follow each other in a circle.
type feedFallback struct {
	daemon   *tableDaemon
	registry *blfeed.FollowerRegistry
	rnd      *rand.Rand

	mutex sync.Mutex
	// cancel ends what start began; nil if that has ended. Requests that do not end at once may outlive it.
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

func newFeedFallback(d *tableDaemon, client basillift.FeedClient, seed int64) *feedFallback {
	readers := blfeed.NewReaderSelector(d.settings.Addresses().Mesh())
	return &feedFallback{
		daemon: d, registry: blfeed.NewFollowerRegistry(lostRegistry{}, client, readers, d.tables, d.neighbors), rnd: rand.New(rand.NewSource(seed)),
	}
}

// start begins to ask other daemons, unless that has begun already.
func (f *feedFallback) start() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	watcher := blwatch.New(f.registry, f, rand.New(rand.NewSource(f.rnd.Int63())))
	f.tasks.Go(func() { _ = watcher.Run(ctx) })
	f.tasks.Go(func() { f.loop(ctx, time.Now()) })
}

// loop ends what start began once the registry has answered again: a single lost answer is no outage whose end is reported.
func (f *feedFallback) loop(ctx context.Context, started time.Time) {
	for blwait.For(ctx, fallbackInterval) {
		if f.daemon.watcher.LastAnswer().After(started) {
			f.end(ctx)
		}
	}
}

// end ends what start began with a context, unless it has ended already.
func (f *feedFallback) end(ctx context.Context) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ctx.Err() == nil && f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
}

// registryRecovered ends what start began, without waiting for requests to other daemons.
func (f *feedFallback) registryRecovered() { f.end(context.Background()) }

// stop ends what start began and waits until it has ended. It does nothing for a nil receiver, as a follower has no fallback.
func (f *feedFallback) stop() {
	if f == nil {
		return
	}
	f.registryRecovered()
	f.tasks.Wait()
}

// Replace implements blwatch.Handler.
func (f *feedFallback) Replace(now time.Time, revision basillift.Revision, all []basillift.RegistryEntry) {
	f.daemon.fleet.ReplaceEvacuations(now, revision, all)
	f.daemon.logEvacuations()
	for _, entry := range all {
		if table, ok := entry.RoutingSpec(); ok {
			f.daemon.adoptRelayed(now, table)
		}
	}
	f.daemon.forwarder.TargetsChanged(now)
}

// Apply implements blwatch.Handler.
func (f *feedFallback) Apply(now time.Time, entry basillift.RegistryEntry) {
	table, isTable := entry.RoutingSpec()
	switch {
	case isTable:
		f.daemon.adoptRelayed(now, table)
	case isEvacuation(entry):
		f.daemon.fleet.Apply(now, entry)
		f.daemon.logEvacuations()
	default:
		return
	}
	f.daemon.forwarder.TargetsChanged(now)
}

// WaitFailed implements blwatch.Handler.
func (f *feedFallback) WaitFailed(time.Time, time.Duration, error) {}

// RegistryDown implements blwatch.Handler.
func (f *feedFallback) RegistryDown(time.Time, error) {}

// RegistryRecovered implements blwatch.Handler.
func (f *feedFallback) RegistryRecovered(time.Time, blwatch.Outage) {}

// lostRegistry stands for the registry that does not answer.
type lostRegistry struct{}

// List implements basillift.Registry.
func (lostRegistry) List(ctx context.Context, _ string) (basillift.RegistryPage, error) {
	blwait.For(ctx, fallbackInterval)
	return basillift.RegistryPage{}, basillift.ErrUnavailable
}

// Changes implements basillift.Registry.
func (r lostRegistry) Changes(ctx context.Context, _ basillift.Revision, _, _ time.Duration) (basillift.RegistryPage, error) {
	return r.List(ctx, "")
}
