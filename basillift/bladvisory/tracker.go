package bladvisory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"basillift.dev/basillift"
)

const (
	// minLimitTime is how long a limit holds at least after an answer named it. Answers cross each other on the way, so
	// that one without the limit may be older.
	minLimitTime = time.Second
	// reportLifetime is how long a limit that another daemon reported is used. A daemon that sends nothing to a target
	// would not learn otherwise that the limit has ended.
	reportLifetime = 5 * time.Second
	// minChange is by which fraction a limit has to change to be reported.
	minChange = 0.1
	// forgetAfter is how long a record is kept after the last answer.
	forgetAfter = 10 * time.Minute
)

// record is what one run of a target said about itself.
type record struct {
	startedAt time.Time
	// firsthand is set if the daemon beside the target read it in the target's own answers.
	firsthand bool
	seenAt    time.Time
	limitedAt time.Time
	limit     float64
	// leavingSince is when the target first said that it is leaving; zero if it did not. It holds for the whole run.
	leavingSince time.Time
}

// Tracker keeps the advisories of all targets. It is safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	records map[string]*record
	// limited is the number of records with a limit, so that a choice costs nothing while no target names one.
	limited atomic.Int64
	// leaving is the number of records of targets that are leaving.
	leaving atomic.Int64
}

// New returns a tracker without records.
func New() *Tracker { return &Tracker{records: make(map[string]*record)} }

// Observe records the advisory of an answer of the VM's own target. A limit ends with an answer that does not name it,
// but not within minLimitTime of the last one that does. changed reports whether the limit begins, ends or differs by more
// than minChange, and left whether the target says for the first time that it is leaving.
func (t *Tracker) Observe(now time.Time, e basillift.Endpoint, a basillift.Advisory) (changed, left bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.recordOf(e)
	r.firsthand, r.seenAt = true, now
	left = t.setLeaving(now, r, a)
	perSecond, limited := a.RequestLimit()
	if !limited && now.Sub(r.limitedAt) < minLimitTime {
		return false, left
	}
	before, wasLimited := r.limit, !r.limitedAt.IsZero()
	t.setLimit(now, r, perSecond, limited)
	return limited != wasLimited || math.Abs(perSecond-before) > minChange*before, left
}

// ObserveReport records what another daemon reported about a target. It is ignored once Observe was called for the same
// run of the target.
func (t *Tracker) ObserveReport(now time.Time, e basillift.Endpoint, a basillift.Advisory) {
	if a.Empty() && t.limited.Load() == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.recordOf(e)
	if r.firsthand {
		return
	}
	r.seenAt = now
	t.setLeaving(now, r, a)
	perSecond, limited := a.RequestLimit()
	t.setLimit(now, r, perSecond, limited)
}

// Limit returns the number of requests per second that a target accepts from all VMs together; false if no limit is known.
func (t *Tracker) Limit(now time.Time, e basillift.Endpoint) (perSecond float64, limited bool) {
	if t.limited.Load() == 0 {
		return 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.records[e.Instance()]
	if r == nil || r.limitedAt.IsZero() || r.endedBefore(e) || !r.firsthand && now.Sub(r.limitedAt) >= reportLifetime {
		return 0, false
	}
	return r.limit, true
}

// Leaving returns since when a target says that it is leaving; false if it does not. A target says so until it ends, so this
// does not expire before its record is forgotten.
func (t *Tracker) Leaving(e basillift.Endpoint) (since time.Time, leaving bool) {
	if t.leaving.Load() == 0 {
		return time.Time{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.records[e.Instance()]
	if r == nil || r.endedBefore(e) || r.leavingSince.IsZero() {
		return time.Time{}, false
	}
	return r.leavingSince, true
}

// Advisory returns what is known of a target, for a report to other daemons.
func (t *Tracker) Advisory(now time.Time, e basillift.Endpoint) basillift.Advisory {
	a := basillift.NewAdvisory()
	if perSecond, limited := t.Limit(now, e); limited {
		a = a.WithRequestLimit(perSecond)
	}
	if _, leaving := t.Leaving(e); leaving {
		a = a.WithLeaving()
	}
	return a
}

// Forget removes records of targets that have not answered for a long time.
func (t *Tracker) Forget(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for instance, r := range t.records {
		if now.Sub(r.seenAt) > forgetAfter {
			t.remove(instance, r)
		}
	}
}

// recordOf returns the record of the target's current run.
func (t *Tracker) recordOf(e basillift.Endpoint) *record {
	r := t.records[e.Instance()]
	if r != nil && !r.endedBefore(e) {
		return r
	}
	if r != nil {
		t.remove(e.Instance(), r)
	}
	r = &record{startedAt: e.StartedAt()}
	t.records[e.Instance()] = r
	return r
}

// endedBefore reports whether the target has started again since the run of this record.
func (r *record) endedBefore(e basillift.Endpoint) bool {
	return !r.startedAt.IsZero() && r.startedAt.Before(e.StartedAt())
}

func (t *Tracker) remove(instance string, r *record) {
	t.setLimit(time.Time{}, r, 0, false)
	if !r.leavingSince.IsZero() {
		t.leaving.Add(-1)
	}
	delete(t.records, instance)
}

// setLeaving reports whether the target says for the first time that it is leaving.
func (t *Tracker) setLeaving(now time.Time, r *record, a basillift.Advisory) (first bool) {
	if !a.Leaving() || !r.leavingSince.IsZero() {
		return false
	}
	t.leaving.Add(1)
	r.leavingSince = now
	return true
}

func (t *Tracker) setLimit(now time.Time, r *record, perSecond float64, limited bool) {
	if !r.limitedAt.IsZero() {
		t.limited.Add(-1)
	}
	r.limit, r.limitedAt = 0, time.Time{}
	if limited {
		t.limited.Add(1)
		r.limit, r.limitedAt = perSecond, now
	}
}
