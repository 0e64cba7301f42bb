package blforwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
)

// quarantine stops requests that crash targets, by the decisions of package blquarantine. The caller's daemon refuses those
// that are quarantined, and tells the target's daemon of those that are suspects. The target's daemon runs one suspect at a
// time.
type quarantine struct {
	mutex      sync.Mutex
	suspicions *blquarantine.SuspicionTable
	// active is set once a suspicion is known. Until then no fingerprints are computed.
	active atomic.Bool
	// running returns the fingerprints of the requests at the target.
	running func() []blquarantine.Fingerprint
	// suspect is the suspect that is at the target or waits for a slot there; nil if there is none.
	suspect *targetRun
	// changed is closed and replaced when a request at the target ends, if suspects wait for that.
	changed chan struct{}
	waiting int
}

func newQuarantine(running func() []blquarantine.Fingerprint) *quarantine {
	return &quarantine{suspicions: blquarantine.NewSuspicionTable(), running: running, changed: make(chan struct{})}
}

// suspicion returns the suspicion against a request; false if it is no suspect.
func (q *quarantine) suspicion(now time.Time, fingerprint func() blquarantine.Fingerprint) (blquarantine.Suspicion, bool) {
	if !q.active.Load() {
		return blquarantine.Suspicion{}, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.suspicions.Suspicion(now, fingerprint())
}

// refusal returns the answer to a request that is quarantined, and nil for any other.
func (q *quarantine) refusal(now time.Time, fingerprint func() blquarantine.Fingerprint) *answer {
	if !q.active.Load() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.quarantineAnswer(now, fingerprint())
}

func (q *quarantine) quarantineAnswer(now time.Time, fp blquarantine.Fingerprint) *answer {
	left := q.suspicions.QuarantineLeft(now, fp)
	if left == 0 {
		return nil
	}
	return notRunAnswer(basillift.ReasonQuarantined, left)
}

// enter waits until a request may be sent to the target: a suspect must not run beside another one. It returns a refusal if
// that would be later than latest, or if the request is quarantined. serviceTime is the mean service time of the target, by
// which enter estimates the wait behind other suspects; a request that would wait too long is refused at once.
func (q *quarantine) enter(ctx context.Context, now time.Time, run *targetRun, latest time.Time, serviceTime time.Duration) (refusal *answer) {
	refusal, changed := q.tryEnter(now, run)
	if refusal != nil || changed == nil {
		return refusal
	}
	expectedWait := time.Duration(q.countWaiting(1)) * serviceTime
	defer q.countWaiting(-1)
	timer := time.NewTimer(latest.Sub(now))
	defer timer.Stop()
	for {
		limitsChanged := run.accepted.changes()
		latest = run.accepted.latestStart(latest.Add(serviceTime), serviceTime)
		if now.Add(expectedWait).After(latest) {
			return notRunAnswer(basillift.ReasonOverload, expectedWait)
		}
		timer.Reset(latest.Sub(now))
		// A request may have ended before this one was counted as waiting.
		if refusal, changed = q.tryEnter(time.Now(), run); refusal != nil || changed == nil {
			return refusal
		}
		select {
		case <-changed:
		case <-limitsChanged:
		case <-timer.C:
			return notRunAnswer(basillift.ReasonOverload, 0)
		case <-ctx.Done():
			return notRunAnswer(canceledReason(ctx), 0)
		}
		now, expectedWait = time.Now(), 0
	}
}

// tryEnter lets a request pass if it may be sent to the target now. Otherwise it returns a refusal, or a channel that is
// closed when the request may try again.
func (q *quarantine) tryEnter(now time.Time, run *targetRun) (refusal *answer, changed <-chan struct{}) {
	if !q.active.Load() {
		return nil, nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	switch q.suspicions.Check(now, run.fingerprint()) {
	case blquarantine.DecisionQuarantine:
		return q.quarantineAnswer(now, run.fingerprint()), nil
	case blquarantine.DecisionRunAlone:
		if q.suspect == run {
			return nil, nil
		}
		if q.suspect != nil || !q.suspicions.MayRunAlone(now, q.running()) {
			return nil, q.changed
		}
		q.suspect = run
	}
	return nil, nil
}

// countWaiting changes the number of waiting suspects and returns it.
func (q *quarantine) countWaiting(change int) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting += change
	return q.waiting
}

// leave records that a request is no longer at the target.
func (q *quarantine) leave(run *targetRun) {
	if !q.active.Load() {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.suspect == run {
		q.suspect = nil
	}
	if q.waiting > 0 {
		close(q.changed)
		q.changed = make(chan struct{})
	}
}

// recordSuccess records that a request succeeded at the target. It returns the suspicion that this has changed, if any.
func (q *quarantine) recordSuccess(now time.Time, run *targetRun) []blquarantine.Suspicion {
	if !q.active.Load() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if s, changed := q.suspicions.RecordSuccess(now, run.fingerprint()); changed {
		return []blquarantine.Suspicion{s}
	}
	return nil
}

// recordCrash records that a crash of the target ended these requests. It returns the changed suspicions.
func (q *quarantine) recordCrash(now time.Time, ended []*targetRun) []blquarantine.Suspicion {
	fingerprints := make([]blquarantine.Fingerprint, 0, len(ended))
	for _, run := range ended {
		fingerprints = append(fingerprints, run.fingerprint())
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.active.Store(true)
	return q.suspicions.RecordCrash(now, fingerprints)
}

// merge adds suspicions of other daemons. It returns those that are new.
func (q *quarantine) merge(now time.Time, remote ...blquarantine.Suspicion) []blquarantine.Suspicion {
	if len(remote) == 0 {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.active.Store(true)
	return q.suspicions.Merge(now, remote)
}

// quarantines returns the suspicions that suffice for a quarantine, ordered by fingerprint.
func (q *quarantine) quarantines(now time.Time) []blquarantine.Suspicion {
	if !q.active.Load() {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return slices.DeleteFunc(q.suspicions.Snapshot(now), func(s blquarantine.Suspicion) bool { return !s.Quarantined() })
}
