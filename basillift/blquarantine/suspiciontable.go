package blquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// capacity is the number of fingerprints that a board holds.
	capacity = 1024
	// lifetime is how long a suspicion or a quarantine lasts.
	lifetime = 10 * time.Minute
	// condemned is the number of crashes after which a request is quarantined.
	condemned = 2
	// cleanEnds is the number of good ends after which a suspicion is dropped. With
	// one, a request that crashes its target half of the time is seldom caught;
	// with none, a path that many callers read would run one at a time for 10 min.
	cleanEnds = 3
	// spreadTime is how long a suspicion may take to reach all daemons.
	spreadTime = 250 * time.Millisecond
	// bodyLimit is how much of the body counts for the fingerprint, in bytes.
	bodyLimit = 64 << 10
)

// Fingerprint identifies requests that are the same to a target.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request; only the first 64 KB of the
// body count.
func NewFingerprint(customer, service, method, path string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{customer, service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), bodyLimit)])
	return Fingerprint(d.Sum64())
}

// Decision says how a request may run.
type Decision string

// The verdicts on a request.
const (
	DecisionAllow      Decision = "free"
	DecisionRunAlone   Decision = "alone"
	DecisionQuarantine Decision = "quarantined"
)

// Suspicion is what is held against one fingerprint. Crashes counts the crashes
// that are put down to it, and last is the latest of them.
type Suspicion struct {
	fingerprint Fingerprint
	crashes     int
	last        time.Time
	clean       int // good ends seen by this daemon since then
}

// NewSuspicion returns a suspicion, for decoding.
func NewSuspicion(fp Fingerprint, crashes int, last time.Time) Suspicion {
	return Suspicion{fingerprint: fp, crashes: crashes, last: last}
}

// Fingerprint is the request.
func (s Suspicion) Fingerprint() Fingerprint { return s.fingerprint }

// Crashes is the number of crashes put down to the request; 0 means that it ended
// well since.
func (s Suspicion) Crashes() int { return s.crashes }

// Last is when the suspicion changed.
func (s Suspicion) Last() time.Time { return s.last }

// SuspicionTable holds the suspicions that a daemon knows. It is not safe for concurrent use.
type SuspicionTable struct {
	suspicions map[Fingerprint]Suspicion
	broken     map[Fingerprint]time.Time
	limit      int
}

// NewSuspicionTable returns an empty table.
func NewSuspicionTable() *SuspicionTable {
	return &SuspicionTable{
		suspicions: make(map[Fingerprint]Suspicion), broken: make(map[Fingerprint]time.Time), limit: capacity,
	}
}

// Check says how a request may run.
func (b *SuspicionTable) Check(now time.Time, fp Fingerprint) Decision {
	s, known := b.suspicions[fp]
	switch {
	case !known || s.crashes == 0 || s.expired(now):
		return DecisionAllow
	case s.crashes >= condemned:
		return DecisionQuarantine
	default:
		return DecisionRunAlone
	}
}

// Alone reports whether a suspect may start at a target with these requests in
// flight: none of them may be a suspect, not even the same request.
func (b *SuspicionTable) Alone(now time.Time, inFlight []Fingerprint) bool {
	for _, fp := range inFlight {
		if b.Check(now, fp) != DecisionAllow {
			return false
		}
	}
	return true
}

// Broken notes that a target crashed under a request that this daemon sent. The
// caller's daemon knows this before the suspicion has come back to it.
func (b *SuspicionTable) Broken(now time.Time, fp Fingerprint) {
	if len(b.broken) >= b.limit {
		for o, at := range b.broken {
			if now.Sub(at) >= spreadTime {
				delete(b.broken, o)
			}
		}
	}
	b.broken[fp] = now
}

// Hold is how long the caller's daemon waits before it sends a request that just
// broke a target. Without the wait, a caller that sends again at once reaches the
// next target before the suspicion does.
func (b *SuspicionTable) Hold(now time.Time, fp Fingerprint) time.Duration {
	at, known := b.broken[fp]
	if !known {
		return 0
	}
	return max(0, spreadTime-now.Sub(at))
}

// Crash puts a crash down to the requests that were in flight, and returns the
// suspicions that it changed, to be spread. The same request in flight twice
// counts once.
func (b *SuspicionTable) Crash(now time.Time, inFlight []Fingerprint) []Suspicion {
	accused := b.accused(now, inFlight)
	for i, fp := range accused {
		b.put(now, Suspicion{fingerprint: fp, crashes: b.count(now, fp, len(accused)), last: now})
		accused[i] = fp
	}
	changed := make([]Suspicion, 0, len(accused))
	for _, fp := range accused {
		if s, held := b.suspicions[fp]; held {
			changed = append(changed, s)
		}
	}
	return changed
}

// accused returns the suspects in flight, or all requests when there is no suspect.
func (b *SuspicionTable) accused(now time.Time, inFlight []Fingerprint) []Fingerprint {
	all := slices.Clone(inFlight)
	slices.Sort(all)
	all = slices.Compact(all)
	suspects := make([]Fingerprint, 0, len(all))
	for _, fp := range all {
		if b.Check(now, fp) != DecisionAllow {
			suspects = append(suspects, fp)
		}
	}
	if len(suspects) > 0 {
		return suspects
	}
	return all
}

// count returns the crashes of a request after one more with the given number of
// accused. Only a request that is accused alone is condemned.
func (b *SuspicionTable) count(now time.Time, fp Fingerprint, accused int) int {
	before := b.suspicions[fp]
	if before.expired(now) {
		before.crashes = 0
	}
	if accused > 1 {
		return max(1, before.crashes)
	}
	return before.crashes + 1
}

// Cleared notes that a request ended well, and returns the change to be spread if
// that was often enough to take the suspicion from it. A quarantine stays until it expires.
func (b *SuspicionTable) Cleared(now time.Time, fp Fingerprint) (Suspicion, bool) {
	s, known := b.suspicions[fp]
	if !known || s.crashes == 0 || s.crashes >= condemned {
		return Suspicion{}, false
	}
	s.clean++
	if s.clean >= cleanEnds {
		s.crashes, s.last = 0, now
	}
	b.suspicions[fp] = s
	return s, s.crashes == 0
}

// Merge takes suspicions of another daemon and returns those that were news. The
// later one replaces the earlier; a quarantine is replaced by nothing before it expires.
func (b *SuspicionTable) Merge(now time.Time, remote []Suspicion) []Suspicion {
	var news []Suspicion
	for _, s := range remote {
		if s.expired(now) || !b.newer(now, s) {
			continue
		}
		b.put(now, s)
		if _, held := b.suspicions[s.fingerprint]; held {
			news = append(news, s)
		}
	}
	return news
}

// newer reports whether a remote suspicion replaces the own one. Two crashes that
// two daemons saw at the same time, each with the request among others, are not
// added up: that would condemn a request that was alone in neither.
func (b *SuspicionTable) newer(now time.Time, s Suspicion) bool {
	own, known := b.suspicions[s.fingerprint]
	switch {
	case !known || own.expired(now):
		return true
	case own.crashes >= condemned || s.crashes >= condemned:
		return s.crashes > own.crashes || s.crashes == own.crashes && s.last.After(own.last)
	default:
		return s.last.After(own.last) || s.last.Equal(own.last) && s.crashes > own.crashes
	}
}

// Snapshot returns the suspicions that have not expired, by fingerprint.
func (b *SuspicionTable) Snapshot(now time.Time) []Suspicion {
	all := make([]Suspicion, 0, len(b.suspicions))
	for _, s := range b.suspicions {
		if !s.expired(now) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(x, y Suspicion) int { return cmp.Compare(x.fingerprint, y.fingerprint) })
	return all
}

// put stores a suspicion. A full board drops the one that counts for least: the
// fewest crashes, then the oldest. That may be the new one.
func (b *SuspicionTable) put(now time.Time, s Suspicion) {
	b.suspicions[s.fingerprint] = s
	if len(b.suspicions) <= b.limit {
		return
	}
	least := s
	for fp, o := range b.suspicions {
		if o.expired(now) {
			delete(b.suspicions, fp)
			continue
		}
		if cmp.Or(cmp.Compare(o.crashes, least.crashes), o.last.Compare(least.last), cmp.Compare(fp, least.fingerprint)) < 0 {
			least = o
		}
	}
	if len(b.suspicions) > b.limit {
		delete(b.suspicions, least.fingerprint)
	}
}

func (s Suspicion) expired(now time.Time) bool { return now.Sub(s.last) > lifetime }
