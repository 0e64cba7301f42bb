package blplatform

import (
	"errors"
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Condition is the state of the platform as observed by a reader.
type Condition string

// Conditions of the platform.
const (
	// ConditionOK means that the last response was valid and up to date, also if the lists
	// in it are invalid or changed during the reads.
	ConditionOK Condition = "ok"
	// ConditionUnreachable means that reads fail.
	ConditionUnreachable Condition = "unreachable"
	// ConditionBudgetExhausted means that the platform refuses reads because the shared
	// read budget of all readers is exhausted.
	ConditionBudgetExhausted Condition = "budget"
	// ConditionListMissing means that a list has no value.
	ConditionListMissing Condition = "missing"
	// ConditionStale means that the store revision is lower than an earlier one, or lower
	// than the revision of the adopted version. The cause is a lagging replica or a store
	// that was restored from a backup. The two cannot be distinguished at first.
	ConditionStale Condition = "stale"
	// ConditionRevisionDecreased means that the store was certainly reset to lower revisions:
	// the modification revision of a key has decreased although the store revision has not.
	// Operators must raise the epoch.
	ConditionRevisionDecreased Condition = "back"
)

const (
	// minBackoff is about the time in which a restarted platform responds again.
	// maxBackoff is low enough that a change is read within seconds after an outage of
	// any length.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// minBudgetBackoff and maxBudgetBackoff apply after an exhausted budget. The minimum
	// is higher: the budget is per second, and an earlier read would consume more of it.
	minBudgetBackoff = time.Second
	maxBudgetBackoff = 10 * time.Second
)

// Advice tells a reader how long to wait before its next request.
type Advice struct {
	condition Condition
	wait      time.Duration
}

// Condition returns the condition of the platform.
func (a Advice) Condition() Condition { return a.condition }

// Wait returns how long to wait before the next read or watch. It is 0 after an
// up-to-date response.
func (a Advice) Wait() time.Duration { return a.wait }

// Health tracks the condition of the platform from the responses to a reader, and
// determines the delay before the next request. It is not safe for concurrent use.
type Health struct {
	random     *rand.Rand
	condition  Condition
	since      time.Time
	lastAnswer time.Time
	failures   int
	// storeRevision is the largest known store revision of the epoch, and modRevisions
	// holds the last modification revision of each key.
	storeRevision uint64
	modRevisions  map[string]uint64
	epoch         uint64
}

// NewHealth returns the state of a reader before its first read. The random source adds
// jitter, so that readers do not retry at the same time.
func NewHealth(now time.Time, random *rand.Rand) *Health {
	return &Health{
		random: random, condition: ConditionOK, since: now, lastAnswer: now,
		modRevisions: make(map[string]uint64),
	}
}

// Condition returns the condition of the platform after the last response or error.
func (h *Health) Condition() Condition { return h.condition }

// ConditionAge returns the time since the condition last changed.
func (h *Health) ConditionAge(now time.Time) time.Duration { return now.Sub(h.since) }

// ResponseAge returns the time since the last up-to-date response, or since NewHealth if
// there was none.
func (h *Health) ResponseAge(now time.Time) time.Duration { return now.Sub(h.lastAnswer) }

// RecordVersion records the current version of the daemon, whether it came from the platform or
// from a peer. Responses with a store revision below that version's revision are then
// stale. A version with a higher epoch discards the revisions of earlier epochs.
func (h *Health) RecordVersion(v basillift.Version) {
	if v.Epoch() > h.epoch {
		h.epoch = v.Epoch()
		h.storeRevision = v.Revision()
		clear(h.modRevisions)
		return
	}
	h.storeRevision = max(h.storeRevision, v.Revision())
}

// RecordResponse records the response to a read or watch.
func (h *Health) RecordResponse(now time.Time, v basillift.Value) Advice {
	condition := h.classify(v)
	h.setCondition(now, condition)
	if condition != ConditionOK {
		// A watch returns an older modification revision immediately, so a reader without
		// a delay would loop without pause.
		return h.backoff(minBackoff, maxBackoff)
	}
	h.lastAnswer = now
	h.failures = 0
	h.storeRevision = max(h.storeRevision, v.StoreRevision())
	h.modRevisions[v.Key()] = v.ModRevision()
	return Advice{condition: ConditionOK}
}

func (h *Health) classify(v basillift.Value) Condition {
	switch {
	case v.StoreRevision() < h.storeRevision:
		return ConditionStale
	case v.ModRevision() < h.modRevisions[v.Key()]:
		return ConditionRevisionDecreased
	default:
		return ConditionOK
	}
}

// RecordError records the error of a read, a watch or ReadLists.
func (h *Health) RecordError(now time.Time, err error) Advice {
	switch {
	case errors.Is(err, ErrBudget):
		h.setCondition(now, ConditionBudgetExhausted)
		return h.backoff(minBudgetBackoff, maxBudgetBackoff)
	case errors.Is(err, basillift.ErrNotFound):
		h.setCondition(now, ConditionListMissing)
	case errors.Is(err, bllist.ErrInconsistent), errors.Is(err, basillift.ErrRefused):
		// The platform responds, but the lists keep changing or are invalid.
		h.setCondition(now, ConditionOK)
	default:
		h.setCondition(now, ConditionUnreachable)
	}
	return h.backoff(minBackoff, maxBackoff)
}

func (h *Health) setCondition(now time.Time, c Condition) {
	if h.condition == c {
		return
	}
	h.condition, h.since = c, now
}

// backoff returns an exponential backoff: the wait doubles with each consecutive failure
// up to maxWait, and jitter places it in the upper half of that time.
func (h *Health) backoff(minWait, maxWait time.Duration) Advice {
	wait := minWait << min(h.failures, 10)
	wait = min(wait, maxWait)
	h.failures++
	half := wait / 2
	return Advice{condition: h.condition, wait: half + time.Duration(h.random.Int63n(int64(half)+1))}
}
