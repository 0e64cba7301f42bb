package blwatch

import (
	"errors"
	"math/rand"
	"time"

	"basillift.dev/basillift"
)

const (
	// changeWait is how long the registry may hold a request for changes. A registry that loses its history may
	// leave a wait without the changes of its last second, for all daemons at once; 3 s later they count as in
	// touch again. One daemon's lost answer is noticed earlier, by what others have seen.
	changeWait = 3 * time.Second
	// followedWait is the same for a daemon that others follow, who learn of it a little later than it does.
	followedWait = 2 * time.Second
	// changePause is the least time between two answers with changes; a change may take 2 s to be in force.
	changePause = 400 * time.Millisecond
	// relayPause is the same for answers of other daemons, which have waited for the registry already.
	relayPause = 100 * time.Millisecond
	// transferShare bounds the use of a thin link by changes: the pause is so many times as long as the answer
	// was on its way, up to transferPause, which leaves time for the next answer.
	transferShare = 3
	transferPause = 900 * time.Millisecond
	// retryFirst and retryMost bound the pause after failures. A daemon counts as in touch 3 s after the end
	// of a cut and has to be current by then.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// outageAfter is the silence after which the registry counts as away: one wait and its answer.
	outageAfter = changeWait + time.Second
	// hearsayWait is how long another daemon may be ahead before the registry is asked again: a few of its
	// answers, and the pause in a storm.
	hearsayWait = transferPause + 200*time.Millisecond
)

// OperationKind says what to ask the registry next.
type OperationKind string

// The kinds of steps.
const (
	OperationList    OperationKind = "list"
	OperationChanges OperationKind = "changes"
)

// Operation is the next request to the registry, after a pause.
type Operation struct {
	kind     OperationKind
	pause    time.Duration
	after    string
	revision uint64
	wait     time.Duration
}

// Kind says what to ask.
func (s Operation) Kind() OperationKind { return s.kind }

// Pause is how long to wait before asking.
func (s Operation) Pause() time.Duration { return s.pause }

// After is the key after which a page begins.
func (s Operation) After() string { return s.after }

// Revision is the revision after which changes are asked for.
func (s Operation) Revision() uint64 { return s.revision }

// Wait is how long the registry may hold the request.
func (s Operation) Wait() time.Duration { return s.wait }

// WatchState decides what to ask the registry next. It is not safe for concurrent use.
type WatchState struct {
	rnd      *rand.Rand
	listed   bool
	after    string
	revision uint64
	pages    []basillift.RegistryEntry
	first    uint64
	failures int
	answered time.Time
	changed  time.Time
	rest     time.Duration
	away     bool
	followed bool
	seen     uint64
	heard    uint64
	heardAt  time.Time
	// partitioned is set while others are current although this daemon gets no answer.
	partitioned bool
}

// NewWatchState returns the state of a follower that knows nothing.
func NewWatchState(now time.Time, rnd *rand.Rand) *WatchState {
	return &WatchState{rnd: rnd, answered: now}
}

// Next is what to ask next.
func (s *WatchState) Next(now time.Time) Operation {
	pause := s.backoff()
	if !s.listed {
		return Operation{kind: OperationList, after: s.after, pause: pause}
	}
	if s.failures == 0 {
		pause = max(0, s.changed.Add(s.rest).Sub(now))
	}
	wait := changeWait
	if s.followed {
		wait = followedWait
	}
	return Operation{kind: OperationChanges, revision: s.revision, wait: wait, pause: pause}
}

// SetFollowed tells whether other daemons follow this one.
func (s *WatchState) SetFollowed(followed bool) { s.followed = followed }

// backoff is the pause after failures: half fixed, half random.
func (s *WatchState) backoff() time.Duration {
	if s.failures == 0 {
		return 0
	}
	limit := min(retryMost, retryFirst<<min(s.failures-1, 8))
	return limit/2 + time.Duration(s.rnd.Int63n(int64(limit/2)))
}

// Listed takes a page. It returns all entries once the last page is in, and
// whether the registry was away before.
func (s *WatchState) Listed(now time.Time, l basillift.RegistryPage) (all []basillift.RegistryEntry, complete, returned bool) {
	returned = s.succeed(now)
	if l.Revision() < s.revision {
		// An answer from before what is known already.
		s.restart()
		s.failures = 1
		return nil, false, returned
	}
	if s.after == "" {
		s.first = l.Revision()
	}
	s.pages = append(s.pages, l.Entries()...)
	s.see(l.Entries())
	s.after = l.Next()
	if s.after != "" {
		return nil, false, returned
	}
	// Pages are no snapshot: changes since the first one are asked for again.
	all, s.pages, s.listed, s.revision = s.pages, nil, true, s.first
	return all, true, returned
}

// Changed takes an answer with changes, possibly none.
func (s *WatchState) Changed(now time.Time, l basillift.RegistryPage) (returned bool) {
	returned = s.succeed(now)
	s.revision = max(s.revision, l.Revision())
	s.see(l.Entries())
	if len(l.Entries()) > 0 {
		s.changed = now
		s.rest = max(changePause, min(transferPause, transferShare*l.TransferTime()))
		if l.Relayed() {
			s.rest = relayPause
		}
	}
	return returned
}

// Failed takes a failure, and reports whether the registry counts as away from now on.
func (s *WatchState) Failed(now time.Time, err error) (lost bool) {
	if errors.Is(err, basillift.ErrCompacted) {
		s.restart()
		return false
	}
	s.failures++
	if s.away || s.failures < 2 && now.Sub(s.answered) < outageAfter {
		return false
	}
	s.away, s.partitioned = true, s.heard > s.seen
	return true
}

// NewestRevision is the newest revision of an entry that was seen.
func (s *WatchState) NewestRevision() uint64 { return s.seen }

// ObserveRevision takes the newest revision that another daemon has seen, and reports whether the wait for
// changes is to be given up at a time because its answer seems to be lost.
func (s *WatchState) ObserveRevision(now time.Time, revision uint64) (due time.Time, behind bool) {
	if revision <= s.seen || revision <= s.heard {
		return time.Time{}, false
	}
	s.heard, s.heardAt = revision, now
	s.partitioned = s.partitioned || s.away
	return now.Add(hearsayWait), true
}

// Partitioned reports whether the outage that ended last was this daemon's own: others heard the registry meanwhile.
func (s *WatchState) Partitioned() bool { return s.partitioned }

// Overdue reports whether another daemon is ahead for too long.
func (s *WatchState) Overdue(now time.Time) bool {
	return s.heard > s.seen && !now.Before(s.heardAt.Add(hearsayWait))
}

// GaveUp notes that a wait was given up because its answer seems to be lost.
func (s *WatchState) GaveUp() { s.heard = 0 }

// see notes the revisions of entries.
func (s *WatchState) see(publications []basillift.RegistryEntry) {
	for _, p := range publications {
		s.seen = max(s.seen, p.Revision())
	}
}

func (s *WatchState) restart() { s.listed, s.after, s.pages = false, "", nil }

// succeed notes an answer and reports whether it ends an outage.
func (s *WatchState) succeed(now time.Time) (returned bool) {
	returned = s.away
	s.away, s.failures, s.answered = false, 0, now
	return returned
}
