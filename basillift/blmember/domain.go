package blmember

import (
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
	if d.cut {
		return nil
	}
	return s.setCut(d, NewDomainClaim(ClaimCut, fd, uint64(max(now.UnixMilli(), 0))))
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
	return s.setCut(d, NewDomainClaim(ClaimRejoined, fd, max(uint64(max(now.UnixMilli(), 0)), d.revision+1)))
}

func (s *State) setCut(d *domainState, c Claim) []Action {
	n := &news{}
	s.takeDomainClaim(c, n)
	return n.flood("")
}

// takeDomainClaim believes what a head says of another failure domain, and nothing that
// others say of the daemon's own.
func (s *State) takeDomainClaim(c Claim, n *news) {
	if c.domain == s.domain() {
		return
	}
	d := s.domainState(c.domain)
	if c.revision <= d.revision {
		return
	}
	d.revision = c.revision
	cut := c.kind == ClaimCut
	if d.cut == cut {
		return
	}
	d.cut = cut
	s.generation++
	n.claims = append(n.claims, c)
	kind, detail := basillift.EventMemberReturned, "failure domain "+string(c.domain)+" reachable again"
	if cut {
		kind, detail = basillift.EventMemberSuspected, "failure domain "+string(c.domain)+" cut off"
	}
	n.report("", kind, "", detail)
}
