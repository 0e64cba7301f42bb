package labdemo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"basillift.dev/basillift"
)

// The intervals between two readings of a daemon's version. The short one limits the error
// of the measured convergence. It is used only while an edit converges, because of the load
// that it puts on the machine.
const (
	pollInterval     = 250 * time.Millisecond
	fastPollInterval = 2 * time.Millisecond
)

// Watcher polls the version in force at one daemon. A single loop per daemon keeps the
// readings in order, so that a lower version is a regression.
type Watcher struct {
	vm          VM
	client      *client
	fastPolling *atomic.Bool
	wake        chan struct{}

	mutex   sync.Mutex
	version basillift.Version
	// reached holds when each expected revision was reached.
	reached map[uint64]time.Time
	// awaited is the expected revision, or 0 after it was reached.
	awaited     uint64
	regressions []string
	stopped     bool
}

func newWatcher(v VM, c *client, fastPolling *atomic.Bool) *Watcher {
	return &Watcher{
		vm: v, client: c, fastPolling: fastPolling,
		wake: make(chan struct{}, 1), reached: map[uint64]time.Time{},
	}
}

// loop polls until ctx ends. Failed readings are ignored: an unreachable daemon is noticed
// where its version is awaited.
func (w *Watcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := w.client.version(ctx, w.vm)
		if err == nil {
			w.observe(time.Now(), version)
		}
		w.pause(ctx)
	}
}

func (w *Watcher) pause(ctx context.Context) {
	interval := pollInterval
	if w.fastPolling.Load() {
		interval = fastPollInterval
	}
	select {
	case <-time.After(interval):
	case <-w.wake:
	case <-ctx.Done():
	}
}

// observe records a reading.
func (w *Watcher) observe(now time.Time, v basillift.Version) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.version.NewerThan(v) {
		w.regressions = append(w.regressions, fmt.Sprintf("%s went from %s back to %s", w.vm.name, w.version, v))
	}
	w.version = v
	if w.awaited > 0 && v.Revision() >= w.awaited {
		w.reached[w.awaited] = now
		w.awaited = 0
	}
}

// expect sets the revision to wait for and starts a reading at once.
func (w *Watcher) expect(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.awaited = revision
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// reachedAt returns when an expected revision, or a later one, was first read; false means
// not yet.
func (w *Watcher) reachedAt(revision uint64) (time.Time, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	t, ok := w.reached[revision]
	return t, ok
}

// markStopped marks the daemon as killed or stopped, so that its version is no longer awaited.
func (w *Watcher) markStopped() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
}

func (w *Watcher) running() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.stopped
}

// versionRegressions returns descriptions of the observed version regressions.
func (w *Watcher) versionRegressions() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.regressions
}
