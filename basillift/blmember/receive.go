package blmember

import (
	"time"

	"basillift.dev/basillift"
)

// changeSet collects the reports, records and assertions that result from one event.
type changeSet struct {
	actions    []Action
	records    []basillift.Member
	assertions []Assertion
}

func (changes *changeSet) report(id basillift.VMID, k basillift.EventKind, t basillift.TargetState, detail string) {
	changes.actions = append(changes.actions, Action{kind: ActionReport, peer: id, report: k, state: t, detail: detail})
}

func (changes *changeSet) flood(except basillift.VMID) []Action {
	if len(changes.records) == 0 && len(changes.assertions) == 0 {
		return changes.actions
	}
	return append(changes.actions, Action{kind: ActionFlood, peer: except, records: changes.records, assertions: changes.assertions})
}

func (s *State) receive(now time.Time, e Event) []Action {
	changes := &changeSet{}
	for _, m := range e.records {
		s.applyRecord(now, m, changes)
	}
	for _, a := range e.assertions {
		s.applyAssertion(now, a, changes)
	}
	return changes.flood(e.peer)
}

func (s *State) applyRecord(now time.Time, m basillift.Member, changes *changeSet) {
	if m.ID() == s.self {
		s.refuteOwnRecord(now, m, changes)
		return
	}
	t, found := s.entries[m.ID()]
	if !found {
		s.join(now, m, changes)
		return
	}
	if !m.NewerThan(t.member) {
		return
	}
	previous, liveness := t.member, t.liveness
	t.member = m
	changes.records = append(changes.records, m)
	s.markChanged()
	if m.Incarnation() > previous.Incarnation() {
		t.liveness, t.changedAt, t.leaving, t.detectedLocally = basillift.LivenessAlive, now, false, false
		if liveness == basillift.LivenessDead {
			changes.report(m.ID(), basillift.EventMemberReturned, m.State(), "")
		}
	}
	if m.State() != previous.State() {
		t.changedAt = now
		changes.report(m.ID(), basillift.EventTargetState, m.State(), "")
	}
}

// refuteOwnRecord handles a record of this VM that is newer than the daemon's own, such as
// one from an earlier start whose clock was ahead. It publishes a higher incarnation.
func (s *State) refuteOwnRecord(now time.Time, m basillift.Member, changes *changeSet) {
	own := s.entries[s.self].member
	if !m.NewerThan(own) {
		return
	}
	changes.records = append(changes.records, s.raiseIncarnation(now, m.Incarnation()))
}

func (s *State) join(now time.Time, m basillift.Member, changes *changeSet) {
	if len(s.entries) >= maxRecords {
		return
	}
	s.entries[m.ID()] = &entry{member: m, liveness: basillift.LivenessAlive, changedAt: now}
	s.markChanged()
	changes.records = append(changes.records, m)
	changes.report(m.ID(), basillift.EventMemberJoined, m.State(), "")
}

func (s *State) applyAssertion(now time.Time, a Assertion, changes *changeSet) {
	switch {
	case a.domain != "":
		s.applyDomainAssertion(now, a, changes)
	case a.kind == AssertionSuspect || a.kind == AssertionDead:
		s.applyFailureAssertion(now, a, changes)
	case a.kind == AssertionLeaving || a.kind == AssertionStaying:
		s.applyLeavingAssertion(a, changes)
	case a.kind == AssertionDropped:
		s.applyDroppedAssertion(now, a, changes)
	}
}

func (s *State) applyFailureAssertion(now time.Time, a Assertion, changes *changeSet) {
	if a.id == s.self {
		if a.incarnation >= s.Self().Incarnation() {
			changes.records = append(changes.records, s.raiseIncarnation(now, a.incarnation))
		}
		return
	}
	t, found := s.entries[a.id]
	if !found || a.incarnation < t.member.Incarnation() || t.liveness == basillift.LivenessDead {
		return
	}
	if a.kind == AssertionDead {
		s.markDead(now, t, changes)
		changes.assertions = append(changes.assertions, a)
		return
	}
	if t.liveness == basillift.LivenessSuspect {
		return
	}
	s.markSuspect(now, t, changes)
	changes.assertions = append(changes.assertions, a)
}

func (s *State) markSuspect(now time.Time, t *entry, changes *changeSet) {
	t.liveness, t.changedAt = basillift.LivenessSuspect, now
	s.markChanged()
	changes.report(t.member.ID(), basillift.EventMemberSuspected, t.member.State(), "")
}

func (s *State) markDead(now time.Time, t *entry, changes *changeSet) {
	t.liveness, t.changedAt, t.detectedLocally = basillift.LivenessDead, now, false
	s.markChanged()
	changes.report(t.member.ID(), basillift.EventMemberDied, t.member.State(), "")
}

func (s *State) applyLeavingAssertion(a Assertion, changes *changeSet) {
	t, found := s.entries[a.id]
	if !found || a.incarnation != t.member.Incarnation() || a.revision <= t.leavingRevision {
		return
	}
	t.leavingRevision = a.revision
	t.leaving = a.kind == AssertionLeaving
	s.markChanged()
	changes.assertions = append(changes.assertions, a)
}

// applyDroppedAssertion removes a member that is dead or gone in this daemon's view too. A
// member that is alive here is kept, because absence from the platform's VM list is no
// evidence of a failure.
func (s *State) applyDroppedAssertion(now time.Time, a Assertion, changes *changeSet) {
	t, found := s.entries[a.id]
	if !found || t.present() || a.incarnation < t.member.Incarnation() || a.id == s.self {
		return
	}
	delete(s.entries, a.id)
	delete(s.pendingProbes, a.id)
	delete(s.lastContact, a.id)
	s.markChanged()
	changes.assertions = append(changes.assertions, a)
}

func (s *State) applyVMList(now time.Time, e Event) []Action {
	changes := &changeSet{}
	present := make(map[basillift.VMID]bool, len(e.listed))
	for _, l := range e.listed {
		present[l.id] = true
		t, found := s.entries[l.id]
		if !found || t.leaving == l.leaving || (!l.leaving && t.leavingRevision == 0) {
			continue
		}
		kind := AssertionStaying
		if l.leaving {
			kind = AssertionLeaving
		}
		s.applyLeavingAssertion(NewAssertion(kind, l.id, t.member.Incarnation(), e.revision), changes)
	}
	for _, id := range s.ids() {
		t := s.entries[id]
		if present[id] || t.present() || now.Sub(t.changedAt) < dropDelay {
			continue
		}
		s.applyDroppedAssertion(now, NewAssertion(AssertionDropped, id, t.member.Incarnation(), e.revision), changes)
	}
	return changes.flood("")
}
