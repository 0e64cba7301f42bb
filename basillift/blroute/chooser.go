package blroute

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
)

// initialLatency is the assumed mean latency, in seconds, before any observation.
const initialLatency = 0.01

// tolerance is the ratio of loads above which two targets count as equal. An idle
// daemon would otherwise never use the one whose last calls were slightly slower.
const tolerance = 0.8

// Chooser picks targets for one daemon's calls. It is not safe for concurrent use.
type Chooser struct {
	place    basillift.Place
	settings Settings
	rnd      *rand.Rand
	salt     uint64
	targets  map[basillift.VMID]*target
	subsets  map[string]*subset
	scratch  []*candidate
	mean     float64
}

// candidate is a target that may be chosen.
type candidate struct {
	member basillift.Member
	target *target
	dead   bool
	group  int
}

// NewChooser returns a chooser for a daemon at the given place. The random source
// also salts the daemon's choice of its subset of targets.
func NewChooser(p basillift.Place, s Settings, rnd *rand.Rand) *Chooser {
	return &Chooser{
		place: p, settings: s, rnd: rnd, salt: rnd.Uint64(),
		targets: make(map[basillift.VMID]*target), subsets: make(map[string]*subset),
		mean: initialLatency,
	}
}

// Choose picks a target for a new call among the members of one service. The
// excluded targets were tried before. The slice of targets must not change later.
func (c *Chooser) Choose(now time.Time, targets []basillift.Status, exclude ...basillift.VMID) (basillift.Member, basillift.Reason) {
	usable := c.usable(now, targets, exclude)
	if len(usable) == 0 {
		return basillift.Member{}, basillift.ReasonNoTarget
	}
	group := c.group(now, usable)
	return c.twoChoices(now, group), basillift.ReasonNone
}

// Started notes that a call was sent to a target.
func (c *Chooser) Started(now time.Time, id basillift.VMID) {
	t := c.observe(now, id)
	t.advance(now)
	t.inFlight++
}

// Finished notes how a call that was Started ended.
func (c *Chooser) Finished(now time.Time, id basillift.VMID, r Result) {
	t := c.observe(now, id)
	t.advance(now)
	t.inFlight = max(0, t.inFlight-1)
	t.completions++
	switch r {
	case ResultOK:
		c.mean += (t.latency(c.mean) - c.mean) / 64
	case ResultRefused:
		t.fullUntil = now.Add(refusalPause)
	case ResultConnectFailed, ResultCrashed:
		t.fail(now, c.settings, true)
	default:
		t.fail(now, c.settings, false)
	}
}

// observe returns the record of a target.
func (c *Chooser) observe(now time.Time, id basillift.VMID) *target {
	t := c.targets[id]
	if t == nil {
		t = &target{since: now, updated: now}
		c.targets[id] = t
	}
	return t
}

// usable lists the candidates that neither are excluded nor look bad. Targets
// that look bad are used when more than half do (ejected) or all do (dead): then
// it is more likely that the observation is wrong than that all targets are.
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
	c.scratch = c.scratch[:0]
	for i := range all {
		cd := &all[i]
		bad := cd.dead && !useDead || cd.target.ejected(now) && !useEjected
		if !bad && !contains(exclude, cd.member.ID()) {
			c.scratch = append(c.scratch, cd)
		}
	}
	return c.scratch
}

// group keeps the candidates of the nearest group that has one below the spill
// limit. When all are full, all stay: the target's own queue decides then.
func (c *Chooser) group(now time.Time, usable []*candidate) []*candidate {
	nearest := groups
	for _, cd := range usable {
		if cd.group < nearest && !cd.target.full(now, cd.member.Slots(), c.settings.spill) {
			nearest = cd.group
		}
	}
	if nearest == groups {
		return usable
	}
	kept := usable[:0]
	for _, cd := range usable {
		if cd.group == nearest && !cd.target.full(now, cd.member.Slots(), c.settings.spill) {
			kept = append(kept, cd)
		}
	}
	return kept
}

// twoChoices compares two random candidates and returns the less loaded one.
func (c *Chooser) twoChoices(now time.Time, from []*candidate) basillift.Member {
	if len(from) == 1 {
		return from[0].member
	}
	i := c.rnd.Intn(len(from))
	k := c.rnd.Intn(len(from) - 1)
	if k >= i {
		k++
	}
	if c.load(now, from[k]) < tolerance*c.load(now, from[i]) {
		return from[k].member
	}
	return from[i].member
}

// load is the expected wait at a target, in seconds.
func (c *Chooser) load(now time.Time, cd *candidate) float64 {
	t := cd.target
	t.advance(now)
	load := float64(t.inFlight+1) * t.latency(c.mean) / t.ramp(now, c.settings.slowStart)
	if cd.member.State() == basillift.TargetShedding {
		// A shedding target accepts only some calls; it gets half as many.
		load *= 2
	}
	return load
}

func contains(ids []basillift.VMID, id basillift.VMID) bool {
	for _, o := range ids {
		if o == id {
			return true
		}
	}
	return false
}
