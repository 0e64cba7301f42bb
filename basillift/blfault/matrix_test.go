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

// victim returns the daemon that the faults hit: the head of the first failure domain, which
// reads the platform, has children in the tree and exchanges messages with the other heads.
func (sm *simulation) victim() basillift.VMID {
	var members []basillift.Member
	for _, id := range sm.ids {
		members = append(members, basillift.NewMember(id, 1, basillift.Addresses{}, basillift.NewPlace(basillift.FailureDomain(id[:1]), "r"), "catalogue", 1))
	}
	return blrelay.NewOrder(members).Domain("a")[0]
}

// injectFault injects a fault into the daemon id, its target, the platform, the network or, for
// FaultAllRestarted, into all daemons.
func (sm *simulation) injectFault(f Fault, id basillift.VMID) {
	p := sm.platform
	switch f {
	case FaultDaemonKilled:
		sm.restart(id, 5*time.Second)
	case FaultPaused5s:
		sm.daemons[id].pausedUntil = sm.now.Add(5 * time.Second)
	case FaultPaused60s:
		sm.daemons[id].pausedUntil = sm.now.Add(time.Minute)
	case FaultPaused10min:
		sm.daemons[id].pausedUntil = sm.now.Add(10 * time.Minute)
	case FaultAllRestarted:
		for _, o := range sm.ids {
			if sm.daemons[o] != nil {
				sm.restart(o, time.Duration(sm.random.Intn(1000))*time.Millisecond)
			}
		}
	case FaultPlatformDown:
		sm.injectFor(time.Minute, func() { p.down = true }, func() { p.down = false })
	case FaultPlatformStale:
		sm.injectFor(time.Minute, func() { p.visibleWrites = max(1, len(p.writes)-1) }, func() { p.visibleWrites = 0 })
	case FaultPlatformOlder:
		sm.injectFor(time.Minute, func() { p.olderReadRatio = 0.7 }, func() { p.olderReadRatio = 0 })
	case FaultPlatformRestored:
		p.restoreBackup()
		sm.after(nil, 5*time.Second, func() { p.epoch++; p.publish(false) })
	case FaultInvalidVersion:
		p.publish(true)
	case FaultConcurrentUpdates:
		p.publish(false)
		sm.after(nil, time.Duration(sm.random.Intn(20))*time.Millisecond, func() { p.publish(false) })
	case FaultReadBudgetExhausted:
		sm.injectFor(time.Minute, func() { p.refusedReadRatio = 0.8 }, func() { p.refusedReadRatio = 0 })
	default:
		sm.injectNetworkFault(f, id)
	}
}

func (sm *simulation) injectNetworkFault(f Fault, id basillift.VMID) {
	betweenDomains := func(from, to basillift.VMID) bool { return from[0] != to[0] }
	switch f {
	case FaultMessageLoss:
		sm.injectFor(20*time.Second, func() { sm.messageLossRatio = 0.3 }, func() { sm.messageLossRatio = 0 })
	case FaultOneWayCut:
		other := sm.ids[slices.IndexFunc(sm.ids, func(o basillift.VMID) bool { return o != id && o[0] == id[0] })]
		sm.cutLinks(20*time.Second, func(from, to basillift.VMID) bool { return from == id && to == other })
	case FaultPartition:
		sm.cutLinks(30*time.Second, betweenDomains)
	case FaultFlappingPartition:
		for i := range 5 {
			sm.after(nil, time.Duration(i)*6*time.Second, func() { sm.cutLinks(3*time.Second, betweenDomains) })
		}
	default:
		sm.injectTargetFault(f, id)
	}
}

// runScenario takes the daemons through the steps of their life cycle. The hooks inject the
// faults when the victim reaches their steps.
func (sm *simulation) runScenario(steps ...Step) {
	for _, id := range sm.ids {
		sm.start(id)
		sm.run(20 * time.Millisecond)
	}
	sm.platform.publish(false)
	sm.run(10 * time.Second)
	sm.startLoad(30 * time.Second)
	sm.run(time.Second)
	sm.reachSteadyStep()
	sm.platform.publish(false)
	sm.run(3 * time.Second)
	sm.platform.publish(false)
	sm.run(3 * time.Second)
	if slices.Contains(steps, StepRejoining) {
		sm.restart(sm.victim(), 10*time.Second)
		sm.run(11 * time.Second)
	}
	if slices.Contains(steps, StepDraining) {
		sm.drainVictim()
	}
	sm.awaitAgreement()
}

func (sm *simulation) reachSteadyStep() { sm.reachStep(sm.daemons[sm.victim()], StepSteady) }

// drainVictim drains the victim's target and checks that, after LeaveBound, no daemon that
// the victim can reach would send calls to it.
func (sm *simulation) drainVictim() {
	d := sm.daemons[sm.victim()]
	if d.dead {
		return
	}
	d.performMemberActions(d.members.Apply(d.now(), blmember.TargetChanged(basillift.TargetDraining)))
	d.proxy.drain()
	sm.reachStep(d, StepDraining)
	sm.run(blaudit.LeaveBound)
	for _, id := range sm.ids {
		o := sm.daemons[id]
		if d.dead || o == d || d.pausedUntil.After(sm.now) || !sm.reachable(d, o) || o.store.Snapshot() == nil {
			continue
		}
		if s, found := o.members.View().Find(d.id); found && s.AcceptsRequests() {
			sm.t.Errorf("promise %d: %s would send calls to %s, which is draining", blaudit.NoNewWork, id, d.id)
		}
	}
}

// awaitAgreement waits for the end of all faults and checks that all daemons then have the
// newest version in force and consider all members alive.
func (sm *simulation) awaitAgreement() {
	for _, id := range sm.ids {
		sm.extendFaults(sm.daemons[id].pausedUntil)
	}
	sm.run(max(0, sm.faultsEnd.Sub(sm.now)) + 20*time.Second)
	final := sm.platform.publish(false)
	sm.run(blaudit.InForceBound)
	for _, id := range sm.ids {
		d := sm.daemons[id]
		if d.dead {
			sm.t.Errorf("%s is not running at the end", id)
			continue
		}
		if s := d.store.Snapshot(); s == nil || s.Version() != final {
			sm.t.Errorf("promise %d: %s has %s in force, newest is %s", blaudit.InForce, id, d.holder.Version(), final)
		}
		for _, s := range blmember.NewViewPublisher(d.members.View()).Members() {
			if s.Liveness() != basillift.LivenessAlive {
				sm.t.Errorf("%s believes that %s is %s", id, s.Member().ID(), s.Liveness())
			}
		}
	}
	sm.calls.check(sm.t)
}

func runFaults(t *testing.T, seed int64, cells ...Cell) {
	sm := newSimulation(t, seed)
	var steps []Step
	for _, c := range cells {
		h := &faultHook{step: c.Step(), victim: sm.victim()}
		h.inject = func() { sm.injectFault(c.Fault(), h.victim) }
		sm.hooks = append(sm.hooks, h)
		steps = append(steps, c.Step())
	}
	sm.runScenario(steps...)
	if !slices.ContainsFunc(sm.hooks, func(h *faultHook) bool { return h.injected }) {
		t.Errorf("the victim never reached the step %q", cells[0].Step())
	}
}

// Guards against a fault that breaks a promise at one of the steps.
func TestMatrix(t *testing.T) {
	for _, c := range Table() {
		if c.Coverage() != CoverageRun {
			continue
		}
		name := strings.ReplaceAll(string(c.Fault())+"/"+string(c.Step()), " ", "-")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(c) {
				runFaults(t, seed, c)
			}
		})
	}
}
