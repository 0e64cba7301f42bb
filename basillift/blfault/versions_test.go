package blfault

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blrelay"
)

func (d *daemon) digest() uint64 {
	if s := d.holder.Current(); s != nil {
		return s.Digest()
	}
	return 0
}

func (d *daemon) heard(peer basillift.VMID, v basillift.Version, digest uint64, c blrelay.Cause) {
	d.join.RecordAnswer(peer, v)
	if v == d.holder.Version() && !v.IsZero() {
		d.holder.Observe(d.now(), v, digest)
	}
	d.distribute(d.relay.Apply(d.now(), blrelay.VersionObserved(peer, v, c)))
	d.consider()
	d.enforce()
	d.startReading()
}

// startReading reads at once when the daemon becomes a reader, as blnode does; ticks repeat it.
func (d *daemon) startReading() {
	if d.reading || !d.order.IsReader(d.id) || !d.join.PeersAnswered(d.now()) {
		return
	}
	d.reading = true
	d.readPlatform()
}

func (d *daemon) distribute(actions []blrelay.Action) {
	for i, a := range actions {
		if i == 1 && !d.world.reach(d, StepRelaying) {
			return
		}
		switch a.Kind() {
		case blrelay.ActionPush:
			d.push(a)
		case blrelay.ActionAnnounce:
			d.announce(a.Peer())
		case blrelay.ActionFetch:
			d.fetch(a)
		}
	}
}

func (d *daemon) announce(peer basillift.VMID) {
	v := d.holder.Version()
	d.world.notify(d, peer, func(o *daemon) {
		o.distribute(o.relay.Apply(o.now(), blrelay.VersionObserved(d.id, v, blrelay.CauseAnnounce)))
	})
}

func (d *daemon) push(a blrelay.Action) {
	delta, found := d.holder.History().DeltaFrom(a.From())
	if !found {
		d.announce(a.Peer())
		return
	}
	data, err := blconfig.EncodeDelta(delta)
	if err != nil {
		d.world.t.Errorf("encode delta: %v", err)
		return
	}
	d.world.notify(d, a.Peer(), func(o *daemon) { o.pushed(d.id, data) })
}

func (d *daemon) pushed(peer basillift.VMID, data []byte) {
	delta, err := blconfig.DecodeDelta(data)
	if err != nil {
		d.world.t.Errorf("decode delta: %v", err)
		return
	}
	if !d.arriving(delta.To()) {
		return
	}
	for _, a := range d.relay.Apply(d.now(), blrelay.Pushed(peer, delta.From(), delta.To())) {
		if a.Kind() != blrelay.ActionApply {
			d.distribute([]blrelay.Action{a})
			continue
		}
		d.applyDelta(peer, delta)
	}
}

// arriving reports whether the daemon still runs when a version reaches it.
func (d *daemon) arriving(v basillift.Version) bool {
	if !v.NewerThan(d.holder.Version()) {
		return true
	}
	if d.holder.Version().IsZero() {
		return d.world.reach(d, StepFirst)
	}
	return d.world.reach(d, StepArriving)
}

func (d *daemon) applyDelta(peer basillift.VMID, delta blconfig.Delta) {
	decision, err := d.holder.ApplyDeltaIfNewer(d.now(), delta)
	if err != nil {
		d.distribute(d.relay.Apply(d.now(), blrelay.Rejected(peer, delta.To())))
		return
	}
	if decision == blconfig.DecisionAdopt {
		d.adopted(peer)
	}
}

func (d *daemon) adopted(peer basillift.VMID) {
	if !d.holder.Version().IsZero() && d.applied > 0 && !d.world.reach(d, StepApplying) {
		return
	}
	d.enforce()
	d.distribute(d.relay.Apply(d.now(), blrelay.Adopted(peer, d.holder.Version())))
}

func (d *daemon) enforce() {
	s := d.holder.Current()
	if s == nil || d.store.Snapshot() == s || !d.join.Ready(d.now(), s.Version()) || !d.store.Set(s) {
		return
	}
	d.world.check(d)
	d.applied++
	d.proxy.ready()
}

func (d *daemon) fetch(a blrelay.Action) {
	have, peer := d.holder.Version(), a.Peer()
	failed := func(wait time.Duration) func() {
		return func() {
			if wait == 0 {
				d.join.RemoveAnswer(peer)
			}
			d.distribute(d.relay.Apply(d.now(), blrelay.FetchFailed(peer, wait)))
		}
	}
	d.world.call(d, peer, 5*time.Second, func(o *daemon) func() {
		o.distribute(o.relay.Apply(o.now(), blrelay.Requested(d.id, have)))
		s := o.holder.Current()
		if s == nil || !s.Version().NewerThan(have) {
			return nil
		}
		if delta, found := o.holder.History().DeltaFrom(have); found && !a.Full() {
			return d.fetched(peer, delta.To(), func() { d.applyDelta(peer, delta) })
		}
		wait, ok := o.transfers.Begin()
		if !ok {
			return failed(wait)
		}
		o.world.after(o, 10*time.Millisecond, o.transfers.End)
		return d.fetched(peer, s.Version(), func() { d.offered(peer, s) })
	}, failed(0))
}

func (d *daemon) fetched(peer basillift.VMID, v basillift.Version, take func()) func() {
	return func() {
		if !d.arriving(v) {
			return
		}
		take()
		d.distribute(d.relay.Apply(d.now(), blrelay.Fetched(peer)))
	}
}

// offered takes a full transfer; it is encoded and decoded, so that nothing is shared.
func (d *daemon) offered(peer basillift.VMID, s *blconfig.Snapshot) {
	data, err := blconfig.EncodeFull(s)
	if err != nil {
		d.world.t.Errorf("encode full: %v", err)
		return
	}
	received, err := blconfig.DecodeFull(data)
	if err != nil {
		d.world.t.Errorf("decode full: %v", err)
		return
	}
	if d.holder.AdoptIfNewer(d.now(), received) == blconfig.DecisionAdopt {
		d.adopted(peer)
	}
}

func (d *daemon) readPlatform() {
	if !d.order.IsReader(d.id) || !d.join.PeersAnswered(d.now()) {
		return
	}
	w := d.world
	w.after(d, w.latency(), func() {
		s, ok := w.platform.read()
		if ok {
			w.after(d, w.latency(), func() { d.read(s) })
		}
	})
}

func (d *daemon) consider() {
	s := d.candidate
	if s == nil || !d.join.MayAdoptFromPlatform(d.now(), s.Version()) {
		return
	}
	d.candidate = nil
	d.read(s)
}

func (d *daemon) read(s *blconfig.Snapshot) {
	if !d.join.MayAdoptFromPlatform(d.now(), s.Version()) {
		d.candidate = s
		return
	}
	if !d.arriving(s.Version()) {
		return
	}
	if d.holder.AdoptFromReader(d.now(), s) == blconfig.DecisionAdopt {
		d.adopted("")
	}
}
