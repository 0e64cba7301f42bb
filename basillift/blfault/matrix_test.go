package blfault

import (
	"slices"
	"strings"
	"testing"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blaudit"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
)

// victim returns the head of the first failure domain: it reads the platform, has
// children in the tree and talks to the other heads.
func (w *world) victim() basillift.VMID {
	var members []basillift.Member
	for _, id := range w.names {
		members = append(members, basillift.NewMember(id, 1, basillift.Addresses{}, basillift.NewPlace(basillift.FailureDomain(id[:1]), "r"), "catalogue", 1))
	}
	return blrelay.NewOrder(members).Domain("a")[0]
}

// inflict lets a fault happen to the victim or around it.
func (w *world) inflict(f Fault, id basillift.VMID) {
	p := w.platform
	switch f {
	case FaultKilled:
		w.restart(id, 5*time.Second)
	case FaultPausedS:
		w.daemons[id].until = w.now.Add(5 * time.Second)
	case FaultPausedM:
		w.daemons[id].until = w.now.Add(time.Minute)
	case FaultPausedL:
		w.daemons[id].until = w.now.Add(10 * time.Minute)
	case FaultHerd:
		for _, o := range w.names {
			if w.daemons[o] != nil {
				w.restart(o, time.Duration(w.random.Intn(1000))*time.Millisecond)
			}
		}
	case FaultDown:
		w.during(time.Minute, func() { p.down = true }, func() { p.down = false })
	case FaultStale:
		w.during(time.Minute, func() { p.frozen = max(1, len(p.writes)-1) }, func() { p.frozen = 0 })
	case FaultOlder:
		w.during(time.Minute, func() { p.older = 0.7 }, func() { p.older = 0 })
	case FaultBack:
		p.back()
		w.after(nil, 5*time.Second, func() { p.epoch++; p.publish(false) })
	case FaultBad:
		p.publish(true)
	case FaultCrossing:
		p.publish(false)
		w.after(nil, time.Duration(w.random.Intn(20))*time.Millisecond, func() { p.publish(false) })
	case FaultBudget:
		w.during(time.Minute, func() { p.refusing = 0.8 }, func() { p.refusing = 0 })
	default:
		w.inflictNetwork(f, id)
	}
}

func (w *world) inflictNetwork(f Fault, id basillift.VMID) {
	divide := func(from, to basillift.VMID) bool { return from[0] != to[0] }
	switch f {
	case FaultLoss:
		w.during(20*time.Second, func() { w.loss = 0.3 }, func() { w.loss = 0 })
	case FaultOneWay:
		other := w.names[slices.IndexFunc(w.names, func(o basillift.VMID) bool { return o != id && o[0] == id[0] })]
		w.sever(20*time.Second, func(from, to basillift.VMID) bool { return from == id && to == other })
	case FaultPartition:
		w.sever(30*time.Second, divide)
	case FaultFlapping:
		for i := range 5 {
			w.after(nil, time.Duration(i)*6*time.Second, func() { w.sever(3*time.Second, divide) })
		}
	default:
		w.inflictTarget(f, id)
	}
}

// course runs the steps of the daemons' life and the faults that wait for them.
func (w *world) course(steps ...Step) {
	for _, id := range w.names {
		w.start(id)
		w.run(20 * time.Millisecond)
	}
	w.platform.publish(false)
	w.run(10 * time.Second)
	w.load(30 * time.Second)
	w.run(time.Second)
	w.steady()
	w.platform.publish(false)
	w.run(3 * time.Second)
	w.platform.publish(false)
	w.run(3 * time.Second)
	if slices.Contains(steps, StepRejoining) {
		w.restart(w.victim(), 10*time.Second)
		w.run(11 * time.Second)
	}
	if slices.Contains(steps, StepDraining) {
		w.drain()
	}
	w.settle()
}

func (w *world) steady() { w.reach(w.daemons[w.victim()], StepSteady) }

// drain drains the victim's target and checks the bound at every daemon that it can reach.
func (w *world) drain() {
	d := w.daemons[w.victim()]
	if d.dead {
		return
	}
	d.perform(d.members.Apply(d.now(), blmember.TargetChanged(basillift.TargetDraining)))
	d.proxy.drain()
	w.reach(d, StepDraining)
	w.run(blaudit.LeaveBound)
	for _, id := range w.names {
		o := w.daemons[id]
		if d.dead || o == d || d.until.After(w.now) || !w.reachable(d, o) || o.store.Snapshot() == nil {
			continue
		}
		if s, found := o.members.View().Find(d.id); found && s.AcceptsRequests() {
			w.t.Errorf("promise %d: %s would send calls to %s, which drains", blaudit.NoNewWork, id, d.id)
		}
	}
}

// settle waits for the end of all faults and checks that all daemons agree.
func (w *world) settle() {
	for _, id := range w.names {
		w.extend(w.daemons[id].until)
	}
	w.run(max(0, w.quiet.Sub(w.now)) + 20*time.Second)
	final := w.platform.publish(false)
	w.run(blaudit.InForceBound)
	for _, id := range w.names {
		d := w.daemons[id]
		if d.dead {
			w.t.Errorf("%s does not run at the end", id)
			continue
		}
		if s := d.store.Snapshot(); s == nil || s.Version() != final {
			w.t.Errorf("promise %d: %s has %s in force, newest is %s", blaudit.InForce, id, d.holder.Version(), final)
		}
		for _, s := range blmember.NewViewPublisher(d.members.View()).Members() {
			if s.Liveness() != basillift.LivenessAlive {
				w.t.Errorf("%s believes that %s is %s", id, s.Member().ID(), s.Liveness())
			}
		}
	}
	w.calls.check(w.t)
}

func runFaults(t *testing.T, seed int64, cells ...Cell) {
	w := newWorld(t, seed)
	var steps []Step
	for _, c := range cells {
		h := &hook{step: c.Step(), victim: w.victim()}
		h.fire = func() { w.inflict(c.Fault(), h.victim) }
		w.hooks = append(w.hooks, h)
		steps = append(steps, c.Step())
	}
	w.course(steps...)
	if !slices.ContainsFunc(w.hooks, func(h *hook) bool { return h.fired }) {
		t.Errorf("the victim never reached the step %q", cells[0].Step())
	}
}

// Guards against an outcome that breaks a promise for any fault at any step.
func TestMatrix(t *testing.T) {
	for _, c := range Table() {
		if c.Verdict() != VerdictRun {
			continue
		}
		name := strings.ReplaceAll(string(c.Fault())+"/"+string(c.Step()), " ", "-")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(c) {
				runFaults(t, seed, c)
			}
		})
	}
}
