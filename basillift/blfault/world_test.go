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

// world runs daemons made of the deciding packages under virtual time. Messages arrive in
// an order that the seed gives.
type world struct {
	t        *testing.T
	now      time.Time
	random   *rand.Rand
	queue    works
	number   int
	daemons  map[basillift.VMID]*daemon
	names    []basillift.VMID
	platform *platform
	cuts     map[int]cut
	cutCount int
	loss     float64
	hooks    []*hook
	held     map[basillift.VMID]basillift.Version
	calls    *calls
	quiet    time.Time
	failures map[basillift.VMID]failure
}

// work runs at its time, and later when its daemon is paused. Work of a daemon that
// ended is dropped.
type work struct {
	at     time.Time
	number int
	daemon *daemon
	run    func()
}

// works is a heap by time; work of one time keeps its order.
type works []work

func (s works) Len() int { return len(s) }

func (s works) Less(i, k int) bool {
	if !s[i].at.Equal(s[k].at) {
		return s[i].at.Before(s[k].at)
	}
	return s[i].number < s[k].number
}

func (s works) Swap(i, k int) { s[i], s[k] = s[k], s[i] }

func (s *works) Push(x any) { *s = append(*s, x.(work)) }

func (s *works) Pop() any {
	last := len(*s) - 1
	k := (*s)[last]
	*s = (*s)[:last]
	return k
}

// hook lets a fault happen when the victim reaches a step.
type hook struct {
	step   Step
	victim basillift.VMID
	fire   func()
	fired  bool
}

func newWorld(t *testing.T, seed int64) *world {
	w := &world{
		t: t, now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewSource(seed)),
		daemons: map[basillift.VMID]*daemon{}, held: map[basillift.VMID]basillift.Version{},
		cuts: map[int]cut{}, failures: map[basillift.VMID]failure{},
	}
	w.platform = newPlatform(w)
	w.calls = newCalls()
	for _, fd := range "ab" {
		for i := range 3 {
			w.names = append(w.names, basillift.VMID(fmt.Sprintf("%c-%d", fd, i)))
		}
	}
	return w
}

func (w *world) latency() time.Duration { return time.Duration(1+w.random.Intn(10)) * time.Millisecond }

// after schedules work of a daemon, or of the world when the daemon is nil.
func (w *world) after(d *daemon, wait time.Duration, run func()) {
	w.number++
	from := w.now
	if d != nil {
		from = d.now()
	}
	heap.Push(&w.queue, work{at: from.Add(wait), number: w.number, daemon: d, run: run})
}

func (w *world) run(wait time.Duration) {
	end := w.now.Add(wait)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		k := heap.Pop(&w.queue).(work)
		if k.at.After(w.now) {
			w.now = k.at
		}
		switch {
		case k.daemon != nil && k.daemon.dead:
		case k.daemon != nil && k.daemon.until.After(w.now):
			k.at = k.daemon.until
			heap.Push(&w.queue, k)
		default:
			k.run()
			w.check(k.daemon)
		}
	}
	w.now = end
}

// reach lets the faults happen that wait for a daemon's step, and reports whether the
// daemon still runs.
func (w *world) reach(d *daemon, s Step) bool {
	for _, h := range w.hooks {
		if !h.fired && h.step == s && h.victim == d.id {
			h.fired = true
			h.fire()
		}
	}
	return !d.dead
}

// cut says which messages do not arrive. Several may exist at the same time.
type cut func(from, to basillift.VMID) bool

// sever cuts links for a time.
func (w *world) sever(d time.Duration, c cut) {
	w.cutCount++
	number := w.cutCount
	w.during(d, func() { w.cuts[number] = c }, func() { delete(w.cuts, number) })
}

func (w *world) severed(from, to basillift.VMID) bool {
	for _, c := range w.cuts {
		if c(from, to) {
			return true
		}
	}
	return false
}

// passes reports whether a message between two VMs arrives, as far as the network is concerned.
func (w *world) passes(from, to basillift.VMID) bool {
	return !w.severed(from, to) && w.random.Float64() >= w.loss
}

func (w *world) notify(from *daemon, to basillift.VMID, run func(d *daemon)) {
	d := w.daemons[to]
	if d == nil || d.dead || !w.passes(from.id, to) {
		return
	}
	w.after(from, w.latency(), func() { w.after(d, 0, func() { run(d) }) })
}

// call asks a daemon. The question is answered by serve, which returns what the asking
// daemon does with the answer, or nil for a refusal.
func (w *world) call(from *daemon, to basillift.VMID, timeout time.Duration, serve func(d *daemon) func(), failed func()) {
	done := false
	end := func(run func()) func() {
		return func() {
			if !done {
				done = true
				run()
			}
		}
	}
	w.after(from, timeout, end(failed))
	if d := w.daemons[to]; d == nil || d.dead {
		w.after(from, w.latency(), end(failed))
		return
	}
	w.notify(from, to, func(d *daemon) {
		answer := serve(d)
		if answer == nil {
			answer = failed
		}
		w.notify(d, from.id, func(_ *daemon) {
			if !from.dead {
				end(answer)()
			}
		})
	})
}

func (w *world) kill(id basillift.VMID) {
	d := w.daemons[id]
	if d.dead {
		return
	}
	d.dead = true
	for _, o := range w.names {
		peer := w.daemons[o]
		if peer != nil && !peer.dead && !w.severed(id, o) {
			w.after(nil, w.latency(), func() { w.after(peer, 0, func() { peer.lost(id) }) })
		}
	}
}

func (w *world) restart(id basillift.VMID, wait time.Duration) {
	w.kill(id)
	w.extend(w.now.Add(wait))
	w.after(nil, wait, func() {
		if w.daemons[id].dead {
			w.start(id)
		}
	})
}

// check guards the promises that hold at every moment.
func (w *world) check(d *daemon) {
	if d == nil || d.dead {
		return
	}
	w.checkHolder(d)
	s := d.store.Snapshot()
	if s == nil || s == d.checked {
		return
	}
	d.checked = s
	w.checkVersion(d)
	if !slices.ContainsFunc(w.platform.truth[s.Version()], func(o *blconfig.Snapshot) bool { return sameContent(o, s) }) {
		w.t.Errorf("promise %d: %s holds version %s with a content that was never published", blaudit.AllOrNone, d.id, s.Version())
	}
	w.held[d.id] = s.Version()
}

// checkHolder finds a daemon whose parts go back, although the store would hide it.
func (w *world) checkHolder(d *daemon) {
	for i, v := range []basillift.Version{d.holder.Version(), d.relay.Held()} {
		if d.highest[i].NewerThan(v) {
			w.t.Errorf("promise %d: holder or relay of %s went back from %s to %s", blaudit.NoOlderVersion, d.id, d.highest[i], v)
		}
		d.highest[i] = v
	}
}

// checkVersion finds a VM that goes back. A restarted daemon may do so only while no
// daemon that it can reach has the newer version in force.
func (w *world) checkVersion(d *daemon) {
	v, last := d.store.Snapshot().Version(), w.held[d.id]
	if !last.NewerThan(v) {
		return
	}
	if d.applied > 0 {
		w.t.Errorf("promise %d: %s went back from %s to %s", blaudit.NoOlderVersion, d.id, last, v)
		return
	}
	for _, id := range w.names {
		o := w.daemons[id]
		if o != d && w.reachable(d, o) && o.store.Snapshot() != nil && o.store.Snapshot().Version().NewerThan(v) {
			w.t.Errorf("promise %d: %s serves %s after a restart, %s before, %s has %s", blaudit.NoOlderVersion, d.id, v, last, id, o.store.Snapshot().Version())
		}
	}
}

func (w *world) reachable(d, o *daemon) bool {
	return o != nil && !o.dead && !o.until.After(w.now) && !w.severed(d.id, o.id) && !w.severed(o.id, d.id) && w.loss == 0
}
