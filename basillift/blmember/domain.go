package blmember

import (
	"maps"
	"slices"
	"time"

	"basillift.dev/basillift"
)

func (s *State) domain() basillift.FailureDomain { return s.Self().Place().FailureDomain() }

func (s *State) domainState(fd basillift.FailureDomain) *domainState {
	d, found := s.domains[fd]
	if !found {
		d = &domainState{failed: map[basillift.VMID]bool{}}
		s.domains[fd] = d
	}
	return d
}

// foreignFailed notes a failed probe of another failure domain. Its members are not
// accused: whether one of them died is for its own failure domain to find, and a cut
// link must not make a whole failure domain look dead.
func (s *State) foreignFailed(now time.Time, fd basillift.FailureDomain, peer basillift.VMID) []Action {
	d := s.domainState(fd)
	d.failed[peer] = true
	ids := s.Order().Domain(fd)
	for _, id := range ids[:min(cutProbes, len(ids))] {
		if !d.failed[id] {
			return nil
		}
	}
	if d.cut && now.Sub(d.renewed) < retryInterval {
		return nil
	}
	return s.claimDomain(now, AssertionPartitioned, fd)
}

// reached notes that a member of a failure domain answered.
func (s *State) reached(now time.Time, fd basillift.FailureDomain) []Action {
	d, found := s.domains[fd]
	if !found {
		return nil
	}
	clear(d.failed)
	if !d.cut {
		return nil
	}
	return s.claimDomain(now, AssertionRejoined, fd)
}

func (s *State) claimDomain(now time.Time, k AssertionKind, fd basillift.FailureDomain) []Action {
	n := &news{}
	revision := max(uint64(max(now.UnixMilli(), 0)), s.domainState(fd).revision+1)
	s.takeDomainClaim(now, NewDomainAssertion(k, fd, revision), n)
	return n.flood("")
}

// takeDomainClaim believes what a head says of another failure domain, and nothing that
// others say of the daemon's own.
func (s *State) takeDomainClaim(now time.Time, c Assertion, n *news) {
	if c.domain == s.domain() {
		return
	}
	d := s.domainState(c.domain)
	if c.revision <= d.revision {
		return
	}
	d.revision, d.renewed = c.revision, now
	n.claims = append(n.claims, c)
	s.setCut(c.domain, c.kind == AssertionPartitioned, n)
}

func (s *State) setCut(fd basillift.FailureDomain, cut bool, n *news) {
	d := s.domainState(fd)
	if d.cut == cut {
		return
	}
	d.cut = cut
	s.generation++
	kind, detail := basillift.EventMemberReturned, "failure domain "+string(fd)+" reachable again"
	if cut {
		kind, detail = basillift.EventMemberSuspected, "failure domain "+string(fd)+" cut off"
	}
	n.report("", kind, "", detail)
}

// expireCut forgets a cut that no head renewed. Heads renew it while it lasts, so that a
// member that missed the end of it does not believe in it for ever.
func (s *State) expireCut(now time.Time, n *news) {
	for _, fd := range slices.Sorted(maps.Keys(s.domains)) {
		if d := s.domains[fd]; d.cut && now.Sub(d.renewed) >= cutTime {
			s.setCut(fd, false, n)
		}
	}
}
