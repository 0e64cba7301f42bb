package blmember

import (
	"time"

	"basillift.dev/basillift"
)

// news collects what changed while one message is taken in.
type news struct {
	actions []Action
	records []basillift.Member
	claims  []Assertion
}

func (n *news) report(id basillift.VMID, k basillift.EventKind, t basillift.TargetState, detail string) {
	n.actions = append(n.actions, Action{kind: ActionReport, peer: id, report: k, state: t, detail: detail})
}

func (n *news) flood(except basillift.VMID) []Action {
	if len(n.records) == 0 && len(n.claims) == 0 {
		return n.actions
	}
	return append(n.actions, Action{kind: ActionFlood, peer: except, records: n.records, assertions: n.claims})
}

func (s *State) receive(now time.Time, e Event) []Action {
	n := &news{}
	for _, m := range e.records {
		s.takeRecord(now, m, n)
	}
	for _, c := range e.claims {
		s.takeClaim(now, c, n)
	}
	return n.flood(e.peer)
}

func (s *State) takeRecord(now time.Time, m basillift.Member, n *news) {
	if m.ID() == s.self {
		s.takeOwn(now, m, n)
		return
	}
	t, found := s.entries[m.ID()]
	if !found {
		s.join(now, m, n)
		return
	}
	if !m.NewerThan(t.member) {
		return
	}
	previous, liveness := t.member, t.liveness
	t.member = m
	n.records = append(n.records, m)
	s.changed()
	if m.Incarnation() > previous.Incarnation() {
		t.liveness, t.since, t.leaving, t.accuser = basillift.LivenessAlive, now, false, false
		if liveness == basillift.LivenessDead {
			n.report(m.ID(), basillift.EventMemberReturned, m.State(), "")
		}
	}
	if m.State() != previous.State() {
		t.since = now
		n.report(m.ID(), basillift.EventTargetState, m.State(), "")
	}
}

// takeOwn answers a record of this VM that is not older than the daemon's own, such as
// one of an earlier start with a clock that was ahead.
func (s *State) takeOwn(now time.Time, m basillift.Member, n *news) {
	own := s.entries[s.self].member
	if !m.NewerThan(own) {
		return
	}
	n.records = append(n.records, s.raise(now, m.Incarnation()))
}

func (s *State) join(now time.Time, m basillift.Member, n *news) {
	if len(s.entries) >= maxRecords {
		return
	}
	s.entries[m.ID()] = &entry{member: m, liveness: basillift.LivenessAlive, since: now}
	s.changed()
	n.records = append(n.records, m)
	n.report(m.ID(), basillift.EventMemberJoined, m.State(), "")
}

func (s *State) takeClaim(now time.Time, c Assertion, n *news) {
	switch {
	case c.domain != "":
		s.takeDomainClaim(now, c, n)
	case c.kind == AssertionSuspect || c.kind == AssertionDead:
		s.takeAccusation(now, c, n)
	case c.kind == AssertionLeaving || c.kind == AssertionStaying:
		s.takeMark(c, n)
	case c.kind == AssertionDropped:
		s.takeDrop(now, c, n)
	}
}

func (s *State) takeAccusation(now time.Time, c Assertion, n *news) {
	if c.id == s.self {
		if c.incarnation >= s.Self().Incarnation() {
			n.records = append(n.records, s.raise(now, c.incarnation))
		}
		return
	}
	t, found := s.entries[c.id]
	if !found || c.incarnation < t.member.Incarnation() || t.liveness == basillift.LivenessDead {
		return
	}
	if c.kind == AssertionDead {
		s.bury(now, t, n)
		n.claims = append(n.claims, c)
		return
	}
	if t.liveness == basillift.LivenessSuspect {
		return
	}
	s.suspect(now, t, n)
	n.claims = append(n.claims, c)
}

func (s *State) suspect(now time.Time, t *entry, n *news) {
	t.liveness, t.since = basillift.LivenessSuspect, now
	s.changed()
	n.report(t.member.ID(), basillift.EventMemberSuspected, t.member.State(), "")
}

func (s *State) bury(now time.Time, t *entry, n *news) {
	t.liveness, t.since, t.accuser = basillift.LivenessDead, now, false
	s.changed()
	n.report(t.member.ID(), basillift.EventMemberDied, t.member.State(), "")
}

func (s *State) takeMark(c Assertion, n *news) {
	t, found := s.entries[c.id]
	if !found || c.incarnation != t.member.Incarnation() || c.revision <= t.marked {
		return
	}
	t.marked = c.revision
	t.leaving = c.kind == AssertionLeaving
	s.changed()
	n.claims = append(n.claims, c)
}

// takeDrop removes a member that is dead or gone here as well. A member that looks alive
// here stays: absence from the platform's VM list proves nothing.
func (s *State) takeDrop(now time.Time, c Assertion, n *news) {
	t, found := s.entries[c.id]
	if !found || t.present() || c.incarnation < t.member.Incarnation() || c.id == s.self {
		return
	}
	delete(s.entries, c.id)
	delete(s.waiting, c.id)
	delete(s.contacted, c.id)
	s.changed()
	n.claims = append(n.claims, c)
}

func (s *State) listed(now time.Time, e Event) []Action {
	n := &news{}
	present := make(map[basillift.VMID]bool, len(e.listed))
	for _, l := range e.listed {
		present[l.id] = true
		t, found := s.entries[l.id]
		if !found || t.leaving == l.leaving || (!l.leaving && t.marked == 0) {
			continue
		}
		kind := AssertionStaying
		if l.leaving {
			kind = AssertionLeaving
		}
		s.takeMark(NewAssertion(kind, l.id, t.member.Incarnation(), e.revision), n)
	}
	for _, id := range s.ids() {
		t := s.entries[id]
		if present[id] || t.present() || now.Sub(t.since) < dropTime {
			continue
		}
		s.takeDrop(now, NewAssertion(AssertionDropped, id, t.member.Incarnation(), e.revision), n)
	}
	return n.flood("")
}
