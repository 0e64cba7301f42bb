package blforwarder

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// gate is a goal queue for the goroutines that wait in it.
type gate struct {
	mutex   sync.Mutex
	queue   *bladmit.DeadlineQueue
	waiting map[uint64]chan struct{}
	next    uint64
}

func newGate(slots int) gate {
	return gate{queue: bladmit.NewDeadlineQueue(slots), waiting: make(map[uint64]chan struct{})}
}

// enter waits for a slot. It returns the id of the slot, or why the offer did not get one.
func (g *gate) enter(ctx context.Context, now time.Time, offer func(id uint64) bladmit.SlotRequest) (id uint64, refusal *answer) {
	id, decision, started := g.ask(now, offer)
	switch decision.Result() {
	case bladmit.AdmissionRun:
		return id, nil
	case bladmit.AdmissionRefuse:
		return 0, notRun(decision.Reason(), decision.RetryAfter())
	}
	timer := time.NewTimer(decision.Until().Sub(now))
	defer timer.Stop()
	select {
	case <-started:
		return id, nil
	case <-timer.C:
		if g.withdraw(id) {
			return 0, notRun(basillift.ReasonOverload, g.retryAfter())
		}
	case <-ctx.Done():
		if g.withdraw(id) {
			return 0, notRun(basillift.ReasonCallerGone, 0)
		}
	}
	// The slot was given while the wait ended.
	return id, nil
}

func (g *gate) ask(now time.Time, offer func(id uint64) bladmit.SlotRequest) (uint64, bladmit.Admission, chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.next++
	id := g.next
	decision := g.queue.Arrive(now, offer(id))
	if decision.Result() != bladmit.AdmissionWait {
		return id, decision, nil
	}
	started := make(chan struct{})
	g.waiting[id] = started
	return id, decision, started
}

// leave frees a slot. Observed is false if the request did not hold it to its end.
func (g *gate) leave(now time.Time, id uint64, observed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.wake(g.queue.Finish(now, id, observed))
}

func (g *gate) wake(started []uint64) {
	for _, id := range started {
		close(g.waiting[id])
		delete(g.waiting, id)
	}
}

func (g *gate) withdraw(id uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.queue.Withdraw(id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

func (g *gate) retryAfter() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.RetryAfter()
}

func (g *gate) load() *basillift.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l := g.queue.Load()
	return &l
}
