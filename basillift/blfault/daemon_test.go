package blfault

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
)

// daemon connects the packages that make the daemon's decisions in the same way as blnode, but
// without goroutines and network.
type daemon struct {
	simulation      *simulation
	id              basillift.VMID
	members         *blmember.State
	relay           *blrelay.State
	holder          *blconfig.Holder
	store           *blconfig.Store
	join            *blrelay.Join
	transfers       *blrelay.Transfers
	candidate       *blconfig.Snapshot // read from the platform, but not yet allowed by join
	order           *blrelay.Order
	generation      uint64
	pausedUntil     time.Time
	dead            bool
	startedReading  bool
	appliedCount    int
	checkedSnapshot *blconfig.Snapshot   // in force at the last check
	lastVersions    [2]basillift.Version // of the holder and of the relay at the last check
	proxy           *proxy
}

func (sm *simulation) start(id basillift.VMID) *daemon {
	random := rand.New(rand.NewSource(sm.random.Int63()))
	place := basillift.NewPlace(basillift.FailureDomain(id[:1]), "r")
	self := basillift.NewMember(id, uint64(sm.now.UnixMilli()), basillift.NewAddresses(string(id), "", ""), place, "catalogue", 10)
	d := &daemon{
		simulation: sm, id: id, members: blmember.NewState(sm.now, self, random), relay: blrelay.NewState(id, random),
		holder: blconfig.NewHolder(), store: blconfig.NewStore(), join: blrelay.NewJoin(sm.now),
		transfers: blrelay.NewTransfers(random),
	}
	d.proxy = newProxy(d, place, random)
	sm.daemons[id] = d
	d.updateOrder()
	sm.after(d, time.Duration(sm.random.Intn(500))*time.Millisecond, d.tick)
	sm.after(d, sm.latency(), d.contactPeers)
	if !sm.reachStep(d, StepJoin) {
		return d
	}
	if _, restarted := sm.lastInForce[id]; restarted {
		sm.reachStep(d, StepRejoining)
	}
	return d
}

// now returns the time at the daemon. If a fault paused it in the middle of a step, the rest
// of the step happens at the end of the pause.
func (d *daemon) now() time.Time {
	if d.pausedUntil.After(d.simulation.now) {
		return d.pausedUntil
	}
	return d.simulation.now
}

func (d *daemon) tick() {
	d.simulation.after(d, 500*time.Millisecond, d.tick)
	d.performMemberActions(d.members.Apply(d.now(), blmember.Tick()))
	d.performRelayActions(d.relay.Apply(d.now(), blrelay.Tick()))
	d.reconsiderCandidate()
	d.putInForce()
	d.readPlatform()
	d.proxy.tick()
}

// contactPeers exchanges records with daemons that this one does not know or considers dead
// and, until its peers have answered, with all others. It repeats this every 250 ms until its
// peers have answered, and every 10 s after that, with random jitter.
func (d *daemon) contactPeers() {
	interval := 250 * time.Millisecond
	if d.join.PeersAnswered(d.now()) {
		interval = 10 * time.Second
	}
	d.simulation.after(d, interval/2+time.Duration(d.simulation.random.Int63n(int64(interval))), d.contactPeers)
	view := d.members.View()
	for _, i := range d.simulation.random.Perm(len(d.simulation.ids)) {
		id := d.simulation.ids[i]
		if s, found := view.Find(id); id == d.id || found && s.Liveness() != basillift.LivenessDead && d.join.PeersAnswered(d.now()) {
			continue
		}
		d.exchange(id, "")
	}
}

func (d *daemon) exchange(peer basillift.VMID, fd basillift.FailureDomain) {
	records, assertions := d.members.Snapshot(fd)
	version, digest := d.holder.Version(), d.digest()
	d.simulation.request(d, peer, 3*time.Second, func(o *daemon) func() {
		o.performMemberActions(o.members.Apply(o.now(), blmember.Received(d.id, records, assertions)))
		o.performMemberActions(o.members.Apply(o.now(), blmember.Contacted(d.id)))
		o.observeVersion(d.id, version, digest, blrelay.CauseJoin)
		peerRecords, peerAssertions := o.members.Snapshot(fd)
		peerVersion, peerDigest := o.holder.Version(), o.digest()
		return func() {
			d.performMemberActions(d.members.Apply(d.now(), blmember.Exchanged(peer, peerRecords, peerAssertions)))
			d.observeVersion(peer, peerVersion, peerDigest, blrelay.CauseJoin)
		}
	}, func() { d.join.RemoveAnswer(peer) })
}

func (d *daemon) performMemberActions(actions []blmember.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case blmember.ActionProbe:
			d.probe(a.Peer())
		case blmember.ActionIndirect:
			d.probeIndirectly(a.Via(), a.Peer())
		case blmember.ActionExchange:
			d.exchange(a.Peer(), a.Domain())
		case blmember.ActionFlood:
			for _, id := range d.members.Order().Links(d.id) {
				if id != a.Peer() {
					d.simulation.notify(d, id, func(o *daemon) {
						o.performMemberActions(o.members.Apply(o.now(), blmember.Received(d.id, a.Records(), a.Assertions())))
					})
				}
			}
		}
	}
	d.updateOrder()
}

// updateOrder passes a changed order of the members to the relay.
func (d *daemon) updateOrder() {
	if d.generation == d.members.Generation() {
		return
	}
	d.generation = d.members.Generation()
	if o := d.members.Order(); o != d.order {
		d.order = o
		d.join.SetMemberCount(o.Len() - 1)
		d.performRelayActions(d.relay.Apply(d.now(), blrelay.OrderChanged(o)))
	}
}

func (d *daemon) probe(peer basillift.VMID) {
	version, digest := d.holder.Version(), d.digest()
	d.simulation.request(d, peer, time.Second, func(o *daemon) func() {
		digests, peerVersion, peerDigest := o.members.Digests(), o.holder.Version(), o.digest()
		o.performMemberActions(o.members.Apply(o.now(), blmember.Contacted(d.id)))
		o.observeVersion(d.id, version, digest, blrelay.CauseProbe)
		return func() {
			d.performMemberActions(d.members.Apply(d.now(), blmember.ProbeAnswered(peer, digests)))
			d.observeVersion(peer, peerVersion, peerDigest, blrelay.CauseProbe)
		}
	}, func() {
		d.join.RemoveAnswer(peer)
		d.performMemberActions(d.members.Apply(d.now(), blmember.ProbeFailed(peer)))
	})
}

func (d *daemon) probeIndirectly(via, peer basillift.VMID) {
	answer := func(ok bool) func() {
		return func() { d.performMemberActions(d.members.Apply(d.now(), blmember.IndirectAnswered(peer, ok))) }
	}
	d.simulation.request(d, via, time.Second, func(o *daemon) func() {
		return answer(d.simulation.reachable(o, d.simulation.daemons[peer]))
	}, answer(false))
}

func (d *daemon) handleDisconnect(peer basillift.VMID) {
	d.performMemberActions(d.members.Apply(d.now(), blmember.Disconnected(peer)))
	d.performRelayActions(d.relay.Apply(d.now(), blrelay.Disconnected(peer)))
	d.proxy.handleDisconnect(peer)
}
