package blmember

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

func (s *State) handleTick(now time.Time) []Action {
	s.lastTick = now
	actions := s.expire(now)
	if now.Sub(s.lastProbe) >= probeInterval {
		s.lastProbe = now
		actions = append(actions, s.probes()...)
	}
	if now.Sub(s.lastRetry) >= retryInterval {
		s.lastRetry = now
		actions = append(actions, s.retryProbes()...)
	}
	return actions
}

// resumeAfterPause discards state from before a pause. Results of probes that were in
// flight are no evidence, and suspect members get the full suspectTimeout again. The own
// record gets a higher incarnation, since peers may have declared this daemon dead.
func (s *State) resumeAfterPause(now time.Time, gap time.Duration) []Action {
	clear(s.pendingProbes)
	for _, en := range s.entries {
		if en.liveness == basillift.LivenessSuspect {
			en.changedAt = now
		}
	}
	for _, d := range s.domains {
		clear(d.failedProbes)
	}
	s.verified = false
	own := s.raiseIncarnation(now, 0)
	return []Action{
		{kind: ActionPaused, peer: s.self, detail: gap.String()},
		{kind: ActionFlood, records: []basillift.Member{own}},
	}
}

// expire declares members dead that were suspect for suspectTimeout. Only the daemon that
// detected the failure floods the assertion, because all others run the same timer.
func (s *State) expire(now time.Time) []Action {
	changes := &changeSet{}
	s.expirePartitions(now, changes)
	for _, id := range s.ids() {
		en := s.entries[id]
		if en.liveness != basillift.LivenessSuspect || now.Sub(en.changedAt) < suspectTimeout {
			continue
		}
		if en.detectedLocally {
			changes.assertions = append(changes.assertions, NewAssertion(AssertionDead, id, en.member.Incarnation(), 0))
		}
		s.markDead(now, en, changes)
	}
	return changes.flood("")
}

func (s *State) probes() []Action {
	order := s.Order()
	peers := order.Successors(s.self, probedSuccessors)
	if order.IsHead(s.self) {
		peers = append(slices.Clone(peers), s.remotePeers()...)
	}
	return s.startProbes(peers)
}

func (s *State) disconnected(peer basillift.VMID) []Action {
	if !slices.Contains(s.Order().Successors(s.self, probedSuccessors), peer) {
		return nil
	}
	return s.startProbes([]basillift.VMID{peer})
}

func (s *State) startProbes(peers []basillift.VMID) []Action {
	var actions []Action
	for _, id := range peers {
		if _, running := s.pendingProbes[id]; running {
			continue
		}
		s.pendingProbes[id] = 0
		actions = append(actions, Action{kind: ActionProbe, peer: id})
	}
	return actions
}

// remotePeers returns the heads of the other failure domains. For a failure domain with
// failed probes it adds the next members, up to partitionProbes in total.
func (s *State) remotePeers() []basillift.VMID {
	order := s.Order()
	var peers []basillift.VMID
	for _, fd := range order.Domains() {
		if fd == s.ownDomain() {
			continue
		}
		ids := order.Domain(fd)
		peers = append(peers, ids[0])
		if d, found := s.domains[fd]; found && len(d.failedProbes) > 0 {
			peers = append(peers, ids[1:min(partitionProbes, len(ids))]...)
		}
	}
	return peers
}

// retryProbes probes one dead member of each failure domain, in round-robin order, so that
// both sides of a healed partition find each other.
func (s *State) retryProbes() []Action {
	if !s.Order().IsHead(s.self) {
		return nil
	}
	dead := map[basillift.FailureDomain][]basillift.VMID{}
	for _, id := range s.ids() {
		en := s.entries[id]
		if en.liveness == basillift.LivenessDead && en.member.State() != basillift.TargetGone {
			fd := en.member.Place().FailureDomain()
			dead[fd] = append(dead[fd], id)
		}
	}
	s.retryRound++
	var peers []basillift.VMID
	for _, ids := range dead {
		peers = append(peers, ids[s.retryRound%len(ids)])
	}
	slices.Sort(peers)
	return s.startProbes(peers)
}

func (s *State) probeAnswered(now time.Time, e Event) []Action {
	delete(s.pendingProbes, e.peer)
	s.markVerified()
	actions := s.exchangeOnContact(now, e.peer)
	en, found := s.entries[e.peer]
	if !found {
		return actions
	}
	actions = append(actions, s.domainReached(now, en.member.Place().FailureDomain())...)
	return append(actions, s.compareDigests(e.peer, e.digests)...)
}

// exchangeOnContact starts an exchange with a peer that is dead or suspect here but sent a
// message. The peer receives the assertion about itself and refutes it.
func (s *State) exchangeOnContact(now time.Time, peer basillift.VMID) []Action {
	en, found := s.entries[peer]
	if !found || en.liveness == basillift.LivenessAlive || now.Sub(s.lastContact[peer]) < probeInterval {
		return nil
	}
	s.lastContact[peer] = now
	return []Action{{kind: ActionExchange, peer: peer, domain: en.member.Place().FailureDomain()}}
}

// compareDigests starts an exchange of a failure domain's records when mismatchProbes
// consecutive probes of a peer returned a different digest.
func (s *State) compareDigests(peer basillift.VMID, theirs Digests) []Action {
	own := s.Digests()
	var differing []basillift.FailureDomain
	for fd, d := range own {
		if theirs[fd] != d {
			differing = append(differing, fd)
		}
	}
	for fd := range theirs {
		if _, found := own[fd]; !found {
			differing = append(differing, fd)
		}
	}
	for c := range s.mismatches {
		if c.peer == peer && !slices.Contains(differing, c.domain) {
			delete(s.mismatches, c)
		}
	}
	slices.Sort(differing)
	var actions []Action
	for _, fd := range differing {
		c := comparison{peer: peer, domain: fd}
		s.mismatches[c]++
		if s.mismatches[c] >= mismatchProbes {
			delete(s.mismatches, c)
			actions = append(actions, Action{kind: ActionExchange, peer: peer, domain: fd})
		}
	}
	return actions
}

func (s *State) probeFailed(now time.Time, peer basillift.VMID) []Action {
	en, found := s.entries[peer]
	if _, running := s.pendingProbes[peer]; !running || !found {
		delete(s.pendingProbes, peer)
		return nil
	}
	if en.liveness != basillift.LivenessAlive {
		delete(s.pendingProbes, peer)
		return nil
	}
	if fd := en.member.Place().FailureDomain(); fd != s.ownDomain() {
		delete(s.pendingProbes, peer)
		return s.remoteProbeFailed(now, fd, peer)
	}
	probers := s.selectIndirectProbers(peer)
	if len(probers) == 0 {
		delete(s.pendingProbes, peer)
		return s.suspectPeer(now, peer)
	}
	s.pendingProbes[peer] = len(probers)
	actions := make([]Action, 0, len(probers))
	for _, id := range probers {
		actions = append(actions, Action{kind: ActionIndirect, peer: peer, via: id})
	}
	return actions
}

func (s *State) selectIndirectProbers(peer basillift.VMID) []basillift.VMID {
	var candidates []basillift.VMID
	for _, id := range s.Order().Domain(s.ownDomain()) {
		if id != s.self && id != peer && s.entries[id].liveness == basillift.LivenessAlive {
			candidates = append(candidates, id)
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(indirectProbes, len(candidates))]
}

func (s *State) indirectAnswered(now time.Time, e Event) []Action {
	pending, running := s.pendingProbes[e.peer]
	if !running || pending == 0 {
		return nil
	}
	if e.reached {
		delete(s.pendingProbes, e.peer)
		return nil
	}
	if pending > 1 {
		s.pendingProbes[e.peer] = pending - 1
		return nil
	}
	delete(s.pendingProbes, e.peer)
	return s.suspectPeer(now, e.peer)
}

func (s *State) suspectPeer(now time.Time, peer basillift.VMID) []Action {
	en, found := s.entries[peer]
	if !found || en.liveness != basillift.LivenessAlive {
		return nil
	}
	changes := &changeSet{}
	en.detectedLocally = true
	s.markSuspect(now, en, changes)
	changes.assertions = append(changes.assertions, NewAssertion(AssertionSuspect, peer, en.member.Incarnation(), 0))
	return changes.flood("")
}
