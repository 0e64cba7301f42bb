package blquarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSuspicions is the maximum number of fingerprints in a table.
	maxSuspicions = 1024
	// suspicionLifetime is how long a suspicion or a quarantine lasts.
	suspicionLifetime = 10 * time.Minute
	// crashesToQuarantine is the number of crashes after which a request is quarantined.
	crashesToQuarantine = 2
	// successesToClear is the number of successes that clear a suspect. If one success
	// were enough, a request that crashes its target half of the time would seldom be
	// detected. If no number were, a path that many callers read would run one request
	// at a time for 10 min.
	successesToClear = 3
	// maxPropagationDelay is the longest expected time until a suspicion has reached
	// all daemons.
	maxPropagationDelay = 250 * time.Millisecond
	// maxFingerprintBodyBytes limits the part of the body that the fingerprint covers.
	maxFingerprintBodyBytes = 512 << 10
	// changeTimeTolerance is how much the times of one change may differ between daemons that have received it along
	// different ways.
	changeTimeTolerance = time.Second
)

// Fingerprint is a hash that is the same for requests that a target cannot tell apart.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// NewFingerprint returns the fingerprint of a request. service may be the host, where
// hosts select the service. It covers only the first 512 KB of the body.
func NewFingerprint(customer, service, method, path string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{customer, service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxFingerprintBodyBytes)])
	return Fingerprint(d.Sum64())
}

// Decision is whether and how a request may run.
type Decision string

// The decisions on a request: run it without restriction, run it only on a target
// with no other suspect in flight, or refuse it.
const (
	DecisionAllow      Decision = "free"
	DecisionRunAlone   Decision = "alone"
	DecisionQuarantine Decision = "quarantined"
)

// Suspicion is the record of the crashes that are attributed to one fingerprint.
type Suspicion struct {
	fingerprint Fingerprint
	crashes     int
	changedAt   time.Time
	successes   int // successes that this daemon saw since changedAt
}

// NewSuspicion returns a suspicion that was received from another daemon.
func NewSuspicion(fp Fingerprint, crashes int, changedAt time.Time) Suspicion {
	return Suspicion{fingerprint: fp, crashes: crashes, changedAt: changedAt}
}

// Fingerprint identifies the suspected request.
func (s Suspicion) Fingerprint() Fingerprint { return s.fingerprint }

// Crashes is the number of crashes attributed to the request. 0 means that the
// request was cleared.
func (s Suspicion) Crashes() int { return s.crashes }

// Quarantined reports whether the crashes suffice for a quarantine.
func (s Suspicion) Quarantined() bool { return s.crashes >= crashesToQuarantine }

// ChangedAt is the time of the latest crash, or of the success that cleared the request.
func (s Suspicion) ChangedAt() time.Time { return s.changedAt }

// SuspicionTable holds the suspicions that a daemon knows: its own and those of other
// daemons. It is not safe for concurrent use.
type SuspicionTable struct {
	suspicions map[Fingerprint]Suspicion
	brokenAt   map[Fingerprint]time.Time
	limit      int
}

// NewSuspicionTable returns an empty table for at most 1024 fingerprints.
func NewSuspicionTable() *SuspicionTable {
	return &SuspicionTable{
		suspicions: make(map[Fingerprint]Suspicion), brokenAt: make(map[Fingerprint]time.Time), limit: maxSuspicions,
	}
}

// Check returns whether and how a request may run.
func (t *SuspicionTable) Check(now time.Time, fp Fingerprint) Decision {
	s, known := t.suspicions[fp]
	switch {
	case !known || s.crashes == 0 || s.expired(now):
		return DecisionAllow
	case s.crashes >= crashesToQuarantine:
		return DecisionQuarantine
	default:
		return DecisionRunAlone
	}
}

// QuarantineLeft returns how much longer a request is quarantined; 0 if it is not.
func (t *SuspicionTable) QuarantineLeft(now time.Time, fp Fingerprint) time.Duration {
	s := t.suspicions[fp]
	if s.crashes < crashesToQuarantine {
		return 0
	}
	return max(0, suspicionLifetime-now.Sub(s.changedAt))
}

// Suspicion returns the suspicion against a request; false if it is neither a suspect nor quarantined.
func (t *SuspicionTable) Suspicion(now time.Time, fp Fingerprint) (Suspicion, bool) {
	s := t.suspicions[fp]
	return s, s.crashes > 0 && !s.expired(now)
}

// MayRunAlone reports whether a suspect may start on a target with these requests in
// flight. None of them may be a suspect, not even another copy of the same request.
func (t *SuspicionTable) MayRunAlone(now time.Time, inFlight []Fingerprint) bool {
	for _, fp := range inFlight {
		if t.Check(now, fp) != DecisionAllow {
			return false
		}
	}
	return true
}

// RecordBrokenCall records that a target crashed while it ran a request of this
// daemon. The caller's daemon knows this before it receives the suspicion from the
// target's daemon.
func (t *SuspicionTable) RecordBrokenCall(now time.Time, fp Fingerprint) {
	if len(t.brokenAt) >= t.limit {
		for o, at := range t.brokenAt {
			if now.Sub(at) >= maxPropagationDelay {
				delete(t.brokenAt, o)
			}
		}
	}
	t.brokenAt[fp] = now
}

// RetryDelay returns how long the caller's daemon has to delay the retry of a request
// whose target has just crashed. Without the delay, an immediate retry would reach the next
// target before the suspicion does.
func (t *SuspicionTable) RetryDelay(now time.Time, fp Fingerprint) time.Duration {
	at, known := t.brokenAt[fp]
	if !known {
		return 0
	}
	return max(0, maxPropagationDelay-now.Sub(at))
}

// RecordCrash records a crash with the given requests in flight and returns the
// changed suspicions, which must be sent to the other daemons. Several copies of a
// request in flight count once.
func (t *SuspicionTable) RecordCrash(now time.Time, inFlight []Fingerprint) []Suspicion {
	suspects := t.crashSuspects(now, inFlight)
	for i, fp := range suspects {
		t.store(now, Suspicion{fingerprint: fp, crashes: t.countCrash(now, fp, len(suspects)), changedAt: now})
		suspects[i] = fp
	}
	changed := make([]Suspicion, 0, len(suspects))
	for _, fp := range suspects {
		if s, stored := t.suspicions[fp]; stored {
			changed = append(changed, s)
		}
	}
	return changed
}

// crashSuspects returns the requests that a crash is attributed to: the suspects in
// flight, or all requests if none is a suspect.
func (t *SuspicionTable) crashSuspects(now time.Time, inFlight []Fingerprint) []Fingerprint {
	all := slices.Clone(inFlight)
	slices.Sort(all)
	all = slices.Compact(all)
	suspects := make([]Fingerprint, 0, len(all))
	for _, fp := range all {
		if t.Check(now, fp) != DecisionAllow {
			suspects = append(suspects, fp)
		}
	}
	if len(suspects) > 0 {
		return suspects
	}
	return all
}

// countCrash returns the crash count of a request after a crash with the given number
// of suspects. Beyond 1, the count rises only for a request that was the only suspect.
func (t *SuspicionTable) countCrash(now time.Time, fp Fingerprint, suspects int) int {
	before := t.suspicions[fp]
	if before.expired(now) {
		before.crashes = 0
	}
	if suspects > 1 {
		return max(1, before.crashes)
	}
	return before.crashes + 1
}

// RecordSuccess records that a request succeeded. If that clears the suspicion, it
// returns the changed suspicion, which must be sent to the other daemons, and true. A
// quarantine stays until it expires.
func (t *SuspicionTable) RecordSuccess(now time.Time, fp Fingerprint) (Suspicion, bool) {
	s, known := t.suspicions[fp]
	if !known || s.crashes == 0 || s.crashes >= crashesToQuarantine {
		return Suspicion{}, false
	}
	s.successes++
	if s.successes >= successesToClear {
		s.crashes, s.changedAt = 0, now
	}
	t.suspicions[fp] = s
	return s, s.crashes == 0
}

// Merge applies the suspicions of another daemon and returns those that changed the
// table. The later suspicion of a fingerprint replaces the earlier one, but a
// quarantine is not lifted before it expires.
func (t *SuspicionTable) Merge(now time.Time, remote []Suspicion) []Suspicion {
	var changed []Suspicion
	for _, s := range remote {
		if s.expired(now) || !t.supersedes(now, s) {
			continue
		}
		t.store(now, s)
		if _, stored := t.suspicions[s.fingerprint]; stored {
			changed = append(changed, s)
		}
	}
	return changed
}

// supersedes reports whether a remote suspicion replaces the local one. The crash
// counts are not added: two daemons may each have seen a crash with the request and
// others in flight, and the sum would quarantine a request that was never the only
// suspect.
func (t *SuspicionTable) supersedes(now time.Time, s Suspicion) bool {
	own, known := t.suspicions[s.fingerprint]
	later := s.changedAt.Sub(own.changedAt)
	switch {
	case !known || own.expired(now):
		return true
	case own.crashes >= crashesToQuarantine || s.crashes >= crashesToQuarantine:
		return s.crashes > own.crashes || s.crashes == own.crashes && later > changeTimeTolerance
	case s.crashes == 0 && own.crashes > 0:
		return later > 0
	default:
		// A relayed copy of the same crash seems to be a little later. It must not renew the suspicion, or undo that the
		// request was cleared.
		return later > changeTimeTolerance
	}
}

// Snapshot returns the suspicions that have not expired, sorted by fingerprint.
func (t *SuspicionTable) Snapshot(now time.Time) []Suspicion {
	all := make([]Suspicion, 0, len(t.suspicions))
	for _, s := range t.suspicions {
		if !s.expired(now) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(x, y Suspicion) int { return cmp.Compare(x.fingerprint, y.fingerprint) })
	return all
}

// store adds or replaces a suspicion. A full table evicts the suspicion with the
// fewest crashes, and the oldest among those. That may be the new one.
func (t *SuspicionTable) store(now time.Time, s Suspicion) {
	t.suspicions[s.fingerprint] = s
	if len(t.suspicions) <= t.limit {
		return
	}
	evicted := s
	for fp, o := range t.suspicions {
		if o.expired(now) {
			delete(t.suspicions, fp)
			continue
		}
		if cmp.Or(cmp.Compare(o.crashes, evicted.crashes), o.changedAt.Compare(evicted.changedAt), cmp.Compare(fp, evicted.fingerprint)) < 0 {
			evicted = o
		}
	}
	if len(t.suspicions) > t.limit {
		delete(t.suspicions, evicted.fingerprint)
	}
}

func (s Suspicion) expired(now time.Time) bool { return now.Sub(s.changedAt) > suspicionLifetime }
