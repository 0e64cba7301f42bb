package blfault

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmit"
	"basillift.dev/basillift/blaudit"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blquarantine"
	"basillift.dev/basillift/blretry"
	"basillift.dev/basillift/blroute"
)

const (
	callTimeout = 2 * time.Second
	serviceTime = 30 * time.Millisecond
)

// calls records what callers and targets observed of all calls.
type calls struct {
	count          int
	runs           map[string]int
	outcomes       map[string]basillift.Outcome
	failed         int
	crashedTargets int // number of crashes; a target that crashes twice counts twice
	victimCalls    int // calls that reached the victim's daemon
}

func newCalls() *calls {
	return &calls{runs: map[string]int{}, outcomes: map[string]basillift.Outcome{}}
}

// check reports broken promises about calls as test errors. The ids of POST calls begin with P.
func (c *calls) check(t *testing.T) {
	for id, n := range c.runs {
		if id[0] == 'P' && n > 1 {
			t.Errorf("promise %d: call %s ran %d times", blaudit.AtMostOnce, id, n)
		}
		if c.outcomes[id] == basillift.OutcomeNotRun {
			t.Errorf("promise %d: call %s was refused as not run and ran", blaudit.NotRunMeansNotRun, id)
		}
	}
	if c.count > 0 && len(c.runs) == 0 {
		t.Error("no call ran")
	}
}

// proxy models the request path of a daemon: that of the calls of its callers, and that of the
// calls to its target. The latter are numbered in order of arrival.
type proxy struct {
	daemon         *daemon
	queue          *bladmit.Queue
	chooser        *blroute.Chooser
	budget         *blretry.Budget
	lastCallID     uint64
	admitted       map[uint64]*admittedCall
	openAttempts   map[*attempt]bool
	draining       bool
	suspicionTable *blquarantine.SuspicionTable
}

// admittedCall is a call at the target's daemon, queued or running.
type admittedCall struct {
	call     *call
	deadline time.Time
	late     bool // arrived after the drain began
	running  bool
	done     bool
	answer   func(o basillift.Outcome, r basillift.Reason)
}

// call is a caller's request at the caller's daemon.
type call struct {
	id       string
	deadline time.Time
	unknown  bool // an attempt may have run
	tried    []basillift.VMID
}

// attempt is one sending of a call to one target.
type attempt struct {
	call  *call
	peer  basillift.VMID
	ended bool
}

func newProxy(d *daemon, p basillift.Place, random *rand.Rand) *proxy {
	return &proxy{
		daemon: d, queue: bladmit.NewQueue(bladmit.NewQueueSettings(4, 8, 16)), admitted: map[uint64]*admittedCall{},
		chooser: blroute.NewChooser(p, blroute.DefaultSettings(), random), budget: blretry.NewBudget(random),
		openAttempts: map[*attempt]bool{}, suspicionTable: blquarantine.NewSuspicionTable(),
	}
}

func (p *proxy) setTargetReady() {
	if !p.draining {
		d := p.daemon
		d.performMemberActions(d.members.Apply(d.now(), blmember.TargetChanged(basillift.TargetReady)))
	}
}

func (p *proxy) drain() {
	p.draining = true
	p.performQueueActions(p.queue.Drain(p.daemon.now()))
}

func (p *proxy) tick() { p.performQueueActions(p.queue.Tick(p.daemon.now())) }

// failureReason returns how the target fails at present, or ReasonNone.
func (p *proxy) failureReason() basillift.Reason {
	if f := p.daemon.simulation.targetFailures[p.daemon.id]; f.until.After(p.daemon.now()) {
		return f.reason
	}
	return basillift.ReasonNone
}

// startLoad starts to send calls through all daemons, every 400 ms for the given time.
func (sm *simulation) startLoad(d time.Duration) {
	end := sm.now.Add(d)
	var send func()
	send = func() {
		for _, id := range sm.ids {
			if o := sm.daemons[id]; o != nil && !o.dead && o.appliedCount > 0 {
				sm.calls.count++
				method := "PG"[sm.calls.count%2 : sm.calls.count%2+1]
				c := &call{id: fmt.Sprintf("%s%d", method, sm.calls.count), deadline: sm.now.Add(callTimeout)}
				sm.after(o, 0, func() { o.proxy.startAttempt(c) })
			}
		}
		if sm.now.Before(end) {
			sm.after(nil, 400*time.Millisecond, send)
		}
	}
	send()
}

func (p *proxy) startAttempt(c *call) {
	d := p.daemon
	if p.suspicionTable.Check(d.now(), c.fingerprint()) == blquarantine.DecisionQuarantine {
		p.endCall(c, basillift.OutcomeNotRun, basillift.ReasonQuarantined)
		return
	}
	targets := blmember.NewViewPublisher(d.members.View()).Targets("catalogue")
	m, reason := p.chooser.Choose(d.now(), targets, c.tried...)
	if reason != basillift.ReasonNone {
		p.endCall(c, basillift.OutcomeNotRun, reason)
		return
	}
	c.tried = append(c.tried, m.ID())
	a := &attempt{call: c, peer: m.ID()}
	p.openAttempts[a] = true
	p.chooser.Started(d.now(), a.peer)
	if o := d.simulation.daemons[a.peer]; o == nil || o.dead {
		d.simulation.after(d, time.Millisecond, func() { p.endAttempt(a, basillift.OutcomeNotRun, basillift.ReasonConnectFailed) })
		return
	}
	d.simulation.after(d, c.deadline.Sub(d.now()), func() { p.endAttempt(a, basillift.OutcomeUnknown, basillift.ReasonDeadline) })
	d.simulation.notify(d, a.peer, func(o *daemon) {
		o.proxy.receiveCall(c, func(outcome basillift.Outcome, r basillift.Reason) {
			d.simulation.notify(o, d.id, func(back *daemon) {
				if back == d {
					p.endAttempt(a, outcome, r)
				}
			})
		})
	})
	if o := d.simulation.daemons[a.peer]; a.peer != d.id {
		d.simulation.reachStep(o, StepCallSent)
	}
}

// handleDisconnect ends the attempts at a peer whose connection broke.
func (p *proxy) handleDisconnect(peer basillift.VMID) {
	for a := range p.openAttempts {
		if a.peer == peer {
			// The order of the map does not matter: each attempt ends in a task of its own.
			p.daemon.simulation.after(p.daemon, 0, func() { p.endAttempt(a, basillift.OutcomeUnknown, basillift.ReasonConnectFailed) })
		}
	}
}

func (p *proxy) endAttempt(a *attempt, outcome basillift.Outcome, reason basillift.Reason) {
	if a.ended {
		return
	}
	a.ended = true
	delete(p.openAttempts, a)
	d := p.daemon
	p.chooser.Finished(d.now(), a.peer, attemptResult(outcome, reason))
	if outcome == basillift.OutcomeDone {
		p.endCall(a.call, outcome, reason)
		return
	}
	if outcome == basillift.OutcomeUnknown && reason == basillift.ReasonConnectFailed {
		p.suspicionTable.RecordBrokenCall(d.now(), a.call.fingerprint())
	}
	a.call.unknown = a.call.unknown || outcome == basillift.OutcomeUnknown
	ended := blretry.NewAttempt(len(a.call.tried)-1, 0, outcome, reason, a.call.deadline).WithIdempotent(a.call.id[0] != 'P')
	if next := p.budget.Decide(d.now(), ended); next.Retry() {
		d.simulation.after(d, max(next.Delay(), p.suspicionTable.RetryDelay(d.now(), a.call.fingerprint())), func() { p.startAttempt(a.call) })
		return
	}
	p.endCall(a.call, outcome, reason)
}

func attemptResult(outcome basillift.Outcome, reason basillift.Reason) blroute.Result {
	switch {
	case outcome == basillift.OutcomeDone:
		return blroute.ResultOK
	case reason == basillift.ReasonConnectFailed:
		return blroute.ResultConnectFailed
	case outcome == basillift.OutcomeNotRun:
		return blroute.ResultRefused
	case reason == basillift.ReasonDeadline:
		return blroute.ResultSlow
	default:
		return blroute.ResultError
	}
}

// endCall answers the caller. If the last attempt was refused as not run but an earlier one may
// have run, the outcome is unknown.
func (p *proxy) endCall(c *call, outcome basillift.Outcome, _ basillift.Reason) {
	sm := p.daemon.simulation
	if outcome == basillift.OutcomeNotRun && c.unknown {
		outcome = basillift.OutcomeUnknown
	}
	sm.calls.outcomes[c.id] = outcome
	if outcome != basillift.OutcomeDone {
		sm.calls.failed++
	}
}

// receiveCall queues a call at the target's daemon.
func (p *proxy) receiveCall(c *call, answer func(basillift.Outcome, basillift.Reason)) {
	if p.daemon.appliedCount == 0 {
		answer(basillift.OutcomeNotRun, basillift.ReasonNoVersion)
		return
	}
	if p.daemon.id == p.daemon.simulation.victim() {
		p.daemon.simulation.calls.victimCalls++
	}
	p.lastCallID++
	p.admitted[p.lastCallID] = &admittedCall{call: c, deadline: c.deadline, answer: answer, late: p.draining}
	p.performQueueActions(p.queue.Arrive(p.daemon.now(), bladmit.NewRequest(p.lastCallID, "kobuleti", basillift.ClassNormal, c.deadline)))
}

func (p *proxy) performQueueActions(actions []bladmit.Action) {
	// The queue reuses the slice at its next call.
	for _, a := range append([]bladmit.Action{}, actions...) {
		admitted := p.admitted[a.ID()]
		if a.Kind() == bladmit.ActionRefuse {
			delete(p.admitted, a.ID())
			admitted.answer(basillift.OutcomeNotRun, a.Reason())
			continue
		}
		p.startCall(a.ID(), admitted)
	}
}

// startCall sends a call to the target, unless its deadline has passed or it is suspected of
// crashing targets.
func (p *proxy) startCall(id uint64, admitted *admittedCall) {
	d := p.daemon
	if !d.simulation.reachStep(d, StepCallAdmitted) {
		return
	}
	if !d.now().Before(admitted.deadline) {
		p.finishCall(id, admitted, basillift.OutcomeNotRun, basillift.ReasonDeadline)
		return
	}
	if r := p.suspicionReason(admitted); r != basillift.ReasonNone {
		p.finishCall(id, admitted, basillift.OutcomeNotRun, r)
		return
	}
	if admitted.late {
		d.simulation.t.Errorf("promise %d: %s runs call %s, which arrived after its drain began", blaudit.NoNewWork, d.id, admitted.call.id)
	}
	switch p.failureReason() {
	case basillift.ReasonConnectFailed:
		p.finishCall(id, admitted, basillift.OutcomeNotRun, basillift.ReasonConnectFailed)
		return
	case basillift.ReasonDeadline:
		d.simulation.calls.runs[admitted.call.id]++
		d.simulation.after(d, admitted.deadline.Sub(d.now()), func() { p.finishCall(id, admitted, basillift.OutcomeUnknown, basillift.ReasonDeadline) })
		return
	}
	d.simulation.calls.runs[admitted.call.id]++
	admitted.running = true
	if admitted.call.id[0] == 'X' {
		d.simulation.after(d, crashDelay, p.crashTarget)
		return
	}
	d.simulation.after(d, serviceTime, func() {
		if p.failureReason() != basillift.ReasonNone {
			p.finishCall(id, admitted, basillift.OutcomeUnknown, basillift.ReasonTarget)
			return
		}
		p.finishCall(id, admitted, basillift.OutcomeDone, basillift.ReasonNone)
	})
}

func (p *proxy) finishCall(id uint64, admitted *admittedCall, outcome basillift.Outcome, reason basillift.Reason) {
	d := p.daemon
	if admitted.done || outcome == basillift.OutcomeDone && !d.simulation.reachStep(d, StepAnswering) {
		return
	}
	admitted.done = true
	delete(p.admitted, id)
	admitted.answer(outcome, reason)
	p.performQueueActions(p.queue.Finish(d.now(), id))
}
