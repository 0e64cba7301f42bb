package blroute

import (
	"cmp"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

// The groups of targets by distance from the caller.
const (
	groupDomain = iota
	groupRegion
	groupElsewhere
	groups
)

// remoteShare is the part of the subset that is kept for other failure domains,
// so that calls can spill when the own failure domain alone could fill it.
const remoteShare = 4

// forgetAfter is how long an idle target that no subset holds is remembered.
const forgetAfter = 5 * time.Minute

// subset caches the candidates of one service for one view of the directory. The
// directory replaces its slices and never changes them, so that the identity of
// the slice tells whether the cache is current.
type subset struct {
	view       []basillift.Status
	candidates []candidate
}

// subset returns the targets of a service that this daemon uses, whether or not
// they are healthy now.
func (c *Chooser) subset(now time.Time, view []basillift.Status) []candidate {
	if len(view) == 0 {
		return nil
	}
	service := view[0].Member().Service()
	cached := c.subsets[service]
	if cached != nil && len(cached.view) == len(view) && &cached.view[0] == &view[0] {
		return cached.candidates
	}
	cached = &subset{view: view, candidates: c.pick(now, view)}
	c.subsets[service] = cached
	c.forget(now)
	return cached.candidates
}

// pick chooses at most the configured number of targets by rendezvous hash.
// Targets that leave or accept nothing are never candidates. Dead ones only
// count when no other is left.
func (c *Chooser) pick(now time.Time, view []basillift.Status) []candidate {
	near, far := c.split(now, view, false)
	if len(near)+len(far) == 0 {
		near, far = c.split(now, view, true)
	}
	limit := c.settings.subset
	farCount := min(len(far), max(limit/remoteShare, limit-len(near)))
	nearCount := min(len(near), limit-farCount)
	return append(near[:nearCount:nearCount], far[:farCount]...)
}

// split lists willing targets of the own failure domain and the others, each ranked.
func (c *Chooser) split(now time.Time, view []basillift.Status, dead bool) (near, far []candidate) {
	for _, s := range view {
		m := s.Member()
		if s.Leaving() || !m.State().AcceptsRequests() || (s.Liveness() == basillift.LivenessDead) != dead {
			continue
		}
		cd := candidate{member: m, target: c.meet(now, m), dead: dead, group: c.distance(m.Place())}
		if cd.group == groupDomain {
			near = append(near, cd)
		} else {
			far = append(far, cd)
		}
	}
	c.rank(near)
	c.rank(far)
	return near, far
}

// rank orders by group, then by the weight for this daemon.
func (c *Chooser) rank(candidates []candidate) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.group, b.group),
			cmp.Compare(c.weight(b), c.weight(a)),
			cmp.Compare(a.member.ID(), b.member.ID()),
		)
	})
}

func (c *Chooser) weight(cd candidate) uint64 {
	return blrendezvous.Weight(c.salt, string(cd.member.ID()))
}

func (c *Chooser) distance(p basillift.Place) int {
	switch {
	case p.FailureDomain() == c.place.FailureDomain():
		return groupDomain
	case p.Region() == c.place.Region():
		return groupRegion
	default:
		return groupElsewhere
	}
}

// meet returns the record of a member's target. A new incarnation is a new
// process: it starts its ramp again and is not held to the failures of the last.
func (c *Chooser) meet(now time.Time, m basillift.Member) *target {
	t := c.observe(now, m.ID())
	if t.incarnation != 0 && m.Incarnation() > t.incarnation {
		*t = target{since: now, updated: now, inFlight: t.inFlight}
	}
	t.incarnation = max(t.incarnation, m.Incarnation())
	return t
}

// forget drops idle targets that no subset uses.
func (c *Chooser) forget(now time.Time) {
	used := make(map[*target]bool)
	for _, s := range c.subsets {
		for _, cd := range s.candidates {
			used[cd.target] = true
		}
	}
	for id, t := range c.targets {
		if !used[t] && t.inFlight == 0 && now.Sub(t.updated) > forgetAfter {
			delete(c.targets, id)
		}
	}
}
