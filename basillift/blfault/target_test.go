package blfault

import (
	"fmt"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
)

const (
	// crashTime is how long a crashing request runs before its target is gone.
	crashTime = 5 * time.Millisecond
	// revivalTime is how long a crashed target takes to start again.
	revivalTime = 2 * time.Second
	// lostTargets is the most targets that one crashing request may take down.
	lostTargets = 3
)

// failure is how the target on a VM fails, whatever happens to the daemon.
type failure struct {
	reason basillift.Reason
	until  time.Time
}

// fingerprint is equal for all calls of the crashing request; others differ by kind.
func (c *call) fingerprint() blquarantine.Fingerprint {
	return blquarantine.NewFingerprint("kobuleti", "catalogue", "GET", "/"+c.id[:1], nil)
}

// running returns the calls that the target runs, in the order of their arrival.
func (p *proxy) running() []uint64 {
	var numbers []uint64
	for n, k := range p.admitted {
		if k.running {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (p *proxy) inFlight() []blquarantine.Fingerprint {
	var all []blquarantine.Fingerprint
	for _, n := range p.running() {
		all = append(all, p.admitted[n].call.fingerprint())
	}
	return all
}

// suspected refuses a request that crashed targets, or that may not run beside another suspect.
func (p *proxy) suspected(k *passage) basillift.Reason {
	now := p.daemon.now()
	switch p.board.Check(now, k.call.fingerprint()) {
	case blquarantine.DecisionQuarantine:
		return basillift.ReasonQuarantined
	case blquarantine.DecisionRunAlone:
		if !p.board.MayRunAlone(now, p.inFlight()) {
			return basillift.ReasonOverload
		}
	}
	return basillift.ReasonNone
}

// crash ends all calls in flight and spreads the suspicion.
func (p *proxy) crash() {
	d := p.daemon
	if len(p.running()) == 0 {
		return
	}
	d.world.calls.lost++
	d.world.failures[d.id] = failure{basillift.ReasonConnectFailed, d.now().Add(revivalTime)}
	p.spread(p.board.RecordCrash(d.now(), p.inFlight()))
	for _, n := range p.running() {
		p.finish(n, p.admitted[n], basillift.OutcomeUnknown, basillift.ReasonConnectFailed)
	}
}

func (p *proxy) spread(suspicions []blquarantine.Suspicion) {
	for _, id := range p.daemon.world.names {
		if id != p.daemon.id {
			p.daemon.world.notify(p.daemon, id, func(o *daemon) { o.proxy.board.Merge(o.now(), suspicions) })
		}
	}
}

// crasher sends the same crashing request again and again through one daemon.
func (w *world) crasher(victim basillift.VMID) {
	caller := w.names[slices.IndexFunc(w.names, func(o basillift.VMID) bool { return o != victim })]
	for i := range 30 {
		w.after(nil, time.Duration(i)*300*time.Millisecond, func() {
			o := w.daemons[caller]
			if o.dead || o.applied == 0 {
				return
			}
			c := &call{id: fmt.Sprintf("X%d", i), deadline: w.now.Add(callTime)}
			w.after(o, 0, func() { o.proxy.try(c) })
		})
	}
	w.after(nil, 20*time.Second, func() {
		// A second fault may take the memory of the suspicion away or keep it from spreading.
		if len(w.hooks) == 1 && (w.calls.lost == 0 || w.calls.lost > lostTargets) {
			w.t.Errorf("a crashing request took down %d targets, 1 to %d are expected", w.calls.lost, lostTargets)
		}
	})
}

// inflictTarget lets the victim's target fail for a while.
func (w *world) inflictTarget(f Fault, id basillift.VMID) {
	if f == FaultCrasher {
		w.crasher(id)
		return
	}
	reasons := map[Fault]basillift.Reason{
		FaultTargetDead: basillift.ReasonConnectFailed,
		FaultTargetHang: basillift.ReasonDeadline,
		FaultTargetLies: basillift.ReasonTarget,
	}
	w.failures[id] = failure{reasons[f], w.now.Add(20 * time.Second)}
	w.extend(w.failures[id].until)
	w.avoided()
}

const (
	// noticeTime is how long callers may need to see that a target fails: calls that hang
	// end after callTime, and 3 of them eject a target.
	noticeTime = 8 * time.Second
	// avoidTime is the rest of the fault in which callers must avoid the target.
	avoidTime = 11 * time.Second
)

// avoided checks that the victim gets less than half of its share of calls once callers
// have evidence that its target fails.
func (w *world) avoided() {
	w.after(nil, noticeTime, func() {
		all, victims := w.calls.number, w.calls.victims
		w.after(nil, avoidTime, func() {
			all, victims = w.calls.number-all, w.calls.victims-victims
			if all > 0 && victims*2*len(w.names) >= all {
				w.t.Errorf("the victim got %d of %d calls, although its target fails", victims, all)
			}
		})
	})
}
