package blproxy

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// tickInterval is how often waiting calls are checked. The target delay of CoDel is 5 ms.
const tickInterval = 5 * time.Millisecond

// admissionQueue admits calls to the target in the order that bladmit decides.
type admissionQueue struct {
	mutex   sync.Mutex
	queue   *bladmit.Queue
	waiting map[uint64]chan bladmit.Action
	lastID  uint64
	wake    chan struct{}
}

func newAdmissionQueue(s bladmit.QueueSettings) *admissionQueue {
	return &admissionQueue{
		queue:   bladmit.NewQueue(s),
		waiting: map[uint64]chan bladmit.Action{},
		wake:    make(chan struct{}, 1),
	}
}

// acquire waits for a slot and returns its number, or the refusal. Each acquired slot must be
// released.
func (g *admissionQueue) acquire(now time.Time, k *call, class basillift.Class) (uint64, *refusal) {
	id, action, actions := g.enqueue(now, k, class)
	if actions == nil {
		return id, admissionRefusal(action)
	}
	select {
	case action = <-actions:
		return id, admissionRefusal(action)
	case <-k.canceledChan():
	}
	if !g.cancel(time.Now(), id) {
		action = <-actions
		if action.Kind() == bladmit.ActionRun {
			g.release(time.Now(), id)
		}
	}
	return id, refuse(basillift.OutcomeNotRun, basillift.ReasonCallerGone, "The caller hung up.")
}

// enqueue returns the decision, or the channel that will receive it.
func (g *admissionQueue) enqueue(now time.Time, k *call, class basillift.Class) (uint64, bladmit.Action, <-chan bladmit.Action) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lastID++
	id, found := g.lastID, false
	var action bladmit.Action
	for _, a := range g.queue.Arrive(now, bladmit.NewRequest(id, k.customer, class, k.deadline)) {
		if a.ID() == id {
			action, found = a, true
			continue
		}
		g.deliver(a)
	}
	if found {
		return id, action, nil
	}
	actions := make(chan bladmit.Action, 1)
	g.waiting[id] = actions
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return id, bladmit.Action{}, actions
}

// deliver sends an action to the waiting call that it concerns. The channel has room for this one
// action, so the send does not block.
func (g *admissionQueue) deliver(a bladmit.Action) {
	actions, ok := g.waiting[a.ID()]
	if ok {
		delete(g.waiting, a.ID())
		actions <- a
	}
}

// cancel reports whether the call was still waiting.
func (g *admissionQueue) cancel(now time.Time, id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Cancel(now, id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// release frees the slot of a call for the next one.
func (g *admissionQueue) release(now time.Time, id uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.queue.Finish(now, id) {
		g.deliver(a)
	}
}

// drain refuses the waiting calls and all later ones.
func (g *admissionQueue) drain(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.queue.Drain(now) {
		g.deliver(a)
	}
}

// load returns the number of calls that occupy a slot and the number that wait.
func (g *admissionQueue) load() (running, queued int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Running(), g.queue.Queued()
}

// loop refuses calls that waited too long. It blocks while no call waits.
func (g *admissionQueue) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		g.tickUntilEmpty(ctx)
	}
}

func (g *admissionQueue) tickUntilEmpty(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// tick applies the time limits and reports whether calls are still waiting.
func (g *admissionQueue) tick(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range g.queue.Tick(now) {
		g.deliver(a)
	}
	return g.queue.Queued() > 0
}

// admissionRefusal converts a decision of the queue into a refusal, or nil if the call may run.
func admissionRefusal(a bladmit.Action) *refusal {
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
	r.retryAfter = max(r.retryAfter, a.RetryAfter())
	return r
}
