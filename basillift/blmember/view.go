package blmember

import (
	"encoding/binary"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blrelay"
)

func (s *State) ids() []basillift.VMID {
	ids := make([]basillift.VMID, 0, len(s.entries))
	for id := range s.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) refresh() {
	if !s.stale {
		return
	}
	s.stale = false
	members := make([]basillift.Member, 0, len(s.entries))
	s.digests = Digests{}
	for id, en := range s.entries {
		if id != s.self && !en.present() {
			continue
		}
		members = append(members, en.member)
		if en.present() {
			s.digests[en.member.Place().FailureDomain()] += recordDigest(en.member)
		}
	}
	s.order = blrelay.NewOrder(members)
}

// recordDigest hashes the fields that order the records of a VM: id, incarnation and
// sequence. The digest of a failure domain is the sum over its records, which doesn't
// depend on their order.
func recordDigest(m basillift.Member) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.ID()...)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Incarnation())
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Sequence())
	return xxhash.Sum64(buffer)
}

// Snapshot returns the records of a failure domain and the assertions about them, for an
// exchange. The empty name selects all failure domains.
func (s *State) Snapshot(fd basillift.FailureDomain) ([]basillift.Member, []Assertion) {
	var records []basillift.Member
	var assertions []Assertion
	for _, id := range s.ids() {
		en := s.entries[id]
		if fd != "" && en.member.Place().FailureDomain() != fd {
			continue
		}
		records = append(records, en.member)
		switch en.liveness {
		case basillift.LivenessSuspect:
			assertions = append(assertions, NewAssertion(AssertionSuspect, id, en.member.Incarnation(), 0))
		case basillift.LivenessDead:
			assertions = append(assertions, NewAssertion(AssertionDead, id, en.member.Incarnation(), 0))
		}
		if en.leaving {
			assertions = append(assertions, NewAssertion(AssertionLeaving, id, en.member.Incarnation(), en.leavingRevision))
		}
	}
	return records, assertions
}

// View returns an immutable snapshot for use in other goroutines. Alive members are shown
// as suspect while the state is unverified after a pause, and while their failure domain
// is partitioned.
func (s *State) View() *View {
	v := &View{
		self: s.Self(), generation: s.generation, verified: s.verified, order: s.Order(), digests: s.Digests(),
		services: map[string][]basillift.Status{},
	}
	for _, id := range s.ids() {
		en := s.entries[id]
		liveness := en.liveness
		if liveness == basillift.LivenessAlive && id != s.self && (!s.verified || s.Partitioned(en.member.Place().FailureDomain())) {
			liveness = basillift.LivenessSuspect
		}
		status := basillift.NewStatus(en.member, liveness, en.leaving)
		v.members = append(v.members, status)
		v.services[en.member.Service()] = append(v.services[en.member.Service()], status)
	}
	for fd, d := range s.domains {
		if d.partitioned {
			v.partitioned = append(v.partitioned, fd)
		}
	}
	slices.Sort(v.partitioned)
	return v
}

// View is an immutable snapshot of the membership.
type View struct {
	self        basillift.Member
	members     []basillift.Status
	services    map[string][]basillift.Status
	generation  uint64
	verified    bool
	order       *blrelay.Order
	digests     Digests
	partitioned []basillift.FailureDomain
}

// Verified is false from a pause until a peer answers or the daemon has checked its target.
func (v *View) Verified() bool { return v.verified }

// Order returns the order of the members that are neither dead nor gone, and of the daemon itself.
func (v *View) Order() *blrelay.Order { return v.order }

// Digests returns the digest of the live records of each failure domain.
func (v *View) Digests() Digests { return v.digests }

// Partitioned returns the failure domains that count as partitioned, sorted.
func (v *View) Partitioned() []basillift.FailureDomain { return v.partitioned }

// Find returns the status of a member, and false for an unknown id.
func (v *View) Find(id basillift.VMID) (basillift.Status, bool) {
	i, found := slices.BinarySearchFunc(v.members, id, func(s basillift.Status, id basillift.VMID) int {
		if s.Member().ID() < id {
			return -1
		}
		if s.Member().ID() > id {
			return 1
		}
		return 0
	})
	if !found {
		return basillift.Status{}, false
	}
	return v.members[i], true
}

// ViewPublisher publishes views from the control loop to other goroutines. It implements
// basillift.Directory and is safe for concurrent use.
type ViewPublisher struct {
	view atomic.Pointer[View]
}

// NewViewPublisher returns a publisher whose current view is v.
func NewViewPublisher(v *View) *ViewPublisher {
	p := &ViewPublisher{}
	p.Publish(v)
	return p
}

// Publish replaces the current view.
func (p *ViewPublisher) Publish(v *View) { p.view.Store(v) }

// View returns the current view.
func (p *ViewPublisher) View() *View { return p.view.Load() }

// Self returns the daemon's own record.
func (p *ViewPublisher) Self() basillift.Member { return p.View().self }

// Targets returns all members of a service, regardless of their liveness.
func (p *ViewPublisher) Targets(service string) []basillift.Status { return p.View().services[service] }

// Members returns all members, regardless of their liveness.
func (p *ViewPublisher) Members() []basillift.Status { return p.View().members }

// Generation increases with each change of the view.
func (p *ViewPublisher) Generation() uint64 { return p.View().generation }

var _ basillift.Directory = (*ViewPublisher)(nil)
