package blfault

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
)

// daemon joins the deciding packages as blnode does, without goroutines and network.
type daemon struct {
	world      *world
	id         basillift.VMID
	members    *blmember.State
	relay      *blrelay.State
	holder     *blconfig.Holder
	store      *blconfig.Store
	join       *blrelay.Join
	transfers  *blrelay.Transfers
	candidate  *blconfig.Snapshot
	order      *blrelay.Order
	generation uint64
	until      time.Time
	dead       bool
	reading    bool
	applied    int
	checked    *blconfig.Snapshot
	highest    [2]basillift.Version
	proxy      *proxy
}

func (w *world) start(id basillift.VMID) *daemon {
	random := rand.New(rand.NewSource(w.random.Int63()))
	place := basillift.NewPlace(basillift.FailureDomain(id[:1]), "r")
	self := basillift.NewMember(id, uint64(w.now.UnixMilli()), basillift.NewAddresses(string(id), "", ""), place, "catalogue", 10)
	d := &daemon{
		world: w, id: id, members: blmember.NewState(w.now, self, random), relay: blrelay.NewState(id, random),
		holder: blconfig.NewHolder(), store: blconfig.NewStore(), join: blrelay.NewJoin(w.now),
		transfers: blrelay.NewTransfers(random),
	}
	d.proxy = newProxy(d, place, random)
	w.daemons[id] = d
	d.arrange()
	w.after(d, time.Duration(w.random.Intn(500))*time.Millisecond, d.tick)
	w.after(d, w.latency(), d.greet)
	if !w.reach(d, StepJoin) {
		return d
	}
	if _, before := w.held[id]; before {
		w.reach(d, StepRejoining)
	}
	return d
}

// now is the daemon's clock: what it does after a pause inside a step happens at its end.
func (d *daemon) now() time.Time {
	if d.until.After(d.world.now) {
		return d.until
	}
	return d.world.now
}

func (d *daemon) tick() {
	d.world.after(d, 500*time.Millisecond, d.tick)
	d.perform(d.members.Apply(d.now(), blmember.Tick()))
	d.distribute(d.relay.Apply(d.now(), blrelay.Tick()))
	d.consider()
	d.enforce()
	d.readPlatform()
	d.proxy.tick()
}

// greet finds first contacts and, later, members that were lost.
func (d *daemon) greet() {
	wait := 250 * time.Millisecond
	if d.join.PeersAnswered(d.now()) {
		wait = 10 * time.Second
	}
	d.world.after(d, wait/2+time.Duration(d.world.random.Int63n(int64(wait))), d.greet)
	v := d.members.View()
	for _, i := range d.world.random.Perm(len(d.world.names)) {
		id := d.world.names[i]
		if s, found := v.Find(id); id == d.id || found && s.Liveness() != basillift.LivenessDead && d.join.PeersAnswered(d.now()) {
			continue
		}
		d.exchange(id, "")
	}
}

func (d *daemon) exchange(peer basillift.VMID, fd basillift.FailureDomain) {
	records, claims := d.members.Snapshot(fd)
	version, digest := d.holder.Version(), d.digest()
	d.world.call(d, peer, 3*time.Second, func(o *daemon) func() {
		o.perform(o.members.Apply(o.now(), blmember.Received(d.id, records, claims)))
		o.perform(o.members.Apply(o.now(), blmember.Contacted(d.id)))
		o.heard(d.id, version, digest, blrelay.CauseJoin)
		theirs, theirClaims := o.members.Snapshot(fd)
		v, g := o.holder.Version(), o.digest()
		return func() {
			d.perform(d.members.Apply(d.now(), blmember.Exchanged(peer, theirs, theirClaims)))
			d.heard(peer, v, g, blrelay.CauseJoin)
		}
	}, func() { d.join.RemoveAnswer(peer) })
}

func (d *daemon) perform(actions []blmember.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case blmember.ActionProbe:
			d.probe(a.Peer())
		case blmember.ActionIndirect:
			d.indirect(a.Via(), a.Peer())
		case blmember.ActionExchange:
			d.exchange(a.Peer(), a.Domain())
		case blmember.ActionFlood:
			for _, id := range d.members.Order().Links(d.id) {
				if id != a.Peer() {
					d.world.notify(d, id, func(o *daemon) {
						o.perform(o.members.Apply(o.now(), blmember.Received(d.id, a.Records(), a.Assertions())))
					})
				}
			}
		}
	}
	d.arrange()
}

// arrange tells the relay of a changed order.
func (d *daemon) arrange() {
	if d.generation == d.members.Generation() {
		return
	}
	d.generation = d.members.Generation()
	if o := d.members.Order(); o != d.order {
		d.order = o
		d.join.SetMemberCount(o.Len() - 1)
		d.distribute(d.relay.Apply(d.now(), blrelay.OrderChanged(o)))
	}
}

func (d *daemon) probe(peer basillift.VMID) {
	version, digest := d.holder.Version(), d.digest()
	d.world.call(d, peer, time.Second, func(o *daemon) func() {
		records, v, g := o.members.Digests(), o.holder.Version(), o.digest()
		o.perform(o.members.Apply(o.now(), blmember.Contacted(d.id)))
		o.heard(d.id, version, digest, blrelay.CauseProbe)
		return func() {
			d.perform(d.members.Apply(d.now(), blmember.ProbeAnswered(peer, records)))
			d.heard(peer, v, g, blrelay.CauseProbe)
		}
	}, func() {
		d.join.RemoveAnswer(peer)
		d.perform(d.members.Apply(d.now(), blmember.ProbeFailed(peer)))
	})
}

func (d *daemon) indirect(via, peer basillift.VMID) {
	answer := func(ok bool) func() {
		return func() { d.perform(d.members.Apply(d.now(), blmember.IndirectAnswered(peer, ok))) }
	}
	d.world.call(d, via, time.Second, func(o *daemon) func() {
		return answer(d.world.reachable(o, d.world.daemons[peer]))
	}, answer(false))
}

func (d *daemon) lost(peer basillift.VMID) {
	d.perform(d.members.Apply(d.now(), blmember.Disconnected(peer)))
	d.distribute(d.relay.Apply(d.now(), blrelay.Disconnected(peer)))
	d.proxy.lost(peer)
}
