package blfollow

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blwait"
)

// Sink takes what the registry publishes.
type Sink interface {
	// Replace takes everything that the registry holds.
	Replace(now time.Time, all []basillift.Publication)
	// Apply takes one change.
	Apply(now time.Time, p basillift.Publication)
	// Lost tells that the registry does not answer any more.
	Lost(now time.Time, err error)
	// Returned tells that the registry answers again.
	Returned(now time.Time)
}

// Follower asks the registry and hands what it learns to a sink.
type Follower struct {
	registry basillift.Registry
	sink     Sink
	rnd      *rand.Rand
}

// New returns a follower.
func New(r basillift.Registry, s Sink, rnd *rand.Rand) *Follower {
	return &Follower{registry: r, sink: s, rnd: rnd}
}

// Run follows the registry until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	state := NewState(time.Now(), f.rnd)
	for {
		step := state.Next(time.Now())
		if step.Pause() > 0 && !blwait.For(ctx, step.Pause()) || ctx.Err() != nil {
			return nil
		}
		if err := f.ask(ctx, state, step); err != nil && ctx.Err() == nil {
			if now := time.Now(); state.Failed(now, err) {
				f.sink.Lost(now, err)
			}
		}
	}
}

func (f *Follower) ask(ctx context.Context, s *State, step Step) error {
	if step.Kind() == StepList {
		l, err := f.registry.List(ctx, step.After())
		if err != nil {
			return fmt.Errorf("list registry: %w", err)
		}
		now := time.Now()
		all, complete, returned := s.Listed(now, l)
		f.greet(now, returned)
		if complete {
			f.sink.Replace(now, all)
		}
		return nil
	}
	l, err := f.registry.Changes(ctx, step.Revision(), step.Wait())
	if err != nil {
		return fmt.Errorf("wait for changes: %w", err)
	}
	now := time.Now()
	f.greet(now, s.Changed(now, l))
	for _, p := range l.Publications() {
		f.sink.Apply(now, p)
	}
	return nil
}

func (f *Follower) greet(now time.Time, returned bool) {
	if returned {
		f.sink.Returned(now)
	}
}
