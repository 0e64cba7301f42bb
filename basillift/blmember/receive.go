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

func (c *changeSet) report(id basillift.VMID, k basillift.EventKind, state basillift.TargetState, detail string) {
	c.actions = append(c.actions, Action{kind: ActionReport, peer: id, report: k, state: state, detail: detail})
}

func (c *changeSet) flood(except basillift.VMID) []Action {
	if len(c.records) == 0 && len(c.assertions) == 0 {
		return c.actions
	}
	return append(c.actions, Action{kind: ActionFlood, peer: except, records: c.records, assertions: c.assertions})
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
	en, found := s.entries[m.ID()]
	if !found {
		s.join(now, m, changes)
		return
	}
	if !m.NewerThan(en.member) {
		return
	}
	previous, liveness := en.member, en.liveness
	en.member = m
	changes.records = append(changes.records, m)
	s.markChanged()
	if m.Incarnation() > previous.Incarnation() {
		en.liveness, en.changedAt, en.leaving, en.detectedLocally = basillift.LivenessAlive, now, false, false
		if liveness == basillift.LivenessDead {
			changes.report(m.ID(), basillift.EventMemberReturned, m.State(), "")
		}
	}
	if m.State() != previous.State() {
		en.changedAt = now
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
	en, found := s.entries[a.id]
	if !found || a.incarnation < en.member.Incarnation() || en.liveness == basillift.LivenessDead {
		return
	}
	if a.kind == AssertionDead {
		s.markDead(now, en, changes)
		changes.assertions = append(changes.assertions, a)
		return
	}
	if en.liveness == basillift.LivenessSuspect {
		return
	}
	s.markSuspect(now, en, changes)
	changes.assertions = append(changes.assertions, a)
}

func (s *State) markSuspect(now time.Time, en *entry, changes *changeSet) {
	en.liveness, en.changedAt = basillift.LivenessSuspect, now
	s.markChanged()
	changes.report(en.member.ID(), basillift.EventMemberSuspected, en.member.State(), "")
}

func (s *State) markDead(now time.Time, en *entry, changes *changeSet) {
	en.liveness, en.changedAt, en.detectedLocally = basillift.LivenessDead, now, false
	s.markChanged()
	changes.report(en.member.ID(), basillift.EventMemberDied, en.member.State(), "")
}

func (s *State) applyLeavingAssertion(a Assertion, changes *changeSet) {
	en, found := s.entries[a.id]
	if !found || a.incarnation != en.member.Incarnation() || a.revision <= en.leavingRevision {
		return
	}
	en.leavingRevision = a.revision
	en.leaving = a.kind == AssertionLeaving
	s.markChanged()
	changes.assertions = append(changes.assertions, a)
}

// applyDroppedAssertion removes a member that is dead or gone in this daemon's view too. A
// member that is alive here is kept, because absence from the platform's VM list is no
// evidence of a failure.
func (s *State) applyDroppedAssertion(now time.Time, a Assertion, changes *changeSet) {
	en, found := s.entries[a.id]
	if !found || en.present() || a.incarnation < en.member.Incarnation() || a.id == s.self {
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
		en, found := s.entries[l.id]
		if !found || en.leaving == l.leaving || (!l.leaving && en.leavingRevision == 0) {
			continue
		}
		kind := AssertionStaying
		if l.leaving {
			kind = AssertionLeaving
		}
		s.applyLeavingAssertion(NewAssertion(kind, l.id, en.member.Incarnation(), e.revision), changes)
	}
	for _, id := range s.ids() {
		en := s.entries[id]
		if present[id] || en.present() || now.Sub(en.changedAt) < dropDelay {
			continue
		}
		s.applyDroppedAssertion(now, NewAssertion(AssertionDropped, id, en.member.Incarnation(), e.revision), changes)
	}
	return changes.flood("")
}
