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

// evacuationFallback lets a reader learn of evacuations from other readers while the registry does not answer it: the registry may
// be closed to this VM only. It takes nothing else from them. The reader's own feed cache stays behind meanwhile, so that readers
// do not follow each other in a circle.
type evacuationFallback struct {
	daemon   *tableDaemon
	registry *blfeed.FollowerRegistry
	rnd      *rand.Rand

	mutex sync.Mutex
	// cancel ends what start began; nil if that has ended. Requests that do not end at once may outlive it.
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

func newEvacuationFallback(d *tableDaemon, client basillift.FeedClient, seed int64) *evacuationFallback {
	readers := blfeed.NewReaderSelector(d.settings.Addresses().Mesh())
	return &evacuationFallback{
		daemon: d, registry: blfeed.NewFollowerRegistry(lostRegistry{}, client, readers, d.tables, d.neighbors), rnd: rand.New(rand.NewSource(seed)),
	}
}

// start begins to ask other daemons, unless that has begun already.
func (e *evacuationFallback) start() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	watcher := blwatch.New(e.registry, e, rand.New(rand.NewSource(e.rnd.Int63())))
	e.tasks.Go(func() { _ = watcher.Run(ctx) })
	e.tasks.Go(func() { e.loop(ctx, time.Now()) })
}

// loop ends what start began once the registry has answered again: a single lost answer is no outage whose end is reported.
func (e *evacuationFallback) loop(ctx context.Context, started time.Time) {
	for blwait.For(ctx, fallbackInterval) {
		if e.daemon.watcher.LastAnswer().After(started) {
			e.end(ctx)
		}
	}
}

// end ends what start began with a context, unless it has ended already.
func (e *evacuationFallback) end(ctx context.Context) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ctx.Err() == nil && e.cancel != nil {
		e.cancel()
		e.cancel = nil
	}
}

// registryRecovered ends what start began, without waiting for requests to other daemons.
func (e *evacuationFallback) registryRecovered() { e.end(context.Background()) }

// stop ends what start began and waits until it has ended. It does nothing for a nil receiver, as a follower has no fallback.
func (e *evacuationFallback) stop() {
	if e == nil {
		return
	}
	e.registryRecovered()
	e.tasks.Wait()
}

// Replace implements blwatch.Handler.
func (e *evacuationFallback) Replace(now time.Time, revision basillift.Revision, all []basillift.RegistryEntry) {
	e.daemon.fleet.ReplaceEvacuations(now, revision, all)
	e.daemon.logEvacuations()
	e.daemon.forwarder.TargetsChanged(now)
}

// Apply implements blwatch.Handler.
func (e *evacuationFallback) Apply(now time.Time, entry basillift.RegistryEntry) {
	if !isEvacuation(entry) {
		return
	}
	e.daemon.fleet.Apply(now, entry)
	e.daemon.logEvacuations()
	e.daemon.forwarder.TargetsChanged(now)
}

// WaitFailed implements blwatch.Handler.
func (e *evacuationFallback) WaitFailed(time.Time, time.Duration, error) {}

// RegistryDown implements blwatch.Handler.
func (e *evacuationFallback) RegistryDown(time.Time, error) {}

// RegistryRecovered implements blwatch.Handler.
func (e *evacuationFallback) RegistryRecovered(time.Time, blwatch.Outage) {}

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
