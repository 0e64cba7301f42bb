package blwatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blwait"
)

var errGaveUp = eris.New("answer seems to be lost")

// Handler takes what the registry publishes.
type Handler interface {
	// Replace takes everything that the registry held at a revision.
	Replace(now time.Time, revision uint64, all []basillift.RegistryEntry)
	// Apply takes one change.
	Apply(now time.Time, p basillift.RegistryEntry)
	// Lost tells that the registry does not answer any more.
	Lost(now time.Time, err error)
	// Returned tells that the registry answers again. Cut means that it had been away for this daemon only, so
	// that it cannot have lost entries.
	Returned(now time.Time, cut bool)
}

// Watcher asks the registry and hands what it learns to a Handler. It implements basillift.RevisionGossip.
type Watcher struct {
	registry basillift.Registry
	sink     Handler

	// followed tells whether other daemons follow this one; nil for never.
	followed func(now time.Time) bool

	mutex sync.Mutex
	state *WatchState
	// giveUp ends the wait for changes that is in progress.
	giveUp context.CancelFunc
}

// New returns a follower.
func New(r basillift.Registry, s Handler, rnd *rand.Rand) *Watcher {
	return &Watcher{registry: r, sink: s, state: NewWatchState(time.Now(), rnd)}
}

// SetHasFollowers sets what tells whether other daemons follow this one. It must be called before Run.
func (f *Watcher) SetHasFollowers(followed func(now time.Time) bool) { f.followed = followed }

// Run follows the registry until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	for {
		step := f.next(time.Now())
		if step.Pause() > 0 && !blwait.For(ctx, step.Pause()) || ctx.Err() != nil {
			return nil
		}
		if err := f.ask(ctx, step); err != nil && ctx.Err() == nil {
			f.failed(time.Now(), err)
		}
	}
}

func (f *Watcher) next(now time.Time) Operation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.followed != nil {
		f.state.SetFollowed(f.followed(now))
	}
	return f.state.Next(now)
}

// failed notes a failure, unless the wait was given up on purpose.
func (f *Watcher) failed(now time.Time, err error) {
	f.mutex.Lock()
	if errors.Is(err, errGaveUp) {
		f.state.GaveUp()
		f.mutex.Unlock()
		return
	}
	lost := f.state.Failed(now, err)
	f.mutex.Unlock()
	if lost {
		f.sink.Lost(now, err)
	}
}

// NewestRevision implements basillift.RevisionGossip.
func (f *Watcher) NewestRevision() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.NewestRevision()
}

// Answered is when the registry answered last.
func (f *Watcher) Answered() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.answered
}

// ObserveRevision implements basillift.RevisionGossip.
func (f *Watcher) ObserveRevision(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if due, behind := f.state.ObserveRevision(now, revision); behind {
		time.AfterFunc(due.Sub(now), f.check)
	}
}

// check gives up a wait whose answer seems to be lost.
func (f *Watcher) check() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.giveUp != nil && f.state.Overdue(time.Now()) {
		f.giveUp()
	}
}

func (f *Watcher) ask(ctx context.Context, step Operation) error {
	if step.Kind() == OperationList {
		return f.list(ctx, step)
	}
	l, err := f.await(ctx, step)
	if err != nil {
		return err
	}
	now := time.Now()
	f.mutex.Lock()
	returned, cut := f.state.Changed(now, l), f.state.Partitioned()
	f.mutex.Unlock()
	f.greet(now, returned, cut)
	for _, p := range l.Entries() {
		f.sink.Apply(now, p)
	}
	return nil
}

func (f *Watcher) list(ctx context.Context, step Operation) error {
	l, err := f.registry.List(ctx, step.After())
	if err != nil {
		return fmt.Errorf("list registry: %w", err)
	}
	now := time.Now()
	f.mutex.Lock()
	all, complete, returned := f.state.Listed(now, l)
	cut, revision := f.state.Partitioned(), f.state.revision
	f.mutex.Unlock()
	f.greet(now, returned, cut)
	if complete {
		f.sink.Replace(now, revision, all)
	}
	return nil
}

// await waits for changes; check may give it up.
func (f *Watcher) await(ctx context.Context, step Operation) (basillift.RegistryPage, error) {
	waiting, giveUp := context.WithCancel(ctx)
	defer giveUp()
	f.mutex.Lock()
	f.giveUp = giveUp
	f.mutex.Unlock()
	l, err := f.registry.Changes(waiting, step.Revision(), step.Wait())
	f.mutex.Lock()
	f.giveUp = nil
	f.mutex.Unlock()
	switch {
	case err != nil && waiting.Err() != nil && ctx.Err() == nil:
		return l, fmt.Errorf("wait for changes: %w", errGaveUp)
	case err != nil:
		return l, fmt.Errorf("wait for changes: %w", err)
	}
	return l, nil
}

func (f *Watcher) greet(now time.Time, returned, cut bool) {
	if returned {
		f.sink.Returned(now, cut)
	}
}
