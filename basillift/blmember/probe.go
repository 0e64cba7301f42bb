package blmember

import (
	"slices"
	"time"

	"basillift.dev/basillift"
)

func (s *State) tick(now time.Time) []Action {
	s.lastTick = now
	actions := s.expire(now)
	if now.Sub(s.lastProbe) >= probeInterval {
		s.lastProbe = now
		actions = append(actions, s.probes()...)
	}
	if now.Sub(s.lastRetry) >= retryInterval {
		s.lastRetry = now
		actions = append(actions, s.retries()...)
	}
	return actions
}

// resume drops what was believed before a pause: probes that were running prove nothing,
// and suspect members get their full time again.
func (s *State) resume(now time.Time, gap time.Duration) []Action {
	clear(s.waiting)
	for _, t := range s.entries {
		if t.liveness == basillift.LivenessSuspect {
			t.since = now
		}
	}
	for _, d := range s.domains {
		clear(d.failed)
	}
	s.verified = false
	own := s.raise(now, 0)
	return []Action{
		{kind: ActionPaused, peer: s.self, detail: gap.String()},
		{kind: ActionFlood, records: []basillift.Member{own}},
	}
}

// expire declares suspects dead whose time is over. Only the accuser passes that on: all
// others run the same timer.
func (s *State) expire(now time.Time) []Action {
	n := &news{}
	s.expireCut(now, n)
	for _, id := range s.ids() {
		t := s.entries[id]
		if t.liveness != basillift.LivenessSuspect || now.Sub(t.since) < suspectTime {
			continue
		}
		if t.accuser {
			n.claims = append(n.claims, NewAssertion(AssertionDead, id, t.member.Incarnation(), 0))
		}
		s.bury(now, t, n)
	}
	return n.flood("")
}

func (s *State) probes() []Action {
	order := s.Order()
	peers := order.Successors(s.self, probedSuccessors)
	if order.IsHead(s.self) {
		peers = append(slices.Clone(peers), s.foreignPeers()...)
	}
	return s.probeAll(peers)
}

func (s *State) disconnected(peer basillift.VMID) []Action {
	if !slices.Contains(s.Order().Successors(s.self, probedSuccessors), peer) {
		return nil
	}
	return s.probeAll([]basillift.VMID{peer})
}

func (s *State) probeAll(peers []basillift.VMID) []Action {
	var actions []Action
	for _, id := range peers {
		if _, running := s.waiting[id]; running {
			continue
		}
		s.waiting[id] = 0
		actions = append(actions, Action{kind: ActionProbe, peer: id})
	}
	return actions
}

// foreignPeers returns the heads of the other failure domains and, where the head fails,
// the members that follow it.
func (s *State) foreignPeers() []basillift.VMID {
	order := s.Order()
	var peers []basillift.VMID
	for _, fd := range order.Domains() {
		if fd == s.domain() {
			continue
		}
		ids := order.Domain(fd)
		peers = append(peers, ids[0])
		if d, found := s.domains[fd]; found && len(d.failed) > 0 {
			peers = append(peers, ids[1:min(cutProbes, len(ids))]...)
		}
	}
	return peers
}

// retries returns probes of one dead member of each failure domain, in turn, so that
// both sides of a healed partition find each other.
func (s *State) retries() []Action {
	if !s.Order().IsHead(s.self) {
		return nil
	}
	dead := map[basillift.FailureDomain][]basillift.VMID{}
	for _, id := range s.ids() {
		t := s.entries[id]
		if t.liveness == basillift.LivenessDead && t.member.State() != basillift.TargetGone {
			fd := t.member.Place().FailureDomain()
			dead[fd] = append(dead[fd], id)
		}
	}
	s.retried++
	var peers []basillift.VMID
	for _, ids := range dead {
		peers = append(peers, ids[s.retried%len(ids)])
	}
	slices.Sort(peers)
	return s.probeAll(peers)
}

func (s *State) answered(now time.Time, e Event) []Action {
	delete(s.waiting, e.peer)
	s.verify()
	actions := s.contact(now, e.peer)
	t, found := s.entries[e.peer]
	if !found {
		return actions
	}
	actions = append(actions, s.reached(now, t.member.Place().FailureDomain())...)
	return append(actions, s.compare(e.peer, e.digests)...)
}

// contact starts an exchange with a peer that is believed dead or suspect but sent a
// message, so that it hears the claim and refutes it.
func (s *State) contact(now time.Time, peer basillift.VMID) []Action {
	t, found := s.entries[peer]
	if !found || t.liveness == basillift.LivenessAlive || now.Sub(s.contacted[peer]) < probeInterval {
		return nil
	}
	s.contacted[peer] = now
	return []Action{{kind: ActionExchange, peer: peer, domain: t.member.Place().FailureDomain()}}
}

// compare starts an exchange of a failure domain's records once two probes of a peer in
// a row showed different digests.
func (s *State) compare(peer basillift.VMID, theirs Digests) []Action {
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
	t, found := s.entries[peer]
	if _, running := s.waiting[peer]; !running || !found {
		delete(s.waiting, peer)
		return nil
	}
	if t.liveness != basillift.LivenessAlive {
		delete(s.waiting, peer)
		return nil
	}
	if fd := t.member.Place().FailureDomain(); fd != s.domain() {
		delete(s.waiting, peer)
		return s.foreignFailed(now, fd, peer)
	}
	helpers := s.helpers(peer)
	if len(helpers) == 0 {
		delete(s.waiting, peer)
		return s.accuse(now, peer)
	}
	s.waiting[peer] = len(helpers)
	actions := make([]Action, 0, len(helpers))
	for _, id := range helpers {
		actions = append(actions, Action{kind: ActionIndirect, peer: peer, via: id})
	}
	return actions
}

func (s *State) helpers(peer basillift.VMID) []basillift.VMID {
	var candidates []basillift.VMID
	for _, id := range s.Order().Domain(s.domain()) {
		if id != s.self && id != peer && s.entries[id].liveness == basillift.LivenessAlive {
			candidates = append(candidates, id)
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(indirectProbes, len(candidates))]
}

func (s *State) indirect(now time.Time, e Event) []Action {
	left, running := s.waiting[e.peer]
	if !running || left == 0 {
		return nil
	}
	if e.ok {
		delete(s.waiting, e.peer)
		return nil
	}
	if left > 1 {
		s.waiting[e.peer] = left - 1
		return nil
	}
	delete(s.waiting, e.peer)
	return s.accuse(now, e.peer)
}

func (s *State) accuse(now time.Time, peer basillift.VMID) []Action {
	t, found := s.entries[peer]
	if !found || t.liveness != basillift.LivenessAlive {
		return nil
	}
	n := &news{}
	t.accuser = true
	s.suspect(now, t, n)
	n.claims = append(n.claims, NewAssertion(AssertionSuspect, peer, t.member.Incarnation(), 0))
	return n.flood("")
}
