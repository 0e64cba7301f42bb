package blroute

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
)

// initialLatencySeconds is the mean latency that is assumed before the first observation.
const initialLatencySeconds = 0.01

// equalLoadRatio is the ratio of two expected waits above which both targets count
// as equally loaded. Without it, an idle daemon would never use a target whose last
// calls were slightly slower.
const equalLoadRatio = 0.8

// Chooser selects targets for the calls of one daemon. It is not safe for concurrent
// use.
type Chooser struct {
	place              basillift.Place
	settings           Settings
	rnd                *rand.Rand
	salt               uint64
	targets            map[basillift.VMID]*target
	subsets            map[string]*subset
	usableBuffer       []*candidate
	meanLatencySeconds float64
}

// candidate is a target of this daemon's subset. Dead targets are in the subset only if
// no live target of the service accepts requests.
type candidate struct {
	member basillift.Member
	target *target
	dead   bool
	group  int
}

// NewChooser returns a chooser for a daemon at the given place. A salt from the
// random source makes the daemon's subset of targets differ from that of others.
func NewChooser(p basillift.Place, s Settings, rnd *rand.Rand) *Chooser {
	return &Chooser{
		place: p, settings: s, rnd: rnd, salt: rnd.Uint64(),
		targets: make(map[basillift.VMID]*target), subsets: make(map[string]*subset),
		meanLatencySeconds: initialLatencySeconds,
	}
}

// Choose selects a target for a new call among the members of one service, or
// returns ReasonNoTarget. The call was already tried at the excluded targets. The
// slice of targets is cached by identity, so it must not be modified later.
func (c *Chooser) Choose(now time.Time, targets []basillift.Status, exclude ...basillift.VMID) (basillift.Member, basillift.Reason) {
	usable := c.usable(now, targets, exclude)
	if len(usable) == 0 {
		return basillift.Member{}, basillift.ReasonNoTarget
	}
	group := c.nearestGroup(now, usable)
	return c.twoChoices(now, group), basillift.ReasonNone
}

// Started records that a call was sent to a target.
func (c *Chooser) Started(now time.Time, id basillift.VMID) {
	t := c.targetByID(now, id)
	t.advance(now)
	t.inFlight++
}

// Finished records the result of a call that was reported to Started.
func (c *Chooser) Finished(now time.Time, id basillift.VMID, r Result) {
	t := c.targetByID(now, id)
	t.advance(now)
	t.inFlight = max(0, t.inFlight-1)
	t.completions++
	switch r {
	case ResultOK:
		c.meanLatencySeconds += (t.estimatedLatency(c.meanLatencySeconds) - c.meanLatencySeconds) / 64
	case ResultRefused:
		t.saturatedUntil = now.Add(refusalBackoff)
	case ResultConnectFailed, ResultCrashed:
		t.recordFailure(now, c.settings, true)
	default:
		t.recordFailure(now, c.settings, false)
	}
}

// targetByID returns the statistics of a target and creates them on first use.
func (c *Chooser) targetByID(now time.Time, id basillift.VMID) *target {
	t := c.targets[id]
	if t == nil {
		t = &target{slowStartAt: now, updated: now}
		c.targets[id] = t
	}
	return t
}

// usable returns the candidates that are neither excluded nor unhealthy. Ejected
// targets are used nevertheless if more than half of the live ones are ejected, and
// dead targets if all are dead: then a wrong observation is more likely than a
// failure of that many targets.
func (c *Chooser) usable(now time.Time, targets []basillift.Status, exclude []basillift.VMID) []*candidate {
	all := c.subset(now, targets)
	dead, ejected := 0, 0
	for i := range all {
		switch {
		case all[i].dead:
			dead++
		case all[i].target.ejected(now):
			ejected++
		}
	}
	useDead := dead == len(all)
	useEjected := 2*ejected > len(all)-dead
	c.usableBuffer = c.usableBuffer[:0]
	for i := range all {
		cd := &all[i]
		unhealthy := cd.dead && !useDead || cd.target.ejected(now) && !useEjected
		if !unhealthy && !containsID(exclude, cd.member.ID()) {
			c.usableBuffer = append(c.usableBuffer, cd)
		}
	}
	return c.usableBuffer
}

// nearestGroup returns the unsaturated candidates of the nearest group that has any.
// If all candidates are saturated, it returns all of them and leaves the decision to
// the target's own queue.
func (c *Chooser) nearestGroup(now time.Time, usable []*candidate) []*candidate {
	nearest := groupCount
	for _, cd := range usable {
		if cd.group < nearest && !cd.target.saturated(now, cd.member.Slots(), c.settings.spillThreshold) {
			nearest = cd.group
		}
	}
	if nearest == groupCount {
		return usable
	}
	kept := usable[:0]
	for _, cd := range usable {
		if cd.group == nearest && !cd.target.saturated(now, cd.member.Slots(), c.settings.spillThreshold) {
			kept = append(kept, cd)
		}
	}
	return kept
}

// twoChoices compares two random candidates and returns the one with the shorter
// expected wait (power of two choices).
func (c *Chooser) twoChoices(now time.Time, from []*candidate) basillift.Member {
	if len(from) == 1 {
		return from[0].member
	}
	i := c.rnd.Intn(len(from))
	k := c.rnd.Intn(len(from) - 1)
	if k >= i {
		k++
	}
	if c.expectedWait(now, from[k]) < equalLoadRatio*c.expectedWait(now, from[i]) {
		return from[k].member
	}
	return from[i].member
}

// expectedWait estimates how long a new call takes at a target, in seconds.
func (c *Chooser) expectedWait(now time.Time, cd *candidate) float64 {
	t := cd.target
	t.advance(now)
	load := float64(t.inFlight+1) * t.estimatedLatency(c.meanLatencySeconds) / t.slowStartFactor(now, c.settings.slowStart)
	if cd.member.State() == basillift.TargetShedding {
		// A shedding target accepts only some of its calls, so it gets half as many.
		load *= 2
	}
	return load
}

func containsID(ids []basillift.VMID, id basillift.VMID) bool {
	for _, o := range ids {
		if o == id {
			return true
		}
	}
	return false
}
