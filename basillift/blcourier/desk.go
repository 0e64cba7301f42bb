package blcourier

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
)

// absentFor is how long requests for an instance that the target is not are refused before one asks again: a
// target may start under the same name again, which takes some seconds.
const absentFor = 2 * time.Second

// downPause is how long requests are refused after the target refused a connection.
const downPause = 100 * time.Millisecond

// desk is the goal queue of the VM's own target, for the goroutines that wait in it.
type desk struct {
	mutex     sync.Mutex
	queue     *bladmit.GoalQueue
	origins   *bladmit.Origins
	waiting   map[uint64]chan struct{}
	next      uint64
	downUntil time.Time
	// absent is the instance that the target was asked for last and is not.
	absent      string
	absentUntil time.Time
}

func newDesk() *desk {
	return &desk{queue: bladmit.NewGoalQueue(defaultSlots), origins: bladmit.NewOrigins(), waiting: make(map[uint64]chan struct{})}
}

// enter waits for a slot. It returns the id of the slot, or why the request did not get one.
func (d *desk) enter(ctx context.Context, now time.Time, h hop) (id uint64, refusal *answer) {
	id, decision, started := d.arrive(now, h)
	switch decision.Verdict() {
	case bladmit.VerdictRun:
		return id, nil
	case bladmit.VerdictRefuse:
		return 0, notRun(decision.Reason(), decision.RetryAfter())
	}
	timer := time.NewTimer(decision.Until().Sub(now))
	defer timer.Stop()
	select {
	case <-started:
		return id, nil
	case <-timer.C:
		if d.withdraw(id) {
			return 0, notRun(basillift.ReasonOverload, d.retryAfter())
		}
	case <-ctx.Done():
		if d.withdraw(id) {
			return 0, notRun(basillift.ReasonCallerGone, 0)
		}
	}
	// The slot was given while the wait ended.
	return id, nil
}

func (d *desk) arrive(now time.Time, h hop) (uint64, bladmit.Decision, chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.downUntil.IsZero() && !now.Before(d.downUntil) {
		d.downUntil = time.Time{}
		d.queue.Close(basillift.ReasonNone)
	}
	d.next++
	id := d.next
	d.origins.Observe(h.lane, h.caller)
	o := bladmit.NewOffer(id, h.lane, h.rank, h.goal, h.deadline).WithObjective(h.objective).WithNested(d.origins.Nested(h.lane))
	decision := d.queue.Arrive(now, o)
	if decision.Verdict() != bladmit.VerdictWait {
		return id, decision, nil
	}
	started := make(chan struct{})
	d.waiting[id] = started
	return id, decision, started
}

// leave frees a slot. Observed is false if the request did not run to its end.
func (d *desk) leave(now time.Time, id uint64, observed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wake(d.queue.Finish(now, id, observed))
}

func (d *desk) wake(started []uint64) {
	for _, id := range started {
		close(d.waiting[id])
		delete(d.waiting, id)
	}
}

func (d *desk) withdraw(id uint64) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.queue.Withdraw(id) {
		return false
	}
	delete(d.waiting, id)
	return true
}

func (d *desk) retryAfter() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.queue.RetryAfter()
}

// down refuses requests for a moment: the target takes no connections.
func (d *desk) down(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.downUntil = now.Add(downPause)
	d.queue.Close(basillift.ReasonNoTarget)
}

// misdirected notes that the target is not an instance.
func (d *desk) misdirected(now time.Time, instance string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.absent, d.absentUntil = instance, now.Add(absentFor)
}

// lacks reports whether the target is known not to be an instance.
func (d *desk) lacks(now time.Time, instance string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return instance != "" && instance == d.absent && now.Before(d.absentUntil)
}

// setSlots takes the number of slots that the target says it has.
func (d *desk) setSlots(now time.Time, slots int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.wake(d.queue.SetSlots(now, slots))
}

func (d *desk) load() *basillift.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l := d.queue.Load()
	return &l
}
