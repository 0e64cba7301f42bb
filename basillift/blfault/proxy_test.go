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
	callTime = 2 * time.Second
	workTime = 30 * time.Millisecond
)

// calls is what callers and targets saw of all calls.
type calls struct {
	number  int
	runs    map[string]int
	ended   map[string]basillift.Outcome
	failed  int
	lost    int // targets that crashed
	victims int // calls that reached the victim's daemon
}

func newCalls() *calls {
	return &calls{runs: map[string]int{}, ended: map[string]basillift.Outcome{}}
}

// check guards the promises about calls; the ids of POSTs begin with P.
func (c *calls) check(t *testing.T) {
	for id, n := range c.runs {
		if id[0] == 'P' && n > 1 {
			t.Errorf("promise %d: call %s ran %d times", blaudit.AtMostOnce, id, n)
		}
		if c.ended[id] == basillift.OutcomeNotRun {
			t.Errorf("promise %d: call %s was refused as not run and ran", blaudit.NotRunMeansNotRun, id)
		}
	}
	if c.number > 0 && len(c.runs) == 0 {
		t.Error("no call ran")
	}
}

// proxy is a daemon's part in calls, with its target. Calls in flight are numbered.
type proxy struct {
	daemon   *daemon
	queue    *bladmit.Queue
	chooser  *blroute.Chooser
	budget   *blretry.Budget
	number   uint64
	admitted map[uint64]*passage
	sent     map[*attempt]bool
	drained  bool
	board    *blquarantine.SuspicionTable
}

// passage is a call at the target's daemon.
type passage struct {
	call     *call
	deadline time.Time
	late     bool // arrived after the drain began
	running  bool
	done     bool
	answer   func(o basillift.Outcome, r basillift.Reason)
}

// call is a caller's request at its daemon.
type call struct {
	id       string
	deadline time.Time
	unknown  bool // an attempt may have run
	tried    []basillift.VMID
}

// attempt is one try to have a call run by a target.
type attempt struct {
	call   *call
	peer   basillift.VMID
	closed bool
}

func newProxy(d *daemon, p basillift.Place, random *rand.Rand) *proxy {
	return &proxy{
		daemon: d, queue: bladmit.NewQueue(bladmit.NewQueueSettings(4, 8, 16)), admitted: map[uint64]*passage{},
		chooser: blroute.NewChooser(p, blroute.DefaultSettings(), random), budget: blretry.NewBudget(random),
		sent: map[*attempt]bool{}, board: blquarantine.NewSuspicionTable(),
	}
}

func (p *proxy) ready() {
	if !p.drained {
		d := p.daemon
		d.perform(d.members.Apply(d.now(), blmember.TargetChanged(basillift.TargetReady)))
	}
}

func (p *proxy) drain() {
	p.drained = true
	p.act(p.queue.Drain(p.daemon.now()))
}

func (p *proxy) tick() { p.act(p.queue.Tick(p.daemon.now())) }

// failing says how the target fails now.
func (p *proxy) failing() basillift.Reason {
	if f := p.daemon.world.failures[p.daemon.id]; f.until.After(p.daemon.now()) {
		return f.reason
	}
	return basillift.ReasonNone
}

// load sends calls through all daemons for some seconds.
func (w *world) load(d time.Duration) {
	end := w.now.Add(d)
	var send func()
	send = func() {
		for _, id := range w.names {
			if o := w.daemons[id]; o != nil && !o.dead && o.applied > 0 {
				w.calls.number++
				kind := "PG"[w.calls.number%2 : w.calls.number%2+1]
				c := &call{id: fmt.Sprintf("%s%d", kind, w.calls.number), deadline: w.now.Add(callTime)}
				w.after(o, 0, func() { o.proxy.try(c) })
			}
		}
		if w.now.Before(end) {
			w.after(nil, 400*time.Millisecond, send)
		}
	}
	send()
}

func (p *proxy) try(c *call) {
	d := p.daemon
	if p.board.Check(d.now(), c.fingerprint()) == blquarantine.DecisionQuarantine {
		p.ended(c, basillift.OutcomeNotRun, basillift.ReasonQuarantined)
		return
	}
	targets := blmember.NewViewPublisher(d.members.View()).Targets("catalogue")
	m, reason := p.chooser.Choose(d.now(), targets, c.tried...)
	if reason != basillift.ReasonNone {
		p.ended(c, basillift.OutcomeNotRun, reason)
		return
	}
	c.tried = append(c.tried, m.ID())
	a := &attempt{call: c, peer: m.ID()}
	p.sent[a] = true
	p.chooser.Started(d.now(), a.peer)
	if o := d.world.daemons[a.peer]; o == nil || o.dead {
		d.world.after(d, time.Millisecond, func() { p.close(a, basillift.OutcomeNotRun, basillift.ReasonConnectFailed) })
		return
	}
	d.world.after(d, c.deadline.Sub(d.now()), func() { p.close(a, basillift.OutcomeUnknown, basillift.ReasonDeadline) })
	d.world.notify(d, a.peer, func(o *daemon) {
		o.proxy.arrive(c, func(out basillift.Outcome, r basillift.Reason) {
			d.world.notify(o, d.id, func(back *daemon) {
				if back == d {
					p.close(a, out, r)
				}
			})
		})
	})
	if o := d.world.daemons[a.peer]; a.peer != d.id {
		d.world.reach(o, StepSent)
	}
}

// lost ends the attempts at a peer whose connection broke.
func (p *proxy) lost(peer basillift.VMID) {
	for a := range p.sent {
		if a.peer == peer {
			// The map's order does not matter: each is closed at its own later step.
			p.daemon.world.after(p.daemon, 0, func() { p.close(a, basillift.OutcomeUnknown, basillift.ReasonConnectFailed) })
		}
	}
}

func (p *proxy) close(a *attempt, o basillift.Outcome, r basillift.Reason) {
	if a.closed {
		return
	}
	a.closed = true
	delete(p.sent, a)
	d := p.daemon
	p.chooser.Finished(d.now(), a.peer, result(o, r))
	if o == basillift.OutcomeDone {
		p.ended(a.call, o, r)
		return
	}
	if o == basillift.OutcomeUnknown && r == basillift.ReasonConnectFailed {
		p.board.RecordBrokenCall(d.now(), a.call.fingerprint())
	}
	a.call.unknown = a.call.unknown || o == basillift.OutcomeUnknown
	try := blretry.NewAttempt(len(a.call.tried)-1, 0, o, r, a.call.deadline).WithIdempotent(a.call.id[0] != 'P')
	if next := p.budget.Decide(d.now(), try); next.Retry() {
		d.world.after(d, max(next.Delay(), p.board.RetryDelay(d.now(), a.call.fingerprint())), func() { p.try(a.call) })
		return
	}
	p.ended(a.call, o, r)
}

func result(o basillift.Outcome, r basillift.Reason) blroute.Result {
	switch {
	case o == basillift.OutcomeDone:
		return blroute.ResultOK
	case r == basillift.ReasonConnectFailed:
		return blroute.ResultConnectFailed
	case o == basillift.OutcomeNotRun:
		return blroute.ResultRefused
	case r == basillift.ReasonDeadline:
		return blroute.ResultSlow
	default:
		return blroute.ResultError
	}
}

// ended answers the caller. A refusal of the last attempt says nothing about the ones before.
func (p *proxy) ended(c *call, o basillift.Outcome, _ basillift.Reason) {
	w := p.daemon.world
	if o == basillift.OutcomeNotRun && c.unknown {
		o = basillift.OutcomeUnknown
	}
	w.calls.ended[c.id] = o
	if o != basillift.OutcomeDone {
		w.calls.failed++
	}
}

// arrive takes a call at the target's daemon.
func (p *proxy) arrive(c *call, answer func(basillift.Outcome, basillift.Reason)) {
	if p.daemon.applied == 0 {
		answer(basillift.OutcomeNotRun, basillift.ReasonNoVersion)
		return
	}
	if p.daemon.id == p.daemon.world.victim() {
		p.daemon.world.calls.victims++
	}
	p.number++
	p.admitted[p.number] = &passage{call: c, deadline: c.deadline, answer: answer, late: p.drained}
	p.act(p.queue.Arrive(p.daemon.now(), bladmit.NewRequest(p.number, "kobuleti", basillift.ClassNormal, c.deadline)))
}

func (p *proxy) act(actions []bladmit.Action) {
	// The queue reuses the slice with the next call.
	for _, a := range append([]bladmit.Action{}, actions...) {
		k := p.admitted[a.ID()]
		if a.Kind() == bladmit.ActionRefuse {
			delete(p.admitted, a.ID())
			k.answer(basillift.OutcomeNotRun, a.Reason())
			continue
		}
		p.start(a.ID(), k)
	}
}

// start passes a call to the target, unless its deadline passed meanwhile.
func (p *proxy) start(number uint64, k *passage) {
	d := p.daemon
	if !d.world.reach(d, StepAdmitted) {
		return
	}
	if !d.now().Before(k.deadline) {
		p.finish(number, k, basillift.OutcomeNotRun, basillift.ReasonDeadline)
		return
	}
	if r := p.suspected(k); r != basillift.ReasonNone {
		p.finish(number, k, basillift.OutcomeNotRun, r)
		return
	}
	if k.late {
		d.world.t.Errorf("promise %d: %s runs call %s, which arrived after its drain began", blaudit.NoNewWork, d.id, k.call.id)
	}
	switch p.failing() {
	case basillift.ReasonConnectFailed:
		p.finish(number, k, basillift.OutcomeNotRun, basillift.ReasonConnectFailed)
		return
	case basillift.ReasonDeadline:
		d.world.calls.runs[k.call.id]++
		d.world.after(d, k.deadline.Sub(d.now()), func() { p.finish(number, k, basillift.OutcomeUnknown, basillift.ReasonDeadline) })
		return
	}
	d.world.calls.runs[k.call.id]++
	k.running = true
	if k.call.id[0] == 'X' {
		d.world.after(d, crashTime, p.crash)
		return
	}
	d.world.after(d, workTime, func() {
		if p.failing() != basillift.ReasonNone {
			p.finish(number, k, basillift.OutcomeUnknown, basillift.ReasonTarget)
			return
		}
		p.finish(number, k, basillift.OutcomeDone, basillift.ReasonNone)
	})
}

func (p *proxy) finish(number uint64, k *passage, o basillift.Outcome, r basillift.Reason) {
	d := p.daemon
	if k.done || o == basillift.OutcomeDone && !d.world.reach(d, StepAnswering) {
		return
	}
	k.done = true
	delete(p.admitted, number)
	k.answer(o, r)
	p.act(p.queue.Finish(d.now(), number))
}
