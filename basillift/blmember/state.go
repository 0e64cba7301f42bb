package blmember

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blrelay"
)

const (
	// suspectTime is how long a suspect member has to refute before it is dead.
	suspectTime = 2 * time.Second
	// probeInterval is the time between two probes of the same peer.
	probeInterval = time.Second
	// probedSuccessors is the number of ring successors that each daemon probes, so that
	// two neighbours must die together before a death goes unnoticed.
	probedSuccessors = 2
	// indirectProbes is the number of members asked to probe a peer that did not answer.
	indirectProbes = 2
	// retryInterval is the time between two attempts at a dead member or a failure
	// domain that is cut off.
	retryInterval = 5 * time.Second
	// pauseGap is the time between two ticks above which the process counts as paused;
	// ticks come every 500 ms.
	pauseGap = 3 * time.Second
	// mismatchProbes is the number of probes with different digests that start an
	// exchange; a record that is still on its way explains one.
	mismatchProbes = 2
	// dropTime is how long a dead or gone member is kept once the platform's VM list
	// does not hold it; idempotency keys live as long.
	dropTime = 10 * time.Minute
	// maxRecords bounds the records held. The mesh has 1,200 members, and 74 are
	// replaced a day.
	maxRecords = 4096
	// cutProbes is the number of members of another failure domain that must all fail
	// before the domain counts as cut off.
	cutProbes = 3
	// cutTime is how long a cut is believed that no head renews; heads renew it every
	// retryInterval.
	cutTime = 3 * retryInterval
)

type entry struct {
	member   basillift.Member
	liveness basillift.Liveness
	since    time.Time
	leaving  bool
	marked   uint64
	accuser  bool
}

func (t *entry) present() bool {
	return t.liveness != basillift.LivenessDead && t.member.State() != basillift.TargetGone
}

type comparison struct {
	peer   basillift.VMID
	domain basillift.FailureDomain
}

type domainState struct {
	failed   map[basillift.VMID]bool
	cut      bool
	revision uint64
	renewed  time.Time
}

// State is one daemon's membership.
type State struct {
	self       basillift.VMID
	entries    map[basillift.VMID]*entry
	order      *blrelay.Order
	stale      bool
	random     *rand.Rand
	lastTick   time.Time
	lastProbe  time.Time
	lastRetry  time.Time
	retried    int
	waiting    map[basillift.VMID]int
	contacted  map[basillift.VMID]time.Time
	mismatches map[comparison]int
	domains    map[basillift.FailureDomain]*domainState
	digests    Digests
	verified   bool
	generation uint64
}

// NewState returns the membership of a daemon that knows only itself.
func NewState(now time.Time, self basillift.Member, random *rand.Rand) *State {
	s := &State{
		self: self.ID(), random: random, lastTick: now, verified: true, stale: true, generation: 1,
		entries:    map[basillift.VMID]*entry{},
		waiting:    map[basillift.VMID]int{},
		contacted:  map[basillift.VMID]time.Time{},
		mismatches: map[comparison]int{},
		domains:    map[basillift.FailureDomain]*domainState{},
	}
	s.entries[self.ID()] = &entry{member: self, liveness: basillift.LivenessAlive, since: now}
	return s
}

// Self is the daemon's own record.
func (s *State) Self() basillift.Member { return s.entries[s.self].member }

// Verified is false after a pause until a peer or the target confirmed the daemon's beliefs.
func (s *State) Verified() bool { return s.verified }

// Generation grows with each change of the view.
func (s *State) Generation() uint64 { return s.generation }

// Order arranges the members that are neither dead nor gone; the daemon itself always takes part.
func (s *State) Order() *blrelay.Order {
	s.refresh()
	return s.order
}

// Digests returns one digest of the live records for each failure domain. The caller must not change it.
func (s *State) Digests() Digests {
	s.refresh()
	return s.digests
}

// Partitioned returns whether a failure domain is cut off.
func (s *State) Partitioned(fd basillift.FailureDomain) bool {
	d, found := s.domains[fd]
	return found && d.cut
}

// Apply takes an observation and returns what to do about it. The pause check comes
// before any event: after a pause, results of probes that expired meanwhile are queued
// before the next tick and must not count as evidence.
func (s *State) Apply(now time.Time, e Event) []Action {
	gap := now.Sub(s.lastTick)
	if gap <= pauseGap {
		return s.take(now, e)
	}
	s.lastTick = now
	return append(s.resume(now, gap), s.take(now, e)...)
}

func (s *State) take(now time.Time, e Event) []Action {
	switch e.kind {
	case eventTick:
		return s.tick(now)
	case eventReceived:
		return s.receive(now, e)
	case eventExchanged:
		s.verify()
		return s.receive(now, e)
	case eventAnswered:
		return s.answered(now, e)
	case eventFailed:
		return s.probeFailed(now, e.peer)
	case eventIndirect:
		return s.indirect(now, e)
	case eventContacted:
		return s.contact(now, e.peer)
	case eventListed:
		return s.listed(now, e)
	case eventLost:
		return s.disconnected(e.peer)
	case eventState:
		return s.changeState(now, e.state)
	default:
		s.verify()
		return nil
	}
}

func (s *State) verify() {
	if !s.verified {
		s.verified = true
		s.generation++
	}
}

func (s *State) changed() {
	s.stale = true
	s.generation++
}

func (s *State) changeState(now time.Time, t basillift.TargetState) []Action {
	own := s.entries[s.self]
	if own.member.State() == t {
		return nil
	}
	own.member = own.member.WithState(t)
	own.since = now
	s.changed()
	return []Action{
		{kind: ActionFlood, records: []basillift.Member{own.member}},
		{kind: ActionReport, peer: s.self, report: basillift.EventTargetState, state: t},
	}
}

// raise gives the daemon's own record a new incarnation above the given one.
func (s *State) raise(now time.Time, above uint64) basillift.Member {
	own := s.entries[s.self]
	next := max(uint64(max(now.UnixMilli(), 0)), above+1, own.member.Incarnation()+1)
	own.member = own.member.WithOrder(next, 0)
	s.changed()
	return own.member
}
