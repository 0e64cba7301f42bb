package blmember

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"basillift.dev/basillift"
)

// world runs members under virtual time over a network with random latency, cut links,
// paused and killed processes.
type world struct {
	t       failer
	now     time.Time
	random  *rand.Rand
	states  map[basillift.VMID]*State
	records map[basillift.VMID]map[basillift.VMID]basillift.Member
	checked map[basillift.VMID]uint64
	paused  map[basillift.VMID]bool
	blocked func(from, to basillift.VMID) bool
	queue   []delivery
	number  int
	pauses  int
	sent    int
}

type delivery struct {
	at     time.Time
	number int
	to     basillift.VMID
	start  uint64
	run    func(s *State) []Action
}

// failer is what testing.T and rapid.T have in common.
type failer interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

func newWorld(t failer, seed int64) *world {
	return &world{
		t: t, now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewSource(seed)),
		states: map[basillift.VMID]*State{}, records: map[basillift.VMID]map[basillift.VMID]basillift.Member{},
		checked: map[basillift.VMID]uint64{}, paused: map[basillift.VMID]bool{}, blocked: func(_, _ basillift.VMID) bool { return false },
	}
}

// member builds the record of a VM named domain-number.
func member(id basillift.VMID, incarnation uint64) basillift.Member {
	return basillift.NewMember(id, incarnation, basillift.NewAddresses(string(id), "", ""),
		basillift.NewPlace(basillift.FailureDomain(id[:1]), "r"), "catalogue", 10).WithState(basillift.TargetReady).
		WithOrder(incarnation, 0)
}

// start runs a member that knows the records of the given contact.
func (w *world) start(id, contact basillift.VMID) {
	s := NewState(w.now, member(id, uint64(w.now.UnixMilli())), rand.New(rand.NewSource(w.random.Int63())))
	w.states[id] = s
	w.records[id] = map[basillift.VMID]basillift.Member{}
	w.scheduleTick(id, s, time.Duration(w.random.Intn(500))*time.Millisecond)
	if contact != "" && contact != id {
		w.exchange(id, contact, "")
	}
}

func (w *world) scheduleTick(id basillift.VMID, s *State, after time.Duration) {
	w.schedule(after, id, func(x *State) []Action {
		if x != s {
			return nil
		}
		w.scheduleTick(id, s, 500*time.Millisecond)
		return s.Apply(w.now, Tick())
	})
}

// schedule queues work for a member. It is dropped when the member was restarted meanwhile.
func (w *world) schedule(after time.Duration, to basillift.VMID, run func(s *State) []Action) {
	s, found := w.states[to]
	if !found {
		return
	}
	w.number++
	d := delivery{at: w.now.Add(after), number: w.number, to: to, run: run}
	d.start = s.Self().Incarnation()
	original := s
	d.run = func(x *State) []Action {
		if x != original {
			return nil
		}
		return run(x)
	}
	i, _ := slices.BinarySearchFunc(w.queue, d, func(a, b delivery) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
	})
	w.queue = slices.Insert(w.queue, i, d)
}

func (w *world) latency() time.Duration { return time.Duration(1+w.random.Intn(10)) * time.Millisecond }

func (w *world) reaches(from, to basillift.VMID) bool {
	_, found := w.states[to]
	return found && !w.blocked(from, to)
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		if next.at.After(w.now) {
			w.now = next.at
		}
		w.step(next)
	}
	w.now = end
}

// step delivers one message. What a paused process would receive waits for its end.
func (w *world) step(d delivery) {
	s, found := w.states[d.to]
	if !found {
		return
	}
	if w.paused[d.to] {
		d.at = w.now.Add(100 * time.Millisecond)
		w.number++
		d.number = w.number
		i, _ := slices.BinarySearchFunc(w.queue, d, func(a, b delivery) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
		})
		w.queue = slices.Insert(w.queue, i, d)
		return
	}
	w.perform(d.to, d.run(s))
	w.neverBack(d.to, s)
}

// neverBack checks that no record of a member is replaced by a lower one.
func (w *world) neverBack(id basillift.VMID, s *State) {
	if w.checked[id] == s.Generation() {
		return
	}
	w.checked[id] = s.Generation()
	for _, e := range s.entries {
		m := e.member
		if old, found := w.records[id][m.ID()]; found && old.NewerThan(m) {
			w.t.Fatalf("%s went back from %d.%d to %d.%d of %s", id,
				old.Incarnation(), old.Sequence(), m.Incarnation(), m.Sequence(), m.ID())
		}
		w.records[id][m.ID()] = m
	}
}

func (w *world) perform(id basillift.VMID, actions []Action) {
	s := w.states[id]
	for _, a := range actions {
		switch a.Kind() {
		case ActionProbe:
			w.probe(id, a.Peer())
		case ActionIndirect:
			w.indirect(id, a.Via(), a.Peer())
		case ActionExchange:
			w.exchange(id, a.Peer(), a.Domain())
		case ActionPaused:
			w.pauses++
		case ActionFlood:
			for _, to := range s.Order().Links(id) {
				if to != a.Peer() && w.reaches(id, to) {
					w.sent++
					w.schedule(w.latency(), to, func(x *State) []Action {
						return x.Apply(w.now, Received(id, a.Records(), a.Assertions()))
					})
				}
			}
		}
	}
}

func (w *world) probe(from, to basillift.VMID) {
	failed := func(x *State) []Action { return x.Apply(w.now, ProbeFailed(to)) }
	if w.paused[to] || !w.reaches(from, to) || !w.reaches(to, from) {
		w.schedule(time.Second, from, failed)
		return
	}
	w.schedule(w.latency(), to, func(x *State) []Action {
		digests := x.Digests()
		w.schedule(w.latency(), from, func(y *State) []Action { return y.Apply(w.now, ProbeAnswered(to, digests)) })
		return x.Apply(w.now, Contacted(from))
	})
}

func (w *world) indirect(from, via, to basillift.VMID) {
	ok := !w.paused[to] && !w.paused[via] && w.reaches(from, via) && w.reaches(via, from) &&
		w.reaches(via, to) && w.reaches(to, via)
	after := time.Second
	if ok {
		after = 4 * w.latency()
	}
	w.schedule(after, from, func(x *State) []Action { return x.Apply(w.now, IndirectAnswered(to, ok)) })
}

func (w *world) exchange(from, to basillift.VMID, fd basillift.FailureDomain) {
	if !w.reaches(from, to) || !w.reaches(to, from) {
		return
	}
	records, claims := w.states[from].Knowledge(fd)
	w.schedule(w.latency(), to, func(x *State) []Action {
		actions := x.Apply(w.now, Received(from, records, claims))
		theirs, theirClaims := x.Knowledge(fd)
		w.schedule(w.latency(), from, func(y *State) []Action {
			return y.Apply(w.now, Exchanged(to, theirs, theirClaims))
		})
		return actions
	})
}

func (w *world) kill(id basillift.VMID) {
	delete(w.states, id)
	delete(w.paused, id)
}

func (w *world) ids() []basillift.VMID {
	var ids []basillift.VMID
	for id := range w.states {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// fleet starts count members in each of the named failure domains.
func (w *world) fleet(domains string, count int) {
	var first basillift.VMID
	for _, d := range domains {
		for i := range count {
			id := basillift.VMID(fmt.Sprintf("%c-%d", d, i))
			w.start(id, first)
			if first == "" {
				first = id
			}
			w.run(20 * time.Millisecond)
		}
	}
	w.run(10 * time.Second)
}

// agree checks that every running member sees all running members alive with their newest
// record and all others not alive. A failure domain in which nobody runs must show as cut
// off: nobody is left there to accuse its members.
func (w *world) agree() {
	w.t.Helper()
	running := map[basillift.FailureDomain]bool{}
	for _, s := range w.states {
		running[s.domain()] = true
	}
	for _, id := range w.ids() {
		v := w.states[id].View()
		for _, fd := range v.Partitioned() {
			if running[fd] {
				w.t.Errorf("%s believes that %s is cut off", id, fd)
			}
		}
		seen := 0
		for _, s := range v.members {
			if _, found := w.states[s.Member().ID()]; found {
				seen++
			}
			w.check(id, s, running[s.Member().Place().FailureDomain()])
		}
		if seen != len(w.states) {
			w.t.Errorf("%s sees %d of %d members", id, seen, len(w.states))
		}
	}
}

func (w *world) check(id basillift.VMID, s basillift.Status, inhabited bool) {
	w.t.Helper()
	m := s.Member()
	truth, found := w.states[m.ID()]
	if found && (s.Liveness() != basillift.LivenessAlive || m != truth.Self()) {
		w.t.Errorf("%s believes that %s is %s, record %v, true %v", id, m.ID(), s.Liveness(), m, truth.Self())
	}
	if !found && inhabited && s.Liveness() != basillift.LivenessDead {
		w.t.Errorf("%s believes that %s is %s", id, m.ID(), s.Liveness())
	}
	if !found && !inhabited && s.Liveness() == basillift.LivenessAlive {
		w.t.Errorf("%s believes that %s of an empty failure domain is alive", id, m.ID())
	}
}
