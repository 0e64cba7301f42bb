package blmember

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"basillift.dev/basillift"
)

// simulation runs members in virtual time over a network with random latency, blocked
// links, paused processes and killed processes.
type simulation struct {
	t                  failer
	now                time.Time
	random             *rand.Rand
	states             map[basillift.VMID]*State
	records            map[basillift.VMID]map[basillift.VMID]basillift.Member
	checkedGenerations map[basillift.VMID]uint64
	paused             map[basillift.VMID]bool
	blocked            func(from, to basillift.VMID) bool
	queue              []delivery
	sequence           int
	pauses             int
	sent               int
}

type delivery struct {
	at          time.Time
	sequence    int
	to          basillift.VMID
	incarnation uint64
	run         func(s *State) []Action
}

// failer is the common interface of testing.T and rapid.T.
type failer interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

func newSimulation(t failer, seed int64) *simulation {
	return &simulation{
		t: t, now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewSource(seed)),
		states: map[basillift.VMID]*State{}, records: map[basillift.VMID]map[basillift.VMID]basillift.Member{},
		checkedGenerations: map[basillift.VMID]uint64{}, paused: map[basillift.VMID]bool{}, blocked: func(_, _ basillift.VMID) bool { return false },
	}
}

// member returns the record of a ready member. The id has the form domain-number.
func member(id basillift.VMID, incarnation uint64) basillift.Member {
	return basillift.NewMember(id, incarnation, basillift.NewAddresses(string(id), "", ""),
		basillift.NewPlace(basillift.FailureDomain(id[:1]), "r"), "catalogue", 10).WithState(basillift.TargetReady).
		WithOrder(incarnation, 0)
}

// start starts a member, which exchanges records with the given contact.
func (sm *simulation) start(id, contact basillift.VMID) {
	s := NewState(sm.now, member(id, uint64(sm.now.UnixMilli())), rand.New(rand.NewSource(sm.random.Int63())))
	sm.states[id] = s
	sm.records[id] = map[basillift.VMID]basillift.Member{}
	sm.scheduleTick(id, s, time.Duration(sm.random.Intn(500))*time.Millisecond)
	if contact != "" && contact != id {
		sm.exchange(id, contact, "")
	}
}

func (sm *simulation) scheduleTick(id basillift.VMID, s *State, after time.Duration) {
	sm.schedule(after, id, func(x *State) []Action {
		if x != s {
			return nil
		}
		sm.scheduleTick(id, s, 500*time.Millisecond)
		return s.Apply(sm.now, Tick())
	})
}

// schedule queues a delivery to a member. It is dropped when the member restarts before.
func (sm *simulation) schedule(after time.Duration, to basillift.VMID, run func(s *State) []Action) {
	s, found := sm.states[to]
	if !found {
		return
	}
	sm.sequence++
	d := delivery{at: sm.now.Add(after), sequence: sm.sequence, to: to, run: run}
	d.incarnation = s.Self().Incarnation()
	original := s
	d.run = func(x *State) []Action {
		if x != original {
			return nil
		}
		return run(x)
	}
	i, _ := slices.BinarySearchFunc(sm.queue, d, func(a, b delivery) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
	})
	sm.queue = slices.Insert(sm.queue, i, d)
}

func (sm *simulation) latency() time.Duration {
	return time.Duration(1+sm.random.Intn(10)) * time.Millisecond
}

func (sm *simulation) reaches(from, to basillift.VMID) bool {
	_, found := sm.states[to]
	return found && !sm.blocked(from, to)
}

func (sm *simulation) run(d time.Duration) {
	end := sm.now.Add(d)
	for len(sm.queue) > 0 && !sm.queue[0].at.After(end) {
		next := sm.queue[0]
		sm.queue = sm.queue[1:]
		if next.at.After(sm.now) {
			sm.now = next.at
		}
		sm.step(next)
	}
	sm.now = end
}

// step performs one delivery. Deliveries to a paused process are postponed until it resumes.
func (sm *simulation) step(d delivery) {
	s, found := sm.states[d.to]
	if !found {
		return
	}
	if sm.paused[d.to] {
		d.at = sm.now.Add(100 * time.Millisecond)
		sm.sequence++
		d.sequence = sm.sequence
		i, _ := slices.BinarySearchFunc(sm.queue, d, func(a, b delivery) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
		})
		sm.queue = slices.Insert(sm.queue, i, d)
		return
	}
	sm.perform(d.to, d.run(s))
	sm.assertNoRegression(d.to, s)
}

// assertNoRegression checks that no record of a member is replaced by an older one.
func (sm *simulation) assertNoRegression(id basillift.VMID, s *State) {
	if sm.checkedGenerations[id] == s.Generation() {
		return
	}
	sm.checkedGenerations[id] = s.Generation()
	for _, e := range s.entries {
		m := e.member
		if old, found := sm.records[id][m.ID()]; found && old.NewerThan(m) {
			sm.t.Fatalf("%s regressed from %d.%d to %d.%d of %s", id,
				old.Incarnation(), old.Sequence(), m.Incarnation(), m.Sequence(), m.ID())
		}
		sm.records[id][m.ID()] = m
	}
}

func (sm *simulation) perform(id basillift.VMID, actions []Action) {
	s := sm.states[id]
	for _, a := range actions {
		switch a.Kind() {
		case ActionProbe:
			sm.probe(id, a.Peer())
		case ActionIndirect:
			sm.indirect(id, a.Via(), a.Peer())
		case ActionExchange:
			sm.exchange(id, a.Peer(), a.Domain())
		case ActionPaused:
			sm.pauses++
		case ActionFlood:
			for _, to := range s.Order().Links(id) {
				if to != a.Peer() && sm.reaches(id, to) {
					sm.sent++
					sm.schedule(sm.latency(), to, func(x *State) []Action {
						return x.Apply(sm.now, Received(id, a.Records(), a.Assertions()))
					})
				}
			}
		}
	}
}

func (sm *simulation) probe(from, to basillift.VMID) {
	failed := func(x *State) []Action { return x.Apply(sm.now, ProbeFailed(to)) }
	if sm.paused[to] || !sm.reaches(from, to) || !sm.reaches(to, from) {
		sm.schedule(time.Second, from, failed)
		return
	}
	answered := false
	sm.schedule(sm.latency(), to, func(x *State) []Action {
		answered = true
		digests := x.Digests()
		sm.schedule(sm.latency(), from, func(y *State) []Action { return y.Apply(sm.now, ProbeAnswered(to, digests)) })
		return x.Apply(sm.now, Contacted(from))
	})
	// A peer that is killed before the probe arrives doesn't answer, and the probe times out.
	sm.schedule(time.Second, from, func(x *State) []Action {
		if answered {
			return nil
		}
		return failed(x)
	})
}

func (sm *simulation) indirect(from, via, to basillift.VMID) {
	ok := !sm.paused[to] && !sm.paused[via] && sm.reaches(from, via) && sm.reaches(via, from) &&
		sm.reaches(via, to) && sm.reaches(to, via)
	after := time.Second
	if ok {
		after = 4 * sm.latency()
	}
	sm.schedule(after, from, func(x *State) []Action { return x.Apply(sm.now, IndirectAnswered(to, ok)) })
}

func (sm *simulation) exchange(from, to basillift.VMID, fd basillift.FailureDomain) {
	if !sm.reaches(from, to) || !sm.reaches(to, from) {
		return
	}
	records, assertions := sm.states[from].Snapshot(fd)
	sm.schedule(sm.latency(), to, func(x *State) []Action {
		actions := x.Apply(sm.now, Received(from, records, assertions))
		theirs, theirAssertions := x.Snapshot(fd)
		sm.schedule(sm.latency(), from, func(y *State) []Action {
			return y.Apply(sm.now, Exchanged(to, theirs, theirAssertions))
		})
		return actions
	})
}

func (sm *simulation) kill(id basillift.VMID) {
	delete(sm.states, id)
	delete(sm.paused, id)
}

func (sm *simulation) ids() []basillift.VMID {
	var ids []basillift.VMID
	for id := range sm.states {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// startFleet starts count members in each of the failure domains, which have one-letter names.
func (sm *simulation) startFleet(domains string, count int) {
	var first basillift.VMID
	for _, d := range domains {
		for i := range count {
			id := basillift.VMID(fmt.Sprintf("%c-%d", d, i))
			sm.start(id, first)
			if first == "" {
				first = id
			}
			sm.run(20 * time.Millisecond)
		}
	}
	sm.run(10 * time.Second)
}

// assertAgreement checks that every running member sees all running members as alive with
// their newest record, and all others as not alive. A failure domain in which no member runs
// shows as partitioned instead, since no member is left there to detect the deaths.
func (sm *simulation) assertAgreement() {
	sm.t.Helper()
	running := map[basillift.FailureDomain]bool{}
	for _, s := range sm.states {
		running[s.ownDomain()] = true
	}
	for _, id := range sm.ids() {
		v := sm.states[id].View()
		for _, fd := range v.Partitioned() {
			if running[fd] {
				sm.t.Errorf("%s sees %s as partitioned", id, fd)
			}
		}
		seen := 0
		for _, s := range v.members {
			if _, found := sm.states[s.Member().ID()]; found {
				seen++
			}
			sm.assertStatus(id, s, running[s.Member().Place().FailureDomain()])
		}
		if seen != len(sm.states) {
			sm.t.Errorf("%s sees %d of %d members", id, seen, len(sm.states))
		}
	}
}

func (sm *simulation) assertStatus(id basillift.VMID, s basillift.Status, domainRuns bool) {
	sm.t.Helper()
	m := s.Member()
	actual, found := sm.states[m.ID()]
	if found && (s.Liveness() != basillift.LivenessAlive || m != actual.Self()) {
		sm.t.Errorf("%s sees %s as %s with record %v, actual record %v", id, m.ID(), s.Liveness(), m, actual.Self())
	}
	if !found && domainRuns && s.Liveness() != basillift.LivenessDead {
		sm.t.Errorf("%s sees %s as %s", id, m.ID(), s.Liveness())
	}
	if !found && !domainRuns && s.Liveness() == basillift.LivenessAlive {
		sm.t.Errorf("%s sees %s of an empty failure domain as alive", id, m.ID())
	}
}
