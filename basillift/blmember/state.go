package blmember

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blrelay"
)

const (
	// suspectTimeout is the time that a suspect member has to refute the suspicion before it
	// is declared dead.
	suspectTimeout = 2 * time.Second
	// probeInterval is the time between two probes of the same peer.
	probeInterval = time.Second
	// probedSuccessors is the number of ring successors that each daemon probes. With 2, a
	// failure only goes undetected when two neighbors fail at the same time.
	probedSuccessors = 2
	// indirectProbes is the number of members asked to probe a peer that did not answer.
	indirectProbes = 2
	// retryInterval is the time between two probes of dead members, and between two
	// renewals of a partitioned failure domain.
	retryInterval = 5 * time.Second
	// pauseThreshold is the time since the last tick above which the process counts as
	// paused; ticks come every 500 ms.
	pauseThreshold = 3 * time.Second
	// mismatchProbes is the number of consecutive probes with a different digest that start
	// an exchange. A record that is still in transit can cause a single mismatch.
	mismatchProbes = 2
	// dropDelay is the time for which a dead or gone member is kept when the platform's VM
	// list does not contain it. Idempotency keys have the same lifetime.
	dropDelay = 10 * time.Minute
	// maxRecords is the maximum number of member records. The mesh has 1,200 members, of
	// which 74 are replaced per day.
	maxRecords = 4096
	// partitionProbes is the number of members of another failure domain whose probes must
	// all fail before the domain counts as partitioned.
	partitionProbes = 3
	// partitionTimeout is the time after which a partition that no head renews expires.
	// Heads renew it every retryInterval.
	partitionTimeout = 3 * retryInterval
)

// entry is what the daemon knows of one member. leavingRevision is the revision of the
// platform's VM list that set or cleared leaving; detectedLocally marks a failure that this
// daemon's own probes found.
type entry struct {
	member          basillift.Member
	liveness        basillift.Liveness
	changedAt       time.Time
	leaving         bool
	leavingRevision uint64
	detectedLocally bool
}

func (e *entry) present() bool {
	return e.liveness != basillift.LivenessDead && e.member.State() != basillift.TargetGone
}

// comparison identifies the digest of one failure domain as a peer reports it.
type comparison struct {
	peer   basillift.VMID
	domain basillift.FailureDomain
}

type domainState struct {
	failedProbes map[basillift.VMID]bool
	partitioned  bool
	revision     uint64
	renewedAt    time.Time
}

// State is the membership as one daemon sees it. It is not safe for concurrent use.
type State struct {
	self          basillift.VMID
	entries       map[basillift.VMID]*entry
	order         *blrelay.Order
	stale         bool // order and digests don't reflect the last changes yet
	random        *rand.Rand
	lastTick      time.Time
	lastProbe     time.Time
	lastRetry     time.Time
	retryRound    int
	pendingProbes map[basillift.VMID]int // outstanding indirect probes; 0 during the direct probe
	lastContact   map[basillift.VMID]time.Time
	mismatches    map[comparison]int
	domains       map[basillift.FailureDomain]*domainState
	digests       Digests
	verified      bool
	generation    uint64
}

// NewState returns the membership of a daemon whose only known member is itself.
func NewState(now time.Time, self basillift.Member, random *rand.Rand) *State {
	s := &State{
		self: self.ID(), random: random, lastTick: now, verified: true, stale: true, generation: 1,
		entries:       map[basillift.VMID]*entry{},
		pendingProbes: map[basillift.VMID]int{},
		lastContact:   map[basillift.VMID]time.Time{},
		mismatches:    map[comparison]int{},
		domains:       map[basillift.FailureDomain]*domainState{},
	}
	s.entries[self.ID()] = &entry{member: self, liveness: basillift.LivenessAlive, changedAt: now}
	return s
}

// Self returns the daemon's own record.
func (s *State) Self() basillift.Member { return s.entries[s.self].member }

// Verified is false from a pause until a peer answers or the daemon has checked its target.
func (s *State) Verified() bool { return s.verified }

// Generation increases with each change of the view.
func (s *State) Generation() uint64 { return s.generation }

// Order returns the order of the members that are neither dead nor gone. It always contains
// the daemon itself.
func (s *State) Order() *blrelay.Order {
	s.refresh()
	return s.order
}

// Digests returns the digest of the live records of each failure domain. The caller must not change it.
func (s *State) Digests() Digests {
	s.refresh()
	return s.digests
}

// Partitioned reports whether a failure domain counts as partitioned.
func (s *State) Partitioned(fd basillift.FailureDomain) bool {
	d, found := s.domains[fd]
	return found && d.partitioned
}

// Apply processes an event and returns the actions to perform. It checks for a pause of
// the process before it handles any event. After a pause, results of probes that expired
// meanwhile are queued before the next tick and must not count as evidence.
func (s *State) Apply(now time.Time, e Event) []Action {
	gap := now.Sub(s.lastTick)
	if gap <= pauseThreshold {
		return s.dispatch(now, e)
	}
	s.lastTick = now
	return append(s.resumeAfterPause(now, gap), s.dispatch(now, e)...)
}

func (s *State) dispatch(now time.Time, e Event) []Action {
	switch e.kind {
	case eventTick:
		return s.handleTick(now)
	case eventReceived:
		return s.receive(now, e)
	case eventExchanged:
		s.markVerified()
		return s.receive(now, e)
	case eventProbeAnswered:
		return s.probeAnswered(now, e)
	case eventProbeFailed:
		return s.probeFailed(now, e.peer)
	case eventIndirectAnswered:
		return s.indirectAnswered(now, e)
	case eventContacted:
		return s.exchangeOnContact(now, e.peer)
	case eventVMsListed:
		return s.applyVMList(now, e)
	case eventDisconnected:
		return s.disconnected(e.peer)
	case eventTargetChanged:
		return s.changeState(now, e.state)
	default:
		s.markVerified()
		return nil
	}
}

func (s *State) markVerified() {
	if !s.verified {
		s.verified = true
		s.generation++
	}
}

func (s *State) markChanged() {
	s.stale = true
	s.generation++
}

func (s *State) changeState(now time.Time, state basillift.TargetState) []Action {
	own := s.entries[s.self]
	if own.member.State() == state {
		return nil
	}
	own.member = own.member.WithState(state)
	own.changedAt = now
	s.markChanged()
	return []Action{
		{kind: ActionFlood, records: []basillift.Member{own.member}},
		{kind: ActionReport, peer: s.self, report: basillift.EventTargetState, state: state},
	}
}

// raiseIncarnation gives the daemon's own record an incarnation above the given one and
// returns the new record. Incarnations are times in Unix milliseconds unless that is too low.
func (s *State) raiseIncarnation(now time.Time, above uint64) basillift.Member {
	own := s.entries[s.self]
	next := max(uint64(max(now.UnixMilli(), 0)), above+1, own.member.Incarnation()+1)
	own.member = own.member.WithOrder(next, 0)
	s.markChanged()
	return own.member
}
