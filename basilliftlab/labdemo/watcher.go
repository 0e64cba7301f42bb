package labdemo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"basillift.dev/basillift"
)

// The pauses between two readings of a daemon's version. The short one bounds
// the error of a measured convergence; it is used only while an edit spreads, as
// it loads the machine.
const (
	calmPause  = 250 * time.Millisecond
	eagerPause = 2 * time.Millisecond
)

// Watcher reads the version in force of one daemon, over and over. One loop for
// each daemon keeps the readings in order, so that a lower reading is a step back.
type Watcher struct {
	vm     VM
	client *client
	eager  *atomic.Bool
	nudge  chan struct{}

	lock    sync.Mutex
	version basillift.Version
	arrived map[uint64]time.Time
	wanted  uint64
	back    []string
	ended   bool
}

func newWatcher(v VM, c *client, eager *atomic.Bool) *Watcher {
	return &Watcher{
		vm: v, client: c, eager: eager,
		nudge: make(chan struct{}, 1), arrived: map[uint64]time.Time{},
	}
}

// loop reads until ctx ends. A daemon that does not answer is read again; its
// absence is noticed where its version is waited for.
func (w *Watcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := w.client.version(ctx, w.vm)
		if err == nil {
			w.seen(time.Now(), version)
		}
		w.pause(ctx)
	}
}

func (w *Watcher) pause(ctx context.Context) {
	pause := calmPause
	if w.eager.Load() {
		pause = eagerPause
	}
	select {
	case <-time.After(pause):
	case <-w.nudge:
	case <-ctx.Done():
	}
}

// seen takes one reading.
func (w *Watcher) seen(now time.Time, v basillift.Version) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.version.NewerThan(v) {
		w.back = append(w.back, fmt.Sprintf("%s went from %s back to %s", w.vm.name, w.version, v))
	}
	w.version = v
	if w.wanted > 0 && v.Revision() >= w.wanted {
		w.arrived[w.wanted] = now
		w.wanted = 0
	}
}

// want begins to wait for a revision.
func (w *Watcher) want(revision uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.wanted = revision
	select {
	case w.nudge <- struct{}{}:
	default:
	}
}

// at returns when a revision was first read.
func (w *Watcher) at(revision uint64) (time.Time, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	t, ok := w.arrived[revision]
	return t, ok
}

// end marks a daemon that was killed or stopped, whose version is no longer waited for.
func (w *Watcher) end() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ended = true
}

func (w *Watcher) live() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return !w.ended
}

// steps returns the steps back that were seen.
func (w *Watcher) steps() []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.back
}
