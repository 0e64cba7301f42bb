package blroute

import (
	"cmp"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

// The groups of targets, the nearest to the caller first.
const (
	groupSameDomain = iota
	groupSameRegion
	groupOtherRegion
	groupCount
)

// remoteSubsetDivisor reserves 1/4 of the subset for other failure domains, so that
// calls can spill to them even if the caller's failure domain has enough targets to
// fill the subset.
const remoteSubsetDivisor = 4

// idleTargetRetention is how long after the last update the statistics of an idle
// target are kept if no subset contains it.
const idleTargetRetention = 5 * time.Minute

// subset caches the candidates of one service for one snapshot of the directory. The
// directory replaces its slices and never modifies them, so a slice of the same
// identity means that the cache is current.
type subset struct {
	members    []basillift.Status
	candidates []candidate
}

// subset returns the targets of a service that this daemon uses, including those
// that are ejected now.
func (c *Chooser) subset(now time.Time, members []basillift.Status) []candidate {
	if len(members) == 0 {
		return nil
	}
	service := members[0].Member().Service()
	cached := c.subsets[service]
	if cached != nil && len(cached.members) == len(members) && &cached.members[0] == &members[0] {
		return cached.candidates
	}
	cached = &subset{members: members, candidates: c.selectSubset(now, members)}
	c.subsets[service] = cached
	c.dropIdleTargets(now)
	return cached.candidates
}

// selectSubset selects at most the configured number of targets by rendezvous
// hashing. Targets that are leaving or accept no requests are never candidates. Dead
// ones are candidates only if no other is left.
func (c *Chooser) selectSubset(now time.Time, members []basillift.Status) []candidate {
	near, far := c.splitByDomain(now, members, false)
	if len(near)+len(far) == 0 {
		near, far = c.splitByDomain(now, members, true)
	}
	limit := c.settings.subset
	farCount := min(len(far), max(limit/remoteSubsetDivisor, limit-len(near)))
	nearCount := min(len(near), limit-farCount)
	return append(near[:nearCount:nearCount], far[:farCount]...)
}

// splitByDomain returns the targets that accept requests, ranked: those in the
// caller's failure domain and the others. The argument dead selects either the dead
// targets or all others.
func (c *Chooser) splitByDomain(now time.Time, members []basillift.Status, dead bool) (near, far []candidate) {
	for _, s := range members {
		m := s.Member()
		if s.Leaving() || !m.State().AcceptsRequests() || (s.Liveness() == basillift.LivenessDead) != dead {
			continue
		}
		cd := candidate{member: m, target: c.targetOf(now, m), dead: dead, group: c.groupOf(m.Place())}
		if cd.group == groupSameDomain {
			near = append(near, cd)
		} else {
			far = append(far, cd)
		}
	}
	c.rank(near)
	c.rank(far)
	return near, far
}

// rank sorts by group, then by this daemon's rendezvous weight, highest first.
func (c *Chooser) rank(candidates []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.group, b.group),
			cmp.Compare(c.rendezvousWeight(b), c.rendezvousWeight(a)),
			cmp.Compare(a.member.ID(), b.member.ID()),
		)
	})
}

func (c *Chooser) rendezvousWeight(cd candidate) uint64 {
	return blrendezvous.Weight(c.salt, string(cd.member.ID()))
}

func (c *Chooser) groupOf(p basillift.Place) int {
	switch {
	case p.FailureDomain() == c.place.FailureDomain():
		return groupSameDomain
	case p.Region() == c.place.Region():
		return groupSameRegion
	default:
		return groupOtherRegion
	}
}

// targetOf returns the statistics of a member's target. A new incarnation is a new
// process: its slow start begins again and the failures of the previous process no
// longer count.
func (c *Chooser) targetOf(now time.Time, m basillift.Member) *target {
	t := c.targetByID(now, m.ID())
	if t.incarnation != 0 && m.Incarnation() > t.incarnation {
		*t = target{slowStartAt: now, updated: now, inFlight: t.inFlight}
	}
	t.incarnation = max(t.incarnation, m.Incarnation())
	return t
}

// dropIdleTargets deletes the statistics of targets that no subset contains, that have
// no call in flight and that had no update for idleTargetRetention.
func (c *Chooser) dropIdleTargets(now time.Time) {
	used := make(map[*target]bool)
	for _, s := range c.subsets {
		for _, cd := range s.candidates {
			used[cd.target] = true
		}
	}
	for id, t := range c.targets {
		if !used[t] && t.inFlight == 0 && now.Sub(t.updated) > idleTargetRetention {
			delete(c.targets, id)
		}
	}
}
