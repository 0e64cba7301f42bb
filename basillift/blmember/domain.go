package blmember

import (
	"maps"
	"slices"
	"time"

	"basillift.dev/basillift"
)

func (s *State) ownDomain() basillift.FailureDomain { return s.Self().Place().FailureDomain() }

func (s *State) domainState(fd basillift.FailureDomain) *domainState {
	d, found := s.domains[fd]
	if !found {
		d = &domainState{failedProbes: map[basillift.VMID]bool{}}
		s.domains[fd] = d
	}
	return d
}

// remoteProbeFailed records a failed probe of a member in another failure domain. The
// member isn't suspected: members are only declared dead by their own failure domain, so
// that a partitioned link doesn't make a whole failure domain look dead. When the first
// partitionProbes members all fail, the failure domain counts as partitioned.
func (s *State) remoteProbeFailed(now time.Time, fd basillift.FailureDomain, peer basillift.VMID) []Action {
	d := s.domainState(fd)
	d.failedProbes[peer] = true
	ids := s.Order().Domain(fd)
	for _, id := range ids[:min(partitionProbes, len(ids))] {
		if !d.failedProbes[id] {
			return nil
		}
	}
	if d.partitioned && now.Sub(d.renewedAt) < retryInterval {
		return nil
	}
	return s.assertDomain(now, AssertionPartitioned, fd)
}

// domainReached records that a member of a failure domain answered a probe.
func (s *State) domainReached(now time.Time, fd basillift.FailureDomain) []Action {
	d, found := s.domains[fd]
	if !found {
		return nil
	}
	clear(d.failedProbes)
	if !d.partitioned {
		return nil
	}
	return s.assertDomain(now, AssertionRejoined, fd)
}

func (s *State) assertDomain(now time.Time, k AssertionKind, fd basillift.FailureDomain) []Action {
	changes := &changeSet{}
	revision := max(uint64(max(now.UnixMilli(), 0)), s.domainState(fd).revision+1)
	s.applyDomainAssertion(now, NewDomainAssertion(k, fd, revision), changes)
	return changes.flood("")
}

// applyDomainAssertion applies an assertion that a head made about another failure domain.
// Assertions about the daemon's own failure domain are ignored.
func (s *State) applyDomainAssertion(now time.Time, a Assertion, changes *changeSet) {
	if a.domain == s.ownDomain() {
		return
	}
	d := s.domainState(a.domain)
	if a.revision <= d.revision {
		return
	}
	d.revision, d.renewedAt = a.revision, now
	changes.assertions = append(changes.assertions, a)
	s.setPartitioned(a.domain, a.kind == AssertionPartitioned, changes)
}

func (s *State) setPartitioned(fd basillift.FailureDomain, partitioned bool, changes *changeSet) {
	d := s.domainState(fd)
	if d.partitioned == partitioned {
		return
	}
	d.partitioned = partitioned
	s.generation++
	kind, detail := basillift.EventMemberReturned, "failure domain "+string(fd)+" reachable again"
	if partitioned {
		kind, detail = basillift.EventMemberSuspected, "failure domain "+string(fd)+" cut off"
	}
	changes.report("", kind, "", detail)
}

// expirePartitions clears partitions that no head renewed within partitionTimeout. Heads
// renew a partition while it lasts. Without the timeout, a member that missed the
// assertion of its end would keep it forever.
func (s *State) expirePartitions(now time.Time, changes *changeSet) {
	for _, fd := range slices.Sorted(maps.Keys(s.domains)) {
		if d := s.domains[fd]; d.partitioned && now.Sub(d.renewedAt) >= partitionTimeout {
			s.setPartitioned(fd, false, changes)
		}
	}
}
