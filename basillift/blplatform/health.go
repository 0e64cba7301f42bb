package blplatform

import (
	"errors"
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Condition says what a reader can expect of the platform.
type Condition string

// The conditions.
const (
	ConditionOK Condition = "ok"
	// ConditionUnreachable means that reads fail.
	ConditionUnreachable Condition = "unreachable"
	// ConditionBudget means that reads are refused because all readers together read too much.
	ConditionBudget Condition = "budget"
	// ConditionMissing means that a list has no value.
	ConditionMissing Condition = "missing"
	// ConditionStale means that answers are older than earlier ones. A replica that lags and
	// a store that was restored from a backup look alike at first.
	ConditionStale Condition = "stale"
	// ConditionBack means that the store's numbering went back for certain: a key's mod is
	// lower than before at a store revision that is not. Operators must raise the epoch.
	ConditionBack Condition = "back"
)

const (
	// Backoff starts at the time in which a restarted platform answers again, and ends
	// low enough that a change is read within seconds after an outage of any length.
	leastWait = 100 * time.Millisecond
	mostWait  = 5 * time.Second
	// A refused read starts higher: the budget is per second, and reading sooner costs budget again.
	leastBudgetWait = time.Second
	mostBudgetWait  = 10 * time.Second
)

// Advice is what a reader does next.
type Advice struct {
	condition Condition
	wait      time.Duration
}

// Condition is the platform's condition.
func (a Advice) Condition() Condition { return a.condition }

// Wait is how long to wait before the next read or watch.
func (a Advice) Wait() time.Duration { return a.wait }

// Health decides how a reader paces its reads, from the answers it got. It is
// not safe for concurrent use.
type Health struct {
	random    *rand.Rand
	condition Condition
	since     time.Time
	answered  time.Time
	failures  int
	store     uint64
	mods      map[string]uint64
	epoch     uint64
}

// NewHealth returns the state of a reader that has not read yet. Random spreads the readers' retries.
func NewHealth(now time.Time, random *rand.Rand) *Health {
	return &Health{
		random: random, condition: ConditionOK, since: now, answered: now,
		mods: make(map[string]uint64),
	}
}

// Condition is the platform's condition.
func (h *Health) Condition() Condition { return h.condition }

// Lasted is how long the condition has held.
func (h *Health) Lasted(now time.Time) time.Duration { return now.Sub(h.since) }

// Silent is how long ago the last answer came that was not older than earlier ones.
func (h *Health) Silent(now time.Time) time.Duration { return now.Sub(h.answered) }

// Adopted tells of the version in force, also of one that came from a peer. The
// platform's numbering is expected to have reached its revision. A higher epoch
// starts the numbering anew.
func (h *Health) Adopted(v basillift.Version) {
	if v.Epoch() > h.epoch {
		h.epoch = v.Epoch()
		h.store = v.Revision()
		clear(h.mods)
		return
	}
	h.store = max(h.store, v.Revision())
}

// Answered takes the answer of a read or watch.
func (h *Health) Answered(now time.Time, v basillift.Value) Advice {
	condition := h.judge(v)
	h.enter(now, condition)
	if condition != ConditionOK {
		// A watch for a newer mod returns an older one at once, so an unpaced reader would spin.
		return h.retry(leastWait, mostWait)
	}
	h.answered = now
	h.failures = 0
	h.store = max(h.store, v.StoreRevision())
	h.mods[v.Key()] = v.ModRevision()
	return Advice{condition: ConditionOK}
}

func (h *Health) judge(v basillift.Value) Condition {
	switch {
	case v.StoreRevision() < h.store:
		return ConditionStale
	case v.ModRevision() < h.mods[v.Key()]:
		return ConditionBack
	default:
		return ConditionOK
	}
}

// Failed takes the error of a read, a watch or ReadCut.
func (h *Health) Failed(now time.Time, err error) Advice {
	switch {
	case errors.Is(err, ErrBudget):
		h.enter(now, ConditionBudget)
		return h.retry(leastBudgetWait, mostBudgetWait)
	case errors.Is(err, basillift.ErrNotFound):
		h.enter(now, ConditionMissing)
	case errors.Is(err, bllist.ErrInconsistent), errors.Is(err, basillift.ErrRefused):
		// The platform answers; the lists change or are invalid.
		h.enter(now, ConditionOK)
	default:
		h.enter(now, ConditionUnreachable)
	}
	return h.retry(leastWait, mostWait)
}

func (h *Health) enter(now time.Time, c Condition) {
	if h.condition == c {
		return
	}
	h.condition, h.since = c, now
}

// retry doubles the wait with each failure in a row and spreads it over its upper half.
func (h *Health) retry(least, most time.Duration) Advice {
	wait := least << min(h.failures, 10)
	wait = min(wait, most)
	h.failures++
	half := wait / 2
	return Advice{condition: h.condition, wait: half + time.Duration(h.random.Int63n(int64(half)+1))}
}
