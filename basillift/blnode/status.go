package blnode

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"basillift.dev/basillift"
)

// purposes returns all purposes in the order in which reports list them.
func purposes() []basillift.Purpose {
	return []basillift.Purpose{
		basillift.PurposeConfiguration, basillift.PurposeMembership, basillift.PurposeTarget, basillift.PurposeRepair,
	}
}

// Status returns the status that the daemon reports to operators. Members and counts are at
// most one tick old; version, digest, state and readiness are current, so that an operator
// can follow the rollout of a change across the daemons.
func (n *Node) Status() Status {
	status := Status{Name: string(n.Self().ID())}
	if s := n.status.Load(); s != nil {
		status = *s
	}
	status.State, status.Ready = string(n.State()), n.Ready()
	if held := n.store.Snapshot(); held != nil {
		status.Version, status.Digest, status.Customers = held.Version().String(), formatDigest(held.Digest()), held.CustomerCount()
	}
	return status
}

func (n *Node) writeStatus(now time.Time) {
	self, view := n.members.Self(), n.views.View()
	s := Status{
		Name: string(self.ID()), Incarnation: self.Incarnation(),
		Domain: string(self.Place().FailureDomain()), Region: string(self.Place().Region()),
		Service: self.Service(), State: string(self.State()),
		Ready: n.Ready(), Verified: n.members.Verified(),
		Version: n.holder.Version().String(), Digest: formatDigest(n.heldDigest()),
		Newest: n.relay.NewestKnown().String(), Peers: n.pool.Connections(), Reader: n.reader != nil,
		Readers: []string{}, Members: []MemberStatus{}, Cut: []string{}, Platform: n.platformStatus(now),
	}
	if held := n.holder.Current(); held != nil {
		s.Age, s.Customers = now.Sub(n.holder.Since()).Seconds(), held.CustomerCount()
	}
	if c, found := n.holder.Conflict(); found {
		s.Conflict = formatDigest(c.Digest())
	}
	for _, id := range view.Order().Readers(self.Place().FailureDomain()) {
		s.Readers = append(s.Readers, string(id))
	}
	for _, fd := range view.Partitioned() {
		s.Cut = append(s.Cut, string(fd))
	}
	for _, m := range n.views.Members() {
		s.Members = append(s.Members, memberStatus(m))
	}
	for _, p := range purposes() {
		s.Bytes = append(s.Bytes, ByteStatus{
			Purpose: string(p), Sent: n.Counters().Sent(p), Received: n.Counters().Received(p),
		})
	}
	n.status.Store(&s)
}

func memberStatus(s basillift.Status) MemberStatus {
	m := s.Member()
	return MemberStatus{
		Name: string(m.ID()), Domain: string(m.Place().FailureDomain()), Service: m.Service(),
		State: string(m.State()), Liveness: string(s.Liveness()), Leaving: s.Leaving(),
		Admin: m.Addresses().Admin(), Mesh: m.Addresses().Mesh(),
	}
}

func (n *Node) platformStatus(now time.Time) PlatformStatus {
	s := PlatformStatus{Problem: n.refused.problem}
	if !n.refused.version.IsZero() {
		s.Refused = n.refused.version.String()
	}
	if n.reader != nil {
		c, lasted := n.reader.condition(now)
		s.Condition, s.Lasted = string(c), lasted.Seconds()
	}
	return s
}

func (n *Node) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	for _, p := range purposes() {
		set.NewGauge(fmt.Sprintf(`basillift_control_bytes_total{purpose=%q,direction="sent"}`, p), func() float64 {
			return float64(n.Counters().Sent(p))
		})
		set.NewGauge(fmt.Sprintf(`basillift_control_bytes_total{purpose=%q,direction="received"}`, p), func() float64 {
			return float64(n.Counters().Received(p))
		})
	}
	set.NewGauge(`basillift_control_connections`, func() float64 { return float64(n.pool.Connections()) })
	set.NewGauge(`basillift_control_dropped_messages_total`, func() float64 {
		return float64(n.dropped.Load() + n.Counters().Dropped())
	})
	set.NewGauge(`basillift_version_epoch`, func() float64 { return float64(n.heldVersion.Load().Epoch()) })
	set.NewGauge(`basillift_version_revision`, func() float64 { return float64(n.heldVersion.Load().Revision()) })
	set.NewGauge(`basillift_members`, func() float64 { return float64(len(n.Members())) })
	set.NewGauge(`basillift_reader`, func() float64 { return gaugeValue(n.isReader.Load()) })
	set.NewGauge(`basillift_ready`, func() float64 { return gaugeValue(n.Ready()) })
	return set
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
