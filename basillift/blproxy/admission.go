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
func (a *admissionQueue) acquire(now time.Time, k *call, class basillift.Class) (uint64, *refusal) {
	id, action, actions := a.enqueue(now, k, class)
	if actions == nil {
		return id, admissionRefusal(action)
	}
	select {
	case action = <-actions:
		return id, admissionRefusal(action)
	case <-k.canceledChan():
	}
	if !a.cancel(time.Now(), id) {
		action = <-actions
		if action.Kind() == bladmit.ActionRun {
			a.release(time.Now(), id)
		}
	}
	return id, refuse(basillift.OutcomeNotRun, basillift.ReasonCallerGone, "The caller hung up.")
}

// enqueue returns the decision, or the channel that will receive it.
func (a *admissionQueue) enqueue(now time.Time, k *call, class basillift.Class) (uint64, bladmit.Action, <-chan bladmit.Action) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastID++
	id, found := a.lastID, false
	var action bladmit.Action
	for _, next := range a.queue.Arrive(now, bladmit.NewRequest(id, k.customer, class, k.deadline)) {
		if next.ID() == id {
			action, found = next, true
			continue
		}
		a.deliver(next)
	}
	if found {
		return id, action, nil
	}
	actions := make(chan bladmit.Action, 1)
	a.waiting[id] = actions
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return id, bladmit.Action{}, actions
}

// deliver sends an action to the waiting call that it concerns. The channel has room for this one
// action, so the send does not block.
func (a *admissionQueue) deliver(action bladmit.Action) {
	actions, ok := a.waiting[action.ID()]
	if ok {
		delete(a.waiting, action.ID())
		actions <- action
	}
}

// cancel reports whether the call was still waiting.
func (a *admissionQueue) cancel(now time.Time, id uint64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.queue.Cancel(now, id) {
		return false
	}
	delete(a.waiting, id)
	return true
}

// release frees the slot of a call for the next one.
func (a *admissionQueue) release(now time.Time, id uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, action := range a.queue.Finish(now, id) {
		a.deliver(action)
	}
}

// drain refuses the waiting calls and all later ones.
func (a *admissionQueue) drain(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, action := range a.queue.Drain(now) {
		a.deliver(action)
	}
}

// load returns the number of calls that occupy a slot and the number that wait.
func (a *admissionQueue) load() (running, queued int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.queue.Running(), a.queue.Queued()
}

// loop refuses calls that waited too long. It blocks while no call waits.
func (a *admissionQueue) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		a.tickUntilEmpty(ctx)
	}
}

func (a *admissionQueue) tickUntilEmpty(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !a.tick(now) {
				return
			}
		}
	}
}

// tick applies the time limits and reports whether calls are still waiting.
func (a *admissionQueue) tick(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, action := range a.queue.Tick(now) {
		a.deliver(action)
	}
	return a.queue.Queued() > 0
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
