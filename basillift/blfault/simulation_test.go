package blfault

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blaudit"
	"basillift.dev/basillift/blconfig"
)

// simulation runs daemons in virtual time. The seed determines the order in which messages
// arrive.
type simulation struct {
	t                *testing.T
	now              time.Time
	random           *rand.Rand
	queue            taskQueue
	sequence         int
	daemons          map[basillift.VMID]*daemon
	ids              []basillift.VMID
	platform         *platform
	cuts             map[int]cut
	cutCount         int
	messageLossRatio float64
	hooks            []*faultHook
	lastInForce      map[basillift.VMID]basillift.Version
	calls            *calls
	faultsEnd        time.Time
	targetFailures   map[basillift.VMID]targetFailure
}

// task is a function that runs at a given time or, if its daemon is paused then, at the end of
// the pause. Tasks of a dead daemon are dropped.
type task struct {
	at       time.Time
	sequence int
	daemon   *daemon
	run      func()
}

// taskQueue is a heap of tasks by time. Tasks of the same time run in the order in which they
// were scheduled.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *taskQueue) Push(x any) { *q = append(*q, x.(task)) }

func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	*q = (*q)[:last]
	return t
}

// faultHook injects a fault when the victim first reaches a step.
type faultHook struct {
	step     Step
	victim   basillift.VMID
	inject   func()
	injected bool
}

func newSimulation(t *testing.T, seed int64) *simulation {
	sm := &simulation{
		t: t, now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewSource(seed)),
		daemons: map[basillift.VMID]*daemon{}, lastInForce: map[basillift.VMID]basillift.Version{},
		cuts: map[int]cut{}, targetFailures: map[basillift.VMID]targetFailure{},
	}
	sm.platform = newPlatform(sm)
	sm.calls = newCalls()
	for _, fd := range "ab" {
		for i := range 3 {
			sm.ids = append(sm.ids, basillift.VMID(fmt.Sprintf("%c-%d", fd, i)))
		}
	}
	return sm
}

func (sm *simulation) latency() time.Duration {
	return time.Duration(1+sm.random.Intn(10)) * time.Millisecond
}

// after schedules a task of a daemon, or of the simulation if the daemon is nil.
func (sm *simulation) after(d *daemon, wait time.Duration, run func()) {
	sm.sequence++
	from := sm.now
	if d != nil {
		from = d.now()
	}
	heap.Push(&sm.queue, task{at: from.Add(wait), sequence: sm.sequence, daemon: d, run: run})
}

func (sm *simulation) run(wait time.Duration) {
	end := sm.now.Add(wait)
	for len(sm.queue) > 0 && !sm.queue[0].at.After(end) {
		next := heap.Pop(&sm.queue).(task)
		if next.at.After(sm.now) {
			sm.now = next.at
		}
		switch {
		case next.daemon != nil && next.daemon.dead:
		case next.daemon != nil && next.daemon.pausedUntil.After(sm.now):
			next.at = next.daemon.pausedUntil
			heap.Push(&sm.queue, next)
		default:
			next.run()
			sm.checkInvariants(next.daemon)
		}
	}
	sm.now = end
}

// reachStep injects the faults for this daemon and step, and reports whether the daemon still
// runs after them.
func (sm *simulation) reachStep(d *daemon, s Step) bool {
	for _, h := range sm.hooks {
		if !h.injected && h.step == s && h.victim == d.id {
			h.injected = true
			h.inject()
		}
	}
	return !d.dead
}

// cut reports whether messages from one VM to another are lost. Several cuts may exist at the
// same time.
type cut func(from, to basillift.VMID) bool

// cutLinks applies a cut for the given time.
func (sm *simulation) cutLinks(d time.Duration, c cut) {
	sm.cutCount++
	id := sm.cutCount
	sm.injectFor(d, func() { sm.cuts[id] = c }, func() { delete(sm.cuts, id) })
}

func (sm *simulation) isCut(from, to basillift.VMID) bool {
	for _, c := range sm.cuts {
		if c(from, to) {
			return true
		}
	}
	return false
}

// delivers reports whether the network delivers a message from one VM to another.
func (sm *simulation) delivers(from, to basillift.VMID) bool {
	return !sm.isCut(from, to) && sm.random.Float64() >= sm.messageLossRatio
}

func (sm *simulation) notify(from *daemon, to basillift.VMID, run func(d *daemon)) {
	d := sm.daemons[to]
	if d == nil || d.dead || !sm.delivers(from.id, to) {
		return
	}
	sm.after(from, sm.latency(), func() { sm.after(d, 0, func() { run(d) }) })
}

// request sends a request to a daemon. There, serve handles it and returns the function with
// which the sender handles the answer, or nil to refuse. If the daemon is not running, refuses
// or does not answer within the timeout, failed runs at the sender instead.
func (sm *simulation) request(from *daemon, to basillift.VMID, timeout time.Duration, serve func(d *daemon) func(), failed func()) {
	done := false
	end := func(run func()) func() {
		return func() {
			if !done {
				done = true
				run()
			}
		}
	}
	sm.after(from, timeout, end(failed))
	if d := sm.daemons[to]; d == nil || d.dead {
		sm.after(from, sm.latency(), end(failed))
		return
	}
	sm.notify(from, to, func(d *daemon) {
		answer := serve(d)
		if answer == nil {
			answer = failed
		}
		sm.notify(d, from.id, func(_ *daemon) {
			if !from.dead {
				end(answer)()
			}
		})
	})
}

func (sm *simulation) kill(id basillift.VMID) {
	d := sm.daemons[id]
	if d.dead {
		return
	}
	d.dead = true
	for _, o := range sm.ids {
		peer := sm.daemons[o]
		if peer != nil && !peer.dead && !sm.isCut(id, o) {
			sm.after(nil, sm.latency(), func() { sm.after(peer, 0, func() { peer.handleDisconnect(id) }) })
		}
	}
}

func (sm *simulation) restart(id basillift.VMID, wait time.Duration) {
	sm.kill(id)
	sm.extendFaults(sm.now.Add(wait))
	sm.after(nil, wait, func() {
		if sm.daemons[id].dead {
			sm.start(id)
		}
	})
}

// checkInvariants checks the promises that must hold at all times.
func (sm *simulation) checkInvariants(d *daemon) {
	if d == nil || d.dead {
		return
	}
	sm.checkHolder(d)
	s := d.store.Snapshot()
	if s == nil || s == d.checkedSnapshot {
		return
	}
	d.checkedSnapshot = s
	sm.checkVersion(d)
	if !slices.ContainsFunc(sm.platform.published[s.Version()], func(o *blconfig.Snapshot) bool { return sameContent(o, s) }) {
		sm.t.Errorf("promise %d: %s has version %s in force with content that was never published", blaudit.AllOrNone, d.id, s.Version())
	}
	sm.lastInForce[d.id] = s.Version()
}

// checkHolder checks that the versions of the holder and of the relay never go back. The store
// would hide that.
func (sm *simulation) checkHolder(d *daemon) {
	for i, v := range []basillift.Version{d.holder.Version(), d.relay.Held()} {
		if d.lastVersions[i].NewerThan(v) {
			sm.t.Errorf("promise %d: holder or relay of %s went back from %s to %s", blaudit.NoOlderVersion, d.id, d.lastVersions[i], v)
		}
		d.lastVersions[i] = v
	}
}

// checkVersion checks that the version in force on a VM does not go back. After a restart of
// the daemon it may, but only while no daemon that it can reach has a newer version in force.
func (sm *simulation) checkVersion(d *daemon) {
	v, last := d.store.Snapshot().Version(), sm.lastInForce[d.id]
	if !last.NewerThan(v) {
		return
	}
	if d.appliedCount > 0 {
		sm.t.Errorf("promise %d: %s went back from %s to %s", blaudit.NoOlderVersion, d.id, last, v)
		return
	}
	for _, id := range sm.ids {
		o := sm.daemons[id]
		if o != d && sm.reachable(d, o) && o.store.Snapshot() != nil && o.store.Snapshot().Version().NewerThan(v) {
			sm.t.Errorf("promise %d: %s serves %s after a restart, %s before, %s has %s", blaudit.NoOlderVersion, d.id, v, last, id, o.store.Snapshot().Version())
		}
	}
}

func (sm *simulation) reachable(d, o *daemon) bool {
	return o != nil && !o.dead && !o.pausedUntil.After(sm.now) && !sm.isCut(d.id, o.id) && !sm.isCut(o.id, d.id) && sm.messageLossRatio == 0
}
