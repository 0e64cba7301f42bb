package blforwarder

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// noRequestLimit is the limit of a target that names none, or is not cold.
const noRequestLimit = -1

// minDispatchDelay is added where the next start is due already by rounding.
const minDispatchDelay = time.Millisecond

// waitEnd says how the wait of a request for a slot ends.
type waitEnd string

const (
	waitStarted waitEnd = "started"
	// waitDisplaced is the end for a request that lost its place to others, and waitTooLong for one that must start earlier
	// than it can.
	waitDisplaced waitEnd = "displaced"
	waitTooLong   waitEnd = "too-long"
)

// note returns the note on the refusal of a request.
func (e waitEnd) note() admissionNote {
	if e == waitDisplaced {
		return admissionDisplaced
	}
	return admissionNoTime
}

// slotQueue lets goroutines wait for a slot in a deadline queue.
type slotQueue struct {
	mutex sync.Mutex
	queue *bladmit.DeadlineQueue
	// waiting holds a channel for each waiting request. It receives how the wait ends.
	waiting map[uint64]chan waitEnd
	lastID  uint64
	// requestLimit is the target's limit in requests per second; negative without a limit.
	requestLimit float64
	// coldLimit is the limit of a cold target in requests per second; negative without a limit.
	coldLimit float64
	// dispatchTimer starts the next request that the request limit delays; nil if there is none.
	dispatchTimer *time.Timer
}

func newSlotQueue(slots int) slotQueue {
	return slotQueue{queue: bladmit.NewDeadlineQueue(slots), waiting: make(map[uint64]chan waitEnd), requestLimit: noRequestLimit, coldLimit: noRequestLimit}
}

// acquire waits for a slot. It returns the slot's id, or the refusal. slotRequest is called again when the accepted
// request has to start or to be answered earlier.
func (sq *slotQueue) acquire(ctx context.Context, now time.Time, accepted *acceptedRequest, slotRequest func(id uint64) bladmit.SlotRequest) (id uint64, refusal *answer) {
	changed := accepted.changes()
	id, decision, ended := sq.enqueue(now, slotRequest)
	switch decision.Result() {
	case bladmit.AdmissionRun:
		return id, nil
	case bladmit.AdmissionRefuse:
		refusal = notRunAnswer(decision.Reason(), decision.RetryAfter())
		if decision.Reason() == basillift.ReasonOverload {
			refusal.admission = admissionNoTime
		}
		return 0, refusal
	}
	timer := time.NewTimer(decision.WaitUntil().Sub(now))
	defer timer.Stop()
	for {
		select {
		case end := <-ended:
			if end == waitStarted {
				return id, nil
			}
			return 0, overloadRefusal(end.note(), sq.retryAfter(time.Now(), slotRequest(id)))
		case <-changed:
			changed = accepted.changes()
			now = time.Now()
			if waitUntil, waits := sq.restrict(now, slotRequest(id)); waits {
				timer.Reset(waitUntil.Sub(now))
			}
		case <-timer.C:
			now = time.Now()
			waitUntil, refused := sq.expire(now, id)
			if refused {
				return 0, overloadRefusal(admissionNoTime, sq.retryAfter(now, slotRequest(id)))
			}
			if waitUntil.After(now) {
				timer.Reset(waitUntil.Sub(now))
			}
		case <-ctx.Done():
			if sq.withdraw(id) {
				return 0, notRunAnswer(canceledReason(ctx), 0)
			}
			// The wait ended otherwise meanwhile.
			ctx = context.WithoutCancel(ctx)
		}
	}
}

// restrict applies the earlier times of a waiting request. It returns until when the request waits; false if its wait has
// ended.
func (sq *slotQueue) restrict(now time.Time, r bladmit.SlotRequest) (waitUntil time.Time, waits bool) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	decision := sq.queue.Restrict(now, r)
	if decision.Result() == bladmit.AdmissionRefuse {
		sq.endWait(r.ID(), waitTooLong)
	}
	return decision.WaitUntil(), decision.Result() == bladmit.AdmissionWait
}

// enqueue adds a request to the queue. It returns the request's id and the decision of the queue: run, wait or refuse.
// The channel receives how the wait ends; nil if the decision is not to wait.
func (sq *slotQueue) enqueue(now time.Time, slotRequest func(id uint64) bladmit.SlotRequest) (uint64, bladmit.AdmissionDecision, chan waitEnd) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	sq.lastID++
	id := sq.lastID
	decision := sq.queue.Arrive(now, slotRequest(id))
	if decision.Result() != bladmit.AdmissionWait {
		return id, decision, nil
	}
	ended := make(chan waitEnd, 1)
	sq.waiting[id] = ended
	sq.notify(now, nil)
	return id, decision, ended
}

// release frees a slot. observed is false if the request did not run to its end, so that its service time must not be
// counted.
func (sq *slotQueue) release(now time.Time, id uint64, observed bool) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	sq.notify(now, sq.queue.Finish(now, id, observed))
}

// setRequestLimit sets how many requests per second the target accepts.
func (sq *slotQueue) setRequestLimit(now time.Time, perSecond float64, limited bool) {
	sq.setLimit(now, &sq.requestLimit, sq.queue.SetRequestLimit, perSecond, limited)
}

// setColdLimit sets how many requests per second the target gets because it is or may be cold.
func (sq *slotQueue) setColdLimit(now time.Time, perSecond float64, limited bool) {
	sq.setLimit(now, &sq.coldLimit, sq.queue.SetColdLimit, perSecond, limited)
}

// setLimit passes a limit on to the queue if it differs from the current one.
func (sq *slotQueue) setLimit(now time.Time, current *float64, set func(now time.Time, perSecond float64, limited bool) []uint64, perSecond float64, limited bool) {
	if !limited {
		perSecond = noRequestLimit
	}
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	if perSecond == *current {
		return
	}
	*current = perSecond
	sq.notify(now, set(now, perSecond, limited))
}

// notify tells waiting requests that they start, refuses those that cannot start in time any more, and sets the timer for
// the next start. It must be called after each change of the queue.
func (sq *slotQueue) notify(now time.Time, started []uint64) {
	for _, id := range started {
		sq.endWait(id, waitStarted)
	}
	for _, id := range sq.queue.RemoveUnservable(now) {
		sq.endWait(id, waitDisplaced)
	}
	if sq.dispatchTimer != nil {
		sq.dispatchTimer.Stop()
		sq.dispatchTimer = nil
	}
	if wait, limited := sq.queue.NextStart(now); limited {
		sq.dispatchTimer = time.AfterFunc(max(minDispatchDelay, wait), func() { sq.dispatch(time.Now()) })
	}
}

func (sq *slotQueue) endWait(id uint64, end waitEnd) {
	sq.waiting[id] <- end
	delete(sq.waiting, id)
}

func (sq *slotQueue) dispatch(now time.Time) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	sq.notify(now, sq.queue.Dispatch(now))
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

// expire ends the wait of a request whose time has run out. It returns until when the request waits if it has got a late
// place, and whether it is refused.
func (sq *slotQueue) expire(now time.Time, id uint64) (waitUntil time.Time, refused bool) {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	waitUntil, refused = sq.queue.Expire(now, id)
	if refused {
		delete(sq.waiting, id)
	}
	return waitUntil, refused
}

// noteStart returns the note of a request that has got its slot.
func (sq *slotQueue) noteStart(id uint64, lateAllowed bool) admissionNote {
	if !lateAllowed {
		return ""
	}
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	if sq.queue.HasLatePlace(id) {
		return admissionLate
	}
	return ""
}

func (sq *slotQueue) retryAfter(now time.Time, r bladmit.SlotRequest) time.Duration {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	return sq.queue.RetryAfter(now, r)
}

func (sq *slotQueue) load() basillift.Load {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	return sq.queue.Load()
}

func (sq *slotQueue) lateWaiting() int {
	sq.mutex.Lock()
	defer sq.mutex.Unlock()
	return sq.queue.LateWaiting()
}
