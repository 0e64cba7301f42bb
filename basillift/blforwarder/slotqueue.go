package blforwarder

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// slotQueue lets goroutines wait for a slot in a deadline queue.
type slotQueue struct {
	mutex   sync.Mutex
	queue   *bladmit.DeadlineQueue
	waiting map[uint64]chan struct{}
	lastID  uint64
}

func newSlotQueue(slots int) slotQueue {
	return slotQueue{queue: bladmit.NewDeadlineQueue(slots), waiting: make(map[uint64]chan struct{})}
}

// acquire waits for a slot. It returns the slot's id, or the refusal.
func (sq *slotQueue) acquire(ctx context.Context, now time.Time, slotRequest func(id uint64) bladmit.SlotRequest) (id uint64, refusal *answer) {
	id, decision, started := sq.enqueue(now, slotRequest)
	switch decision.Result() {
	case bladmit.AdmissionRun:
		return id, nil
	case bladmit.AdmissionRefuse:
		return 0, notRunAnswer(decision.Reason(), decision.RetryAfter())
	}
	timer := time.NewTimer(decision.WaitUntil().Sub(now))
	defer timer.Stop()
	select {
	case <-started:
		return id, nil
	case <-timer.C:
		if sq.withdraw(id) {
			return 0, notRunAnswer(basillift.ReasonOverload, sq.retryAfter())
		}
	case <-ctx.Done():
		if sq.withdraw(id) {
			return 0, notRunAnswer(basillift.ReasonCallerGone, 0)
		}
	}
	// The slot was assigned while the wait ended.
	return id, nil
}

// enqueue adds a request to the queue. It returns the request's id and the decision of the queue: run, wait or refuse.
// The channel is closed when a waiting request gets its slot; nil if the decision is not to wait.
func (sq *slotQueue) enqueue(now time.Time, slotRequest func(id uint64) bladmit.SlotRequest) (uint64, bladmit.AdmissionDecision, chan struct{}) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	sq.lastID++
	id := sq.lastID
	decision := sq.queue.Arrive(now, slotRequest(id))
	if decision.Result() != bladmit.AdmissionWait {
		return id, decision, nil
	}
	started := make(chan struct{})
	sq.waiting[id] = started
	return id, decision, started
}

// release frees a slot. observed is false if the request did not run to its end, so that its service time must not be
// counted.
func (sq *slotQueue) release(now time.Time, id uint64, observed bool) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	sq.notify(sq.queue.Finish(now, id, observed))
}

func (sq *slotQueue) notify(started []uint64) {
	for _, id := range started {
		close(sq.waiting[id])
		delete(sq.waiting, id)
	}
}

func (sq *slotQueue) withdraw(id uint64) bool {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	if !sq.queue.Withdraw(id) {
		return false
	}
	delete(sq.waiting, id)
	return true
}

func (sq *slotQueue) retryAfter() time.Duration {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	return sq.queue.RetryAfter()
}

func (sq *slotQueue) load() *basillift.Load {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	l := sq.queue.Load()
	return &l
}
