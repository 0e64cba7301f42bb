package blwarmup

import (
	"time"

	"basillift.dev/basillift"
)

// ObserveService records the settings of the target's service in the routing table in force. A service that gets a cold start
// may have a target in its warm-up, of which nothing was recorded.
func (s *State) ObserveService(now time.Time, service basillift.ServiceLimits) {
	warmup, perSecond, limited := service.ColdStart()
	begins := limited && !s.limited
	s.warmup, s.perSecond, s.limited, s.checkable = warmup, perSecond, limited, service.HealthPath() != ""
	if begins {
		s.becomeUnknown(now, CauseStart)
	}
}

// ObserveEntry records the registry entry of the target, when it arrives.
func (s *State) ObserveEntry(now time.Time, e basillift.Endpoint) {
	s.expire(now)
	known, previous := s.entryKnown, s.entry
	if known && previous.Instance() == e.Instance() && previous.StartedAt().Equal(e.StartedAt()) && previous.Sequence() == e.Sequence() {
		return
	}
	s.entry, s.entryKnown = e, true
	newRun := !known || previous.Instance() != e.Instance() || !previous.StartedAt().Equal(e.StartedAt())
	if newRun {
		s.observeRun(now, e, known && previous.Instance() != e.Instance())
	}
	s.observeColdLeft(now, e.WarmupRemaining(), newRun || e.WarmupRemaining() >= previous.WarmupRemaining())
}

// observeRun records an entry of a run from which there was none before. The state stays known if it was learned from this run:
// a refused connection or a health answer tells of a start earlier than the registry.
func (s *State) observeRun(now time.Time, e basillift.Endpoint, otherInstance bool) {
	if s.cause != CauseNone {
		if e.StartedAt().After(s.reachableSince) {
			s.reachableSince = time.Time{}
		}
		if otherInstance && s.cause != CauseBroken {
			// Answers of this instance were ignored until now.
			s.checks.restart(now)
		}
		return
	}
	sameInstance := s.describedInstance == "" || s.describedInstance == e.Instance()
	if s.restartExpected && sameInstance && !e.StartedAt().After(s.describedAt) {
		s.restartExpected = false
		return
	}
	s.becomeUnknown(now, CauseNewRun)
	s.restartExpected = false
}

// observeColdLeft records for how long the target stays cold by its entry. begins is set unless the entry describes the same cold
// phase as the one before, of which less is left. A phase that begins may be the one whose end is known better, since entries are
// late: from a health answer, or because the target was reached.
func (s *State) observeColdLeft(now time.Time, coldLeft time.Duration, begins bool) {
	end, knownEnd := now.Add(coldLeft), s.coldUntil
	if s.cause != CauseNone && !s.reachableSince.IsZero() {
		knownEnd = later(knownEnd, s.unknownUntil(now))
	}
	switch {
	case coldLeft > 0 && begins && end.Add(-entryLag).After(knownEnd):
		s.coldUntil, s.fromEntry = end, true
	case s.fromEntry && end.Before(s.coldUntil):
		s.coldUntil = end
	}
}

// ObserveRefused records that the target refused a connection: it is down, and cold once it has started again.
func (s *State) ObserveRefused(now time.Time) { s.becomeUnknown(now, CauseRefused) }

// ObserveBroken records that the connection of a request broke before its answer. The target may have ended and started again
// since the connection was used before.
func (s *State) ObserveBroken(now, usedBefore time.Time) {
	s.expire(now)
	if s.cause == CauseNone || usedBefore.Before(s.brokenSince) {
		s.brokenSince = usedBefore
	}
	s.becomeUnknown(now, CauseBroken)
}

// ObserveAnswer records an answer of the target to a request that began at the given time, on a connection that was opened at
// another. If only broken connections made the state unknown, a connection from before that still works shows that the target
// has not started again. The answer to an earlier request does not show it, but its connection may be idle now.
func (s *State) ObserveAnswer(now, opened, began time.Time) {
	fromBefore := s.cause == CauseBroken && opened.Before(s.brokenSince)
	switch {
	case fromBefore && began.Before(s.unknownSince):
		s.olderConnectionsAsked = false
		return
	case fromBefore:
		s.endBroken()
		return
	case s.cause == CauseNone || began.Before(s.unknownSince):
		return
	}
	if s.reachableSince.IsZero() {
		s.reachableSince = now
		if s.cause != CauseBroken && s.checks.at.After(now) {
			s.checks.restart(now)
		}
	}
}

// ObserveEvacuation records whether the target's failure domain is evacuated.
func (s *State) ObserveEvacuation(evacuated bool) { s.evacuated = evacuated }

// ObserveEvacuationEnd records when the last evacuation of the failure domain has ended. Its targets may have become cold
// shortly before.
func (s *State) ObserveEvacuationEnd(now, ended time.Time) {
	if !ended.After(s.evacuationEnd) {
		return
	}
	s.evacuationEnd = ended
	if ended.After(later(s.describedAt, s.unknownSince)) {
		s.becomeUnknown(now, CauseEvacuation)
	}
}
