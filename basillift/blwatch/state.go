package blwatch

import (
	"errors"
	"math/rand"
	"time"

	"basillift.dev/basillift"
)

// maxStaleness is how long after the loss of an answer a daemon may lack a change: daemons count as connected 3 s after a
// fault.
const maxStaleness = 3 * time.Second

const (
	// maxWait is how long the registry may delay its answer to a request for changes. The answer may never come: the
	// registry loses its history, or the connection goes silent. After a change all daemons wait from the same moment, so
	// this may affect all of them at once. The wait, answerTimeout and the next request have to end within maxStaleness.
	// If only one daemon misses an answer, it detects this earlier, by the revisions that other daemons have seen.
	maxWait = 2 * time.Second
	// maxWaitWithFollowers is maxWait for a daemon that has followers, which receive each change a little later.
	maxWaitWithFollowers = 1500 * time.Millisecond
	// answerTimeout is how long after the wait an answer may be missing before it counts as lost. slowAnswerTimeout is the
	// same after a failure, since the registry may be slow.
	answerTimeout     = 600 * time.Millisecond
	slowAnswerTimeout = 1500 * time.Millisecond
	// minChangePause is the minimum pause between an answer with changes and the next request. A change has to be in
	// force within 2 s.
	minChangePause = 400 * time.Millisecond
	// relayedChangePause is the same after answers of other daemons, which have already made their own pause.
	relayedChangePause = 100 * time.Millisecond
	// transferPauseFactor bounds the share of a slow link that is used by changes: the pause is at least the transfer
	// time of the last answer times this factor. maxTransferPause bounds that pause, so that there is time left for the
	// next answer.
	transferPauseFactor = 3
	maxTransferPause    = 900 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after failures. A daemon counts as connected 3 s after the end of a
	// partition and has to be current by then.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// outageThreshold is the time without an answer after which the first failure already means that the registry is
	// down. A single lost answer doesn't reach it, also after the pause between changes.
	outageThreshold = 2 * maxWait
	// peerLeadTimeout is how long another daemon may be ahead before the pending wait is canceled and the registry is
	// asked again. It covers a few answers of the registry, and the pause during a burst of changes.
	peerLeadTimeout = maxTransferPause + 200*time.Millisecond
)

// Outage describes a time during which the registry did not answer this daemon.
type Outage struct {
	unanswered  time.Duration
	failures    int
	partitioned bool
}

// NewOutage returns an outage. unanswered is the time from the registry's last answer before it to the first one after it, and
// failures the number of requests that failed meanwhile.
func NewOutage(unanswered time.Duration, failures int, partitioned bool) Outage {
	return Outage{unanswered: unanswered, failures: failures, partitioned: partitioned}
}

// Unanswered is the time from the last answer before the outage to the first one after it.
func (o Outage) Unanswered() time.Duration { return o.unanswered }

// Failures is the number of requests that failed during the outage.
func (o Outage) Failures() int { return o.failures }

// Partitioned reports whether the registry was unreachable for this daemon only: other daemons received changes meanwhile, so the
// registry cannot have lost entries.
func (o Outage) Partitioned() bool { return o.partitioned }

// OperationKind is the kind of the next request to the registry.
type OperationKind string

// The kinds of operations.
const (
	OperationList    OperationKind = "list"
	OperationChanges OperationKind = "changes"
)

// Operation is the next request to the registry, after a pause.
type Operation struct {
	kind     OperationKind
	pause    time.Duration
	after    string
	revision basillift.Revision
	wait     time.Duration
	timeout  time.Duration
}

// Kind is the kind of the request.
func (o Operation) Kind() OperationKind { return o.kind }

// Pause is how long to wait before sending the request.
func (o Operation) Pause() time.Duration { return o.pause }

// After is the key after which the page begins; empty for the first page.
func (o Operation) After() string { return o.after }

// Revision is the revision after which changes are requested.
func (o Operation) Revision() basillift.Revision { return o.revision }

// Wait is how long the registry may delay its answer.
func (o Operation) Wait() time.Duration { return o.wait }

// Timeout is how long after the wait an answer to a request for changes may be missing before it counts as lost.
func (o Operation) Timeout() time.Duration { return o.timeout }

// WatchState decides which request to send to the registry next. It is not safe for concurrent use.
type WatchState struct {
	rnd               *rand.Rand
	listed            bool
	after             string
	revision          basillift.Revision
	entries           []basillift.RegistryEntry
	firstPageRevision basillift.Revision
	failures          int
	lastAnswer        time.Time
	lastChange        time.Time
	changePause       time.Duration
	down              bool
	hasFollowers      bool
	newestRevision    basillift.Revision
	peerRevision      basillift.Revision
	// peerRevisionDue is when the pending wait is overdue unless this daemon has reached peerRevision.
	peerRevisionDue time.Time
	// partitioned is set if other daemons receive changes while this daemon gets no answer.
	partitioned bool
	// lastOutage is the last outage that has ended.
	lastOutage Outage
}

// NewWatchState returns the state of a watcher that has not listed the registry yet.
func NewWatchState(now time.Time, rnd *rand.Rand) *WatchState {
	return &WatchState{rnd: rnd, lastAnswer: now}
}

// Next returns the next request to the registry.
func (s *WatchState) Next(now time.Time) Operation {
	pause := s.backoff()
	if !s.listed {
		return Operation{kind: OperationList, after: s.after, pause: pause}
	}
	if s.failures == 0 {
		pause = max(0, s.lastChange.Add(s.changePause).Sub(now))
	}
	wait, timeout := maxWait, answerTimeout
	if s.hasFollowers {
		wait = maxWaitWithFollowers
	}
	// The connection may go silent during the pause, so the pause counts towards the wait.
	wait = max(0, wait-pause)
	if s.failures > 0 {
		// An answer without a wait shows at once that only one answer was lost, or that an outage has ended.
		wait, timeout = 0, slowAnswerTimeout
	}
	return Operation{kind: OperationChanges, revision: s.revision, wait: wait, timeout: timeout, pause: pause}
}

// SetHasFollowers sets whether other daemons follow this one.
func (s *WatchState) SetHasFollowers(hasFollowers bool) { s.hasFollowers = hasFollowers }

// backoff returns the pause after failures. It grows exponentially up to maxBackoff; half of it is fixed, half
// random.
func (s *WatchState) backoff() time.Duration {
	if s.failures == 0 {
		return 0
	}
	limit := min(maxBackoff, minBackoff<<min(s.failures-1, 8))
	return limit/2 + time.Duration(s.rnd.Int63n(int64(limit/2)))
}

// Listed processes one page of a listing. After the last page, complete is set and all holds the entries of all
// pages. recovered reports whether the registry was down before.
func (s *WatchState) Listed(now time.Time, page basillift.RegistryPage) (all []basillift.RegistryEntry, complete, recovered bool) {
	recovered = s.recordAnswer(now)
	if page.Revision() < s.revision {
		// The page is older than what is already known.
		s.restartListing()
		s.failures = 1
		return nil, false, recovered
	}
	if s.after == "" {
		s.firstPageRevision = page.Revision()
	} else if page.Revision().Era() != s.firstPageRevision.Era() {
		// Pages of two eras don't belong together.
		s.restartListing()
		return nil, false, recovered
	}
	s.entries = append(s.entries, page.Entries()...)
	s.observe(page.Entries())
	s.after = page.Next()
	if s.after != "" {
		return nil, false, recovered
	}
	// The pages aren't a consistent read: changes since the first page are requested again.
	all, s.entries, s.listed, s.revision = s.entries, nil, true, s.firstPageRevision
	return all, true, recovered
}

// Changed processes an answer to a request for changes, which may be empty, and returns the changes to apply. An answer of
// another era holds none: in a newer era the registry has lost changes that this daemon knows, so everything is listed again; an
// answer of an older era is late. recovered reports whether the registry was down before.
func (s *WatchState) Changed(now time.Time, page basillift.RegistryPage) (changes []basillift.RegistryEntry, recovered bool) {
	recovered = s.recordAnswer(now)
	switch era := page.Revision().Era(); {
	case era > s.revision.Era():
		s.restartListing()
		return nil, recovered
	case era < s.revision.Era():
		s.failures = 1
		return nil, recovered
	}
	s.revision = max(s.revision, page.Revision())
	s.observe(page.Entries())
	if len(page.Entries()) > 0 {
		s.lastChange = now
		s.changePause = max(minChangePause, min(maxTransferPause, transferPauseFactor*page.TransferTime()))
		if page.Relayed() {
			s.changePause = relayedChangePause
		}
	}
	return page.Entries(), recovered
}

// Failed processes a failed request and reports whether the registry counts as down from now on: after two failures in
// a row, or after one if the last answer is older than outageThreshold.
func (s *WatchState) Failed(now time.Time, err error) (down bool) {
	if errors.Is(err, basillift.ErrCompacted) {
		s.restartListing()
		return false
	}
	s.failures++
	if s.down || s.failures < 2 && now.Sub(s.lastAnswer) < outageThreshold {
		return false
	}
	s.down, s.partitioned = true, s.peerRevision > s.newestRevision
	return true
}

// Current reports whether the last answer was complete and of the present era.
func (s *WatchState) Current() bool { return s.listed && s.failures == 0 }

// NewestRevision is the newest revision of any entry received so far.
func (s *WatchState) NewestRevision() basillift.Revision { return s.newestRevision }

// ObserveRevision records the newest revision that another daemon has seen. If that daemon is ahead, behind is set,
// and the pending wait has to be checked with Overdue at the time due, since its answer may be lost.
//
// A daemon that is in a newer era has listed the registry, which no longer has the changes that this daemon waits for.
func (s *WatchState) ObserveRevision(now time.Time, revision basillift.Revision) (due time.Time, behind bool) {
	if revision <= s.newestRevision || revision <= s.peerRevision {
		return time.Time{}, false
	}
	s.peerRevision, s.peerRevisionDue = revision, now.Add(peerLeadTimeout)
	if s.newestRevision > 0 && revision.Era() > s.newestRevision.Era() {
		s.peerRevisionDue = now
	}
	s.partitioned = s.partitioned || s.down
	return s.peerRevisionDue, true
}

// LastOutage returns the last outage that has ended.
func (s *WatchState) LastOutage() Outage { return s.lastOutage }

// Overdue reports whether another daemon has been ahead for too long.
func (s *WatchState) Overdue(now time.Time) bool {
	return s.peerRevision > s.newestRevision && !now.Before(s.peerRevisionDue)
}

// WaitCanceled records that the pending wait was canceled because its answer seems to be lost.
func (s *WatchState) WaitCanceled() { s.peerRevision = 0 }

// observe records the revisions of entries.
func (s *WatchState) observe(entries []basillift.RegistryEntry) {
	for _, e := range entries {
		s.newestRevision = max(s.newestRevision, e.Revision())
	}
}

func (s *WatchState) restartListing() { s.listed, s.after, s.entries = false, "", nil }

// recordAnswer records an answer and reports whether it ends an outage.
func (s *WatchState) recordAnswer(now time.Time) (recovered bool) {
	recovered = s.down
	if recovered {
		s.lastOutage = NewOutage(now.Sub(s.lastAnswer), s.failures, s.partitioned)
	}
	s.down, s.failures, s.lastAnswer = false, 0, now
	return recovered
}
