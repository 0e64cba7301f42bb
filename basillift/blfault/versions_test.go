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

func (d *daemon) observeVersion(peer basillift.VMID, v basillift.Version, digest uint64, c blrelay.Cause) {
	d.join.RecordAnswer(peer, v)
	if v == d.holder.Version() && !v.IsZero() {
		d.holder.Observe(d.now(), v, digest)
	}
	d.performRelayActions(d.relay.Apply(d.now(), blrelay.VersionObserved(peer, v, c)))
	d.reconsiderCandidate()
	d.putInForce()
	d.startReading()
}

// startReading reads from the platform as soon as the daemon becomes a reader, as blnode does.
// Each tick reads again.
func (d *daemon) startReading() {
	if d.startedReading || !d.order.IsReader(d.id) || !d.join.PeersAnswered(d.now()) {
		return
	}
	d.startedReading = true
	d.readPlatform()
}

func (d *daemon) performRelayActions(actions []blrelay.Action) {
	for i, a := range actions {
		if i == 1 && !d.simulation.reachStep(d, StepRelaying) {
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
	d.simulation.notify(d, peer, func(o *daemon) {
		o.performRelayActions(o.relay.Apply(o.now(), blrelay.VersionObserved(d.id, v, blrelay.CauseAnnounce)))
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
		d.simulation.t.Errorf("encode delta: %v", err)
		return
	}
	d.simulation.notify(d, a.Peer(), func(o *daemon) { o.receiveDelta(d.id, data) })
}

func (d *daemon) receiveDelta(peer basillift.VMID, data []byte) {
	delta, err := blconfig.DecodeDelta(data)
	if err != nil {
		d.simulation.t.Errorf("decode delta: %v", err)
		return
	}
	if !d.reachArrival(delta.To()) {
		return
	}
	for _, a := range d.relay.Apply(d.now(), blrelay.Pushed(peer, delta.From(), delta.To())) {
		if a.Kind() != blrelay.ActionApply {
			d.performRelayActions([]blrelay.Action{a})
			continue
		}
		d.applyDelta(peer, delta)
	}
}

// reachArrival marks the step at which a newer version arrives, and reports whether the
// daemon still runs after the faults of that step.
func (d *daemon) reachArrival(v basillift.Version) bool {
	if !v.NewerThan(d.holder.Version()) {
		return true
	}
	if d.holder.Version().IsZero() {
		return d.simulation.reachStep(d, StepFirstVersion)
	}
	return d.simulation.reachStep(d, StepVersionArriving)
}

func (d *daemon) applyDelta(peer basillift.VMID, delta blconfig.Delta) {
	decision, err := d.holder.ApplyDeltaIfNewer(d.now(), delta)
	if err != nil {
		d.performRelayActions(d.relay.Apply(d.now(), blrelay.Rejected(peer, delta.To())))
		return
	}
	if decision == blconfig.DecisionAdopt {
		d.handleAdoption(peer)
	}
}

func (d *daemon) handleAdoption(peer basillift.VMID) {
	if !d.holder.Version().IsZero() && d.appliedCount > 0 && !d.simulation.reachStep(d, StepApplying) {
		return
	}
	d.putInForce()
	d.performRelayActions(d.relay.Apply(d.now(), blrelay.Adopted(peer, d.holder.Version())))
}

func (d *daemon) putInForce() {
	s := d.holder.Current()
	if s == nil || d.store.Snapshot() == s || !d.join.Ready(d.now(), s.Version()) || !d.store.Set(s) {
		return
	}
	d.simulation.checkInvariants(d)
	d.appliedCount++
	d.proxy.setTargetReady()
}

func (d *daemon) fetch(a blrelay.Action) {
	have, peer := d.holder.Version(), a.Peer()
	failed := func(wait time.Duration) func() {
		return func() {
			if wait == 0 {
				d.join.RemoveAnswer(peer)
			}
			d.performRelayActions(d.relay.Apply(d.now(), blrelay.FetchFailed(peer, wait)))
		}
	}
	d.simulation.request(d, peer, 5*time.Second, func(o *daemon) func() {
		o.performRelayActions(o.relay.Apply(o.now(), blrelay.Requested(d.id, have)))
		s := o.holder.Current()
		if s == nil || !s.Version().NewerThan(have) {
			return nil
		}
		if delta, found := o.holder.History().DeltaFrom(have); found && !a.Full() {
			return d.fetchHandler(peer, delta.To(), func() { d.applyDelta(peer, delta) })
		}
		wait, ok := o.transfers.Begin()
		if !ok {
			return failed(wait)
		}
		o.simulation.after(o, 10*time.Millisecond, o.transfers.End)
		return d.fetchHandler(peer, s.Version(), func() { d.receiveSnapshot(peer, s) })
	}, failed(0))
}

func (d *daemon) fetchHandler(peer basillift.VMID, v basillift.Version, apply func()) func() {
	return func() {
		if !d.reachArrival(v) {
			return
		}
		apply()
		d.performRelayActions(d.relay.Apply(d.now(), blrelay.Fetched(peer)))
	}
}

// receiveSnapshot adopts a full transfer. It encodes and decodes the snapshot, so that the two
// daemons share no memory.
func (d *daemon) receiveSnapshot(peer basillift.VMID, s *blconfig.Snapshot) {
	data, err := blconfig.EncodeFull(s)
	if err != nil {
		d.simulation.t.Errorf("encode full: %v", err)
		return
	}
	received, err := blconfig.DecodeFull(data)
	if err != nil {
		d.simulation.t.Errorf("decode full: %v", err)
		return
	}
	if d.holder.AdoptIfNewer(d.now(), received) == blconfig.DecisionAdopt {
		d.handleAdoption(peer)
	}
}

func (d *daemon) readPlatform() {
	if !d.order.IsReader(d.id) || !d.join.PeersAnswered(d.now()) {
		return
	}
	sm := d.simulation
	sm.after(d, sm.latency(), func() {
		s, ok := sm.platform.read()
		if ok {
			sm.after(d, sm.latency(), func() { d.handleRead(s) })
		}
	})
}

func (d *daemon) reconsiderCandidate() {
	s := d.candidate
	if s == nil || !d.join.MayAdoptFromPlatform(d.now(), s.Version()) {
		return
	}
	d.candidate = nil
	d.handleRead(s)
}

func (d *daemon) handleRead(s *blconfig.Snapshot) {
	if !d.join.MayAdoptFromPlatform(d.now(), s.Version()) {
		d.candidate = s
		return
	}
	if !d.reachArrival(s.Version()) {
		return
	}
	if d.holder.AdoptFromReader(d.now(), s) == blconfig.DecisionAdopt {
		d.handleAdoption("")
	}
}
