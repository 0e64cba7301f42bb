package blfollow

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

// Sink takes what the registry publishes.
type Sink interface {
	// Replace takes everything that the registry held at a revision.
	Replace(now time.Time, revision uint64, all []basillift.Publication)
	// Apply takes one change.
	Apply(now time.Time, p basillift.Publication)
	// Lost tells that the registry does not answer any more.
	Lost(now time.Time, err error)
	// Returned tells that the registry answers again. Cut means that it had been away for this daemon only, so
	// that it cannot have lost entries.
	Returned(now time.Time, cut bool)
}

// Follower asks the registry and hands what it learns to a sink. It implements basillift.Freshness.
type Follower struct {
	registry basillift.Registry
	sink     Sink

	// followed tells whether other daemons follow this one; nil for never.
	followed func(now time.Time) bool

	mutex sync.Mutex
	state *State
	// giveUp ends the wait for changes that is in progress.
	giveUp context.CancelFunc
}

// New returns a follower.
func New(r basillift.Registry, s Sink, rnd *rand.Rand) *Follower {
	return &Follower{registry: r, sink: s, state: NewState(time.Now(), rnd)}
}

// WhenFollowed sets what tells whether other daemons follow this one. It must be called before Run.
func (f *Follower) WhenFollowed(followed func(now time.Time) bool) { f.followed = followed }

// Run follows the registry until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
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

func (f *Follower) next(now time.Time) Step {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.followed != nil {
		f.state.SetFollowed(f.followed(now))
	}
	return f.state.Next(now)
}

// failed notes a failure, unless the wait was given up on purpose.
func (f *Follower) failed(now time.Time, err error) {
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

// Seen implements basillift.Freshness.
func (f *Follower) Seen() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Seen()
}

// Answered is when the registry answered last.
func (f *Follower) Answered() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.answered
}

// Hear implements basillift.Freshness.
func (f *Follower) Hear(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	if due, behind := f.state.Hear(now, revision); behind {
		time.AfterFunc(due.Sub(now), f.check)
	}
}

// check gives up a wait whose answer seems to be lost.
func (f *Follower) check() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.giveUp != nil && f.state.Overdue(time.Now()) {
		f.giveUp()
	}
}

func (f *Follower) ask(ctx context.Context, step Step) error {
	if step.Kind() == StepList {
		return f.list(ctx, step)
	}
	l, err := f.await(ctx, step)
	if err != nil {
		return err
	}
	now := time.Now()
	f.mutex.Lock()
	returned, cut := f.state.Changed(now, l), f.state.Cut()
	f.mutex.Unlock()
	f.greet(now, returned, cut)
	for _, p := range l.Publications() {
		f.sink.Apply(now, p)
	}
	return nil
}

func (f *Follower) list(ctx context.Context, step Step) error {
	l, err := f.registry.List(ctx, step.After())
	if err != nil {
		return fmt.Errorf("list registry: %w", err)
	}
	now := time.Now()
	f.mutex.Lock()
	all, complete, returned := f.state.Listed(now, l)
	cut, revision := f.state.Cut(), f.state.revision
	f.mutex.Unlock()
	f.greet(now, returned, cut)
	if complete {
		f.sink.Replace(now, revision, all)
	}
	return nil
}

// await waits for changes; check may give it up.
func (f *Follower) await(ctx context.Context, step Step) (basillift.Listing, error) {
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

func (f *Follower) greet(now time.Time, returned, cut bool) {
	if returned {
		f.sink.Returned(now, cut)
	}
}
