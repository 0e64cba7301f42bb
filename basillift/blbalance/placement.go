package blbalance

import (
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

// placement says which group of targets a target belongs to for one request.
type placement string

const (
	placementExcluded placement = "excluded"
	placementPaused   placement = "paused"
	placementLocal    placement = "local"
	placementRemote   placement = "remote"
)

// place returns the group of a target that is not leaving. usable is set if the target is not paused, also if it is excluded.
func (b *Balancer) place(now time.Time, e basillift.Endpoint, exclude []string, state *targetState) (p placement, usable bool) {
	paused := b.paused(now, e, state)
	switch {
	case slices.Contains(exclude, e.Instance()):
		return placementExcluded, !paused
	case paused:
		return placementPaused, false
	case e.Domain() == b.domain:
		return placementLocal, true
	default:
		return placementRemote, true
	}
}

// comparedCounts returns how many of the local and remote targets are compared for a request.
func comparedCounts(local, remote int) (comparedLocal, comparedRemote int) {
	return min(localCandidates, local), min(max(minRemoteCandidates, localCandidates-local), remote)
}

// comparesPaused reports whether paused targets are compared: if all targets are paused, wrong observations are more likely than
// the failure of all targets.
func comparesPaused(candidates int, anyUsable bool) bool { return candidates == 0 && !anyUsable }

// targetGroups are the targets of each placement, without those that are leaving.
type targetGroups struct {
	local, remote, paused []*blfleet.Target
	anyUsable             bool
}

// group returns the groups in which Choose compares targets, and changes no state. Choose has no use for it: slices that are
// returned are allocated for each request.
func (b *Balancer) group(now time.Time, targets []*blfleet.Target, exclude []string) targetGroups {
	var g targetGroups
	for _, t := range targets {
		e := t.Endpoint()
		if _, leaving := b.advisories.Leaving(e); leaving {
			continue
		}
		p, usable := b.place(now, e, exclude, b.peek(e.Instance()))
		g.anyUsable = g.anyUsable || usable
		switch p {
		case placementPaused:
			g.paused = append(g.paused, t)
		case placementLocal:
			g.local = append(g.local, t)
		case placementRemote:
			g.remote = append(g.remote, t)
		}
	}
	return g
}

// peek returns the observed state of a target without creating or touching one.
func (b *Balancer) peek(instance string) *targetState {
	if state := b.targets[instance]; state != nil {
		return state
	}
	return &targetState{}
}

// domainPaused reports whether a failure domain is paused.
func (b *Balancer) domainPaused(now time.Time, domain basillift.FailureDomain) bool {
	state := b.domains[domain]
	return state != nil && now.Before(state.pauseUntil)
}
