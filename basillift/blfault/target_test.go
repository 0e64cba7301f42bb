package blfault

import (
	"fmt"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blquarantine"
)

const (
	// crashDelay is how long a crashing request runs before its target crashes.
	crashDelay = 5 * time.Millisecond
	// targetRestartTime is how long a crashed target takes to restart.
	targetRestartTime = 2 * time.Second
	// maxCrashedTargets is how many targets one crashing request may take down.
	maxCrashedTargets = 3
)

// targetFailure is how the target on a VM fails. It lasts through a restart of the daemon.
type targetFailure struct {
	reason basillift.Reason
	until  time.Time
}

// fingerprint depends only on the first letter of the id: G for GET, P for POST and X for the
// crashing request.
func (c *call) fingerprint() blquarantine.Fingerprint {
	return blquarantine.NewFingerprint("kobuleti", "catalogue", "GET", "/"+c.id[:1], nil)
}

// runningCalls returns the ids of the calls that the target runs, in the order of arrival.
func (p *proxy) runningCalls() []uint64 {
	var ids []uint64
	for id, admitted := range p.admitted {
		if admitted.running {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (p *proxy) runningFingerprints() []blquarantine.Fingerprint {
	var fingerprints []blquarantine.Fingerprint
	for _, id := range p.runningCalls() {
		fingerprints = append(fingerprints, p.admitted[id].call.fingerprint())
	}
	return fingerprints
}

// suspicionReason returns the reason for refusing a request that crashed targets, or that must
// not run at the same time as another suspect. It is ReasonNone if the request may run.
func (p *proxy) suspicionReason(admitted *admittedCall) basillift.Reason {
	now := p.daemon.now()
	switch p.suspicionTable.Check(now, admitted.call.fingerprint()) {
	case blquarantine.DecisionQuarantine:
		return basillift.ReasonQuarantined
	case blquarantine.DecisionRunAlone:
		if !p.suspicionTable.MayRunAlone(now, p.runningFingerprints()) {
			return basillift.ReasonOverload
		}
	}
	return basillift.ReasonNone
}

// crashTarget crashes the target: all running calls end as unknown, and the suspicion against
// them is sent to all other daemons.
func (p *proxy) crashTarget() {
	d := p.daemon
	if len(p.runningCalls()) == 0 {
		return
	}
	d.simulation.calls.crashedTargets++
	d.simulation.targetFailures[d.id] = targetFailure{basillift.ReasonConnectFailed, d.now().Add(targetRestartTime)}
	p.broadcastSuspicions(p.suspicionTable.RecordCrash(d.now(), p.runningFingerprints()))
	for _, id := range p.runningCalls() {
		p.finishCall(id, p.admitted[id], basillift.OutcomeUnknown, basillift.ReasonConnectFailed)
	}
}

func (p *proxy) broadcastSuspicions(suspicions []blquarantine.Suspicion) {
	for _, id := range p.daemon.simulation.ids {
		if id != p.daemon.id {
			p.daemon.simulation.notify(p.daemon, id, func(o *daemon) { o.proxy.suspicionTable.Merge(o.now(), suspicions) })
		}
	}
}

// sendCrashingRequests sends the same crashing request 30 times through one daemon, every
// 300 ms.
func (sm *simulation) sendCrashingRequests(victim basillift.VMID) {
	caller := sm.ids[slices.IndexFunc(sm.ids, func(o basillift.VMID) bool { return o != victim })]
	for i := range 30 {
		sm.after(nil, time.Duration(i)*300*time.Millisecond, func() {
			o := sm.daemons[caller]
			if o.dead || o.appliedCount == 0 {
				return
			}
			c := &call{id: fmt.Sprintf("X%d", i), deadline: sm.now.Add(callTimeout)}
			sm.after(o, 0, func() { o.proxy.startAttempt(c) })
		})
	}
	sm.after(nil, 20*time.Second, func() {
		// A second fault may delete the suspicion or keep it from reaching other daemons.
		if len(sm.hooks) == 1 && (sm.calls.crashedTargets == 0 || sm.calls.crashedTargets > maxCrashedTargets) {
			sm.t.Errorf("a crashing request took down %d targets, 1 to %d are expected", sm.calls.crashedTargets, maxCrashedTargets)
		}
	})
}

// injectTargetFault makes the victim's target fail for 20 s, or sends crashing requests.
func (sm *simulation) injectTargetFault(f Fault, id basillift.VMID) {
	if f == FaultCrashingRequest {
		sm.sendCrashingRequests(id)
		return
	}
	reasons := map[Fault]basillift.Reason{
		FaultTargetDead:       basillift.ReasonConnectFailed,
		FaultTargetHangs:      basillift.ReasonDeadline,
		FaultTargetMisreports: basillift.ReasonTarget,
	}
	sm.targetFailures[id] = targetFailure{reasons[f], sm.now.Add(20 * time.Second)}
	sm.extendFaults(sm.targetFailures[id].until)
	sm.checkAvoidance()
}

const (
	// detectionTime is how long callers may take to detect that a target fails: calls that hang
	// end after callTimeout, and 3 of them eject a target.
	detectionTime = 8 * time.Second
	// avoidanceTime is the rest of the fault, during which callers must avoid the target.
	avoidanceTime = 11 * time.Second
)

// checkAvoidance checks that the victim gets less than half of its share of calls once the
// callers have detected that its target fails.
func (sm *simulation) checkAvoidance() {
	sm.after(nil, detectionTime, func() {
		total, victimCalls := sm.calls.count, sm.calls.victimCalls
		sm.after(nil, avoidanceTime, func() {
			total, victimCalls = sm.calls.count-total, sm.calls.victimCalls-victimCalls
			if total > 0 && victimCalls*2*len(sm.ids) >= total {
				sm.t.Errorf("the victim got %d of %d calls although its target fails", victimCalls, total)
			}
		})
	})
}
