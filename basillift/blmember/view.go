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
	for id, t := range s.entries {
		if id != s.self && !t.present() {
			continue
		}
		members = append(members, t.member)
		if t.present() {
			s.digests[t.member.Place().FailureDomain()] += recordDigest(t.member)
		}
	}
	s.order = blrelay.NewOrder(members)
}

// recordDigest covers what orders the records of a VM; the sum over all records of a
// failure domain does not depend on their order.
func recordDigest(m basillift.Member) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.ID()...)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Incarnation())
	buffer = binary.LittleEndian.AppendUint64(buffer, m.Sequence())
	return xxhash.Sum64(buffer)
}

// Knowledge returns the records of a failure domain and the claims about them, for an
// exchange. The empty name stands for all failure domains.
func (s *State) Knowledge(fd basillift.FailureDomain) ([]basillift.Member, []Assertion) {
	var records []basillift.Member
	var claims []Assertion
	for _, id := range s.ids() {
		t := s.entries[id]
		if fd != "" && t.member.Place().FailureDomain() != fd {
			continue
		}
		records = append(records, t.member)
		switch t.liveness {
		case basillift.LivenessSuspect:
			claims = append(claims, NewAssertion(AssertionSuspect, id, t.member.Incarnation(), 0))
		case basillift.LivenessDead:
			claims = append(claims, NewAssertion(AssertionDead, id, t.member.Incarnation(), 0))
		}
		if t.leaving {
			claims = append(claims, NewAssertion(AssertionLeaving, id, t.member.Incarnation(), t.marked))
		}
	}
	return records, claims
}

// View returns what readers in other goroutines see. While the daemon's beliefs are not
// verified after a pause, and for members of a failure domain that is cut off, alive
// members show as suspect.
func (s *State) View() *View {
	v := &View{
		self: s.Self(), generation: s.generation, verified: s.verified, order: s.Order(), digests: s.Digests(),
		services: map[string][]basillift.Status{},
	}
	for _, id := range s.ids() {
		t := s.entries[id]
		liveness := t.liveness
		if liveness == basillift.LivenessAlive && id != s.self && (!s.verified || s.Partitioned(t.member.Place().FailureDomain())) {
			liveness = basillift.LivenessSuspect
		}
		status := basillift.NewStatus(t.member, liveness, t.leaving)
		v.members = append(v.members, status)
		v.services[t.member.Service()] = append(v.services[t.member.Service()], status)
	}
	for fd, d := range s.domains {
		if d.cut {
			v.cut = append(v.cut, fd)
		}
	}
	slices.Sort(v.cut)
	return v
}

// View is the membership at one moment. It never changes.
type View struct {
	self       basillift.Member
	members    []basillift.Status
	services   map[string][]basillift.Status
	generation uint64
	verified   bool
	order      *blrelay.Order
	digests    Digests
	cut        []basillift.FailureDomain
}

// Verified is false after a pause until a peer or the target confirmed the daemon's beliefs.
func (v *View) Verified() bool { return v.verified }

// Order arranges the members that are neither dead nor gone.
func (v *View) Order() *blrelay.Order { return v.order }

// Digests holds one digest of the live records for each failure domain.
func (v *View) Digests() Digests { return v.digests }

// Partitioned returns the failure domains that are cut off, sorted.
func (v *View) Partitioned() []basillift.FailureDomain { return v.cut }

// Find returns the status of one member.
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

// ViewPublisher publishes views from the control loop to all other goroutines. It implements
// basillift.Directory.
type ViewPublisher struct {
	view atomic.Pointer[View]
}

// NewViewPublisher returns a publisher that shows a first view.
func NewViewPublisher(v *View) *ViewPublisher {
	b := &ViewPublisher{}
	b.Publish(v)
	return b
}

// Publish replaces the view.
func (b *ViewPublisher) Publish(v *View) { b.view.Store(v) }

// View returns the current view.
func (b *ViewPublisher) View() *View { return b.view.Load() }

// Self returns the daemon's own record.
func (b *ViewPublisher) Self() basillift.Member { return b.View().self }

// Targets returns all members of a service, whatever their liveness.
func (b *ViewPublisher) Targets(service string) []basillift.Status { return b.View().services[service] }

// Members returns all members, whatever their liveness.
func (b *ViewPublisher) Members() []basillift.Status { return b.View().members }

// Generation grows with each change of the view.
func (b *ViewPublisher) Generation() uint64 { return b.View().generation }

var _ basillift.Directory = (*ViewPublisher)(nil)
