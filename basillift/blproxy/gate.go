package blproxy

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// tickEvery is how often waiting calls are checked; CoDel's target delay is 5 ms.
const tickEvery = 5 * time.Millisecond

// gate lets calls in to the target, in the order that bladmit decides.
type gate struct {
	mutex   sync.Mutex
	queue   *bladmit.Queue
	waiting map[uint64]chan bladmit.Action
	last    uint64
	wake    chan struct{}
}

func newGate(s bladmit.Settings) *gate {
	return &gate{
		queue:   bladmit.NewQueue(s),
		waiting: map[uint64]chan bladmit.Action{},
		wake:    make(chan struct{}, 1),
	}
}

// enter waits for a slot and returns its number, or the refusal. Each slot must be left.
func (g *gate) enter(now time.Time, k *call, class basillift.Class) (uint64, *refusal) {
	id, decided, mine := g.arrive(now, k, class)
	if mine == nil {
		return id, admission(decided)
	}
	select {
	case decided = <-mine:
		return id, admission(decided)
	case <-k.canceledChan():
	}
	if !g.cancel(time.Now(), id) {
		decided = <-mine
		if decided.Kind() == bladmit.ActionRun {
			g.leave(time.Now(), id)
		}
	}
	return id, refuse(basillift.OutcomeNotRun, basillift.ReasonCallerGone, "The caller hung up.")
}

// arrive returns the decision, or the channel on which it will come.
func (g *gate) arrive(now time.Time, k *call, class basillift.Class) (uint64, bladmit.Action, <-chan bladmit.Action) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.last++
	id, found := g.last, false
	var decided bladmit.Action
	for _, a := range g.queue.Arrive(now, bladmit.NewRequest(id, k.customer, class, k.deadline)) {
		if a.ID() == id {
			decided, found = a, true
			continue
		}
		g.deliver(a)
	}
	if found {
		return id, decided, nil
	}
	mine := make(chan bladmit.Action, 1)
	g.waiting[id] = mine
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return id, bladmit.Action{}, mine
}

// deliver wakes the call that an action concerns. Its channel has room for the one action.
func (g *gate) deliver(a bladmit.Action) {
	mine, ok := g.waiting[a.ID()]
	if ok {
		delete(g.waiting, a.ID())
		mine <- a
	}
}

// cancel reports whether the call was still waiting.
func (g *gate) cancel(now time.Time, id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Cancel(now, id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// leave gives the slot of a call to the next one.
func (g *gate) leave(now time.Time, id uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.queue.Finish(now, id) {
		g.deliver(a)
	}
}

// drain refuses the waiting calls and all later ones.
func (g *gate) drain(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.queue.Drain(now) {
		g.deliver(a)
	}
}

// load returns the calls that hold a slot and those that wait.
func (g *gate) load() (running, queued int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Running(), g.queue.Queued()
}

// loop refuses calls that waited too long. It sleeps while nothing waits.
func (g *gate) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		g.watch(ctx)
	}
}

func (g *gate) watch(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !g.tick(now) {
				return
			}
		}
	}
}

// tick reports whether calls are still waiting.
func (g *gate) tick(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.queue.Tick(now) {
		g.deliver(a)
	}
	return g.queue.Queued() > 0
}

// admission turns a decision of the queue into a refusal, or nil if the call may run.
func admission(a bladmit.Action) *refusal {
	if a.Kind() == bladmit.ActionRun {
		return nil
	}
	message := "The target has no room for the call."
	switch a.Reason() {
	case basillift.ReasonDeadline:
		message = "The call would have waited beyond its deadline."
	case basillift.ReasonDraining:
		message = "The target is leaving."
	}
	r := refuse(basillift.OutcomeNotRun, a.Reason(), message)
	r.retry = max(r.retry, a.RetryAfter())
	return r
}
