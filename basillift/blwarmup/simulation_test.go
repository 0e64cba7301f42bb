package blwarmup

import (
	"math/rand"
	"testing"
	"time"

	"basillift.dev/basillift/bladmit"
)

// simulation is a failure domain in steps of 1 ms: targets, the daemons beside them, and many senders that try up to four targets
// for each request and come back after a refusal. A tenth of the requests arrive late, since their slot was reserved.
type simulation struct {
	now     time.Time
	rnd     *rand.Rand
	vms     []*simulatedVM
	returns map[time.Time]int
	actions map[time.Time][]func()
	lastID  uint64
}

// simulatedVM is a target and its daemon. health is what the target does with health checks, and entryLag how late its entries
// are; negative if they do not arrive.
type simulatedVM struct {
	sim       *simulation
	up        bool
	startedAt time.Time
	coldUntil time.Time
	health    HealthResult
	entryLag  time.Duration
	sequence  uint64
	state     *State
	queue     *bladmit.DeadlineQueue
	running   map[uint64]time.Time
	// arrivals are those at the target, and cold those of them at which it was cold.
	arrivals, cold []time.Time
	checks         int
}

func newSimulation(seed int64, vms int, lag time.Duration) *simulation {
	s := &simulation{now: baseTime, rnd: rand.New(rand.NewSource(seed)), returns: map[time.Time]int{}, actions: map[time.Time][]func(){}}
	for range vms {
		vm := &simulatedVM{sim: s, up: true, startedAt: baseTime.Add(-time.Hour), health: HealthKnown, entryLag: lag}
		s.vms = append(s.vms, vm)
		vm.startDaemon()
	}
	return s
}

func (s *simulation) after(d time.Duration, action func()) {
	at := s.now.Add(d.Truncate(time.Millisecond))
	s.actions[at] = append(s.actions[at], action)
}

// run plays the time until d with 250 new requests per second for each VM.
func (s *simulation) run(d time.Duration) {
	for ; s.now.Before(baseTime.Add(d)); s.now = s.now.Add(time.Millisecond) {
		// An action may add further ones for the same time.
		for i := 0; i < len(s.actions[s.now]); i++ {
			s.actions[s.now][i]()
		}
		delete(s.actions, s.now)
		for _, vm := range s.vms {
			vm.step()
			if s.now.UnixMilli()%4 == 0 {
				s.returns[s.now]++
			}
		}
		for range s.returns[s.now] {
			s.send()
		}
	}
}

func (s *simulation) send() {
	retryAfter := 300 * time.Millisecond
	for _, i := range s.rnd.Perm(len(s.vms))[:min(4, len(s.vms))] {
		vm := s.vms[i]
		if vm.queue == nil {
			continue
		}
		s.lastID++
		r := bladmit.NewSlotRequest(s.lastID, "r", s.rnd.Intn(3)-1, s.now.Add(400*time.Millisecond), s.now.Add(time.Second)).
			WithLatencyObjective(400 * time.Millisecond).WithNested(s.rnd.Intn(4) == 0)
		d := vm.queue.Arrive(s.now, r)
		if d.Result() == bladmit.AdmissionRun {
			vm.begin([]uint64{s.lastID})
		}
		if d.Result() != bladmit.AdmissionRefuse {
			return
		}
		retryAfter = d.RetryAfter()
	}
	if s.rnd.Intn(2) == 0 {
		s.returns[s.now.Add(retryAfter.Truncate(time.Millisecond)+time.Millisecond)]++
	}
}

func (vm *simulatedVM) startDaemon() {
	vm.state, vm.queue, vm.running = New(vm.sim.now), bladmit.NewDeadlineQueue(12), map[uint64]time.Time{}
	vm.observe(func(s *State) { s.ObserveService(vm.sim.now, coldService) })
	vm.writeEntry()
}

func (vm *simulatedVM) stopDaemon() { vm.state, vm.queue = nil, nil }

func (vm *simulatedVM) startTarget() {
	vm.up, vm.startedAt, vm.sequence = true, vm.sim.now, 0
	vm.becomeCold()
}

// becomeCold begins a cold phase in the target's run.
func (vm *simulatedVM) becomeCold() {
	vm.coldUntil = vm.sim.now.Add(warmup)
	for written := time.Duration(0); written < 2*warmup; written += 1500 * time.Millisecond {
		vm.sim.after(written, vm.writeEntry)
	}
}

// endEvacuation ends an evacuation during which the target has become cold.
func (vm *simulatedVM) endEvacuation() {
	vm.becomeCold()
	vm.observe(func(s *State) { s.ObserveEvacuationEnd(vm.sim.now, vm.sim.now) })
}

// stopTarget ends the target; the connections of its requests break.
func (vm *simulatedVM) stopTarget() {
	vm.up = false
	for id, began := range vm.running {
		vm.observe(func(s *State) { s.ObserveBroken(vm.sim.now, began) })
		vm.end(id)
	}
}

func (vm *simulatedVM) writeEntry() {
	vm.sequence++
	e := entryOf("i", vm.startedAt.Sub(baseTime), vm.sequence, max(0, vm.coldUntil.Sub(vm.sim.now)))
	if vm.entryLag >= 0 {
		vm.sim.after(vm.entryLag, func() {
			vm.observe(func(s *State) { s.ObserveEntry(vm.sim.now, e) })
		})
	}
}

// observe passes an observation to the daemon, if it runs, and applies the limit.
func (vm *simulatedVM) observe(observation func(*State)) {
	if vm.queue == nil {
		return
	}
	observation(vm.state)
	limit := vm.state.Limit(vm.sim.now)
	vm.begin(vm.queue.SetColdLimit(vm.sim.now, limit.PerSecond(), limit.Active()))
}

// step does what the daemon does at each time: it applies the limit, sends a health check that is due and starts requests.
func (vm *simulatedVM) step() {
	if vm.queue == nil {
		return
	}
	now, state := vm.sim.now, vm.state
	if state.CheckDue(now) {
		c, answer := state.StartCheck(now), NewHealthFailure(vm.health)
		vm.checks++
		switch {
		case !vm.up:
			answer = NewHealthFailure(HealthRefused)
		case vm.health == HealthKnown:
			answer = NewHealthAnswer("i", max(0, vm.coldUntil.Sub(now)))
		}
		vm.sim.after(3*time.Millisecond, func() { vm.observe(func(*State) { state.EndCheck(vm.sim.now, c, answer) }) })
	}
	vm.observe(func(*State) {})
	vm.begin(vm.queue.Dispatch(now))
	vm.queue.RemoveUnservable(now)
}

// begin sends requests that got a slot to the target.
func (vm *simulatedVM) begin(started []uint64) {
	for _, id := range started {
		queue, state, delay := vm.queue, vm.state, time.Duration(0)
		vm.running[id] = vm.sim.now
		if vm.sim.rnd.Intn(10) == 0 {
			delay = time.Duration(vm.sim.rnd.Intn(300)) * time.Millisecond
		}
		vm.sim.after(max(delay, time.Millisecond), func() {
			now := vm.sim.now
			if !vm.up {
				if state == vm.state && state != nil {
					vm.observe(func(s *State) { s.ObserveRefused(now) })
					vm.end(id)
				}
				return
			}
			vm.arrivals = append(vm.arrivals, now)
			if now.Before(vm.coldUntil) {
				vm.cold = append(vm.cold, now)
			}
			vm.sim.after(60*time.Millisecond, func() {
				if _, runs := vm.running[id]; runs && queue == vm.queue {
					vm.observe(func(s *State) { s.ObserveAnswer(vm.sim.now, now, now) })
					vm.end(id)
				}
			})
		})
	}
}

func (vm *simulatedVM) end(id uint64) {
	delete(vm.running, id)
	vm.begin(vm.queue.Finish(vm.sim.now, id, true))
}

// arrivalsBetween returns how many requests reached the target from one time until another.
func (vm *simulatedVM) arrivalsBetween(from, until time.Duration) (count int) {
	for _, each := range vm.arrivals {
		if !each.Before(at(from)) && each.Before(at(until)) {
			count++
		}
	}
	return count
}

// assertColdArrivals checks that the target got no more requests in any sliding second of its cold phases than it accepts.
func (vm *simulatedVM) assertColdArrivals(t *testing.T) {
	t.Helper()
	first, most := 0, 0
	for last := range vm.cold {
		for vm.cold[last].Sub(vm.cold[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	if float64(most) > 1.5*perSecond+8 {
		t.Errorf("%d requests in a second while the target is cold, want at most %.1f", most, 1.5*perSecond+8)
	}
}

// Guards against a cold target that gets more requests than it accepts, whichever part starts again and whatever the registry and
// the health checks say, and against targets that stay limited although they are warm.
func TestArrivalsAtColdTargets(t *testing.T) {
	const event, lagging = 2 * time.Second, 2300 * time.Millisecond
	restartTarget := func(vm *simulatedVM, down time.Duration) {
		vm.sim.after(0, vm.stopTarget)
		vm.sim.after(down, vm.startTarget)
	}
	restartDaemon := func(vm *simulatedVM, down time.Duration) {
		vm.sim.after(0, vm.stopDaemon)
		vm.sim.after(down, vm.startDaemon)
	}
	for name, c := range map[string]struct {
		vms      int
		entryLag time.Duration
		health   HealthResult
		happens  func(vm *simulatedVM)
		// fullAfter is when the target is at full rate again, after the event.
		fullAfter time.Duration
	}{
		"daemon restarts beside a warm target": {1, lagging, HealthKnown, func(vm *simulatedVM) { restartDaemon(vm, 300*time.Millisecond) }, 400 * time.Millisecond},
		"daemon restarts, no health header":    {1, lagging, HealthNoHeader, func(vm *simulatedVM) { restartDaemon(vm, 300*time.Millisecond) }, 3600 * time.Millisecond},
		"daemon restarts beside a cold target": {1, lagging, HealthKnown, func(vm *simulatedVM) {
			restartTarget(vm, 100*time.Millisecond)
			vm.sim.after(time.Second, vm.stopDaemon)
			vm.sim.after(1100*time.Millisecond, vm.startDaemon)
		}, 3300 * time.Millisecond},
		"target restarts":         {1, lagging, HealthKnown, func(vm *simulatedVM) { restartTarget(vm, 400*time.Millisecond) }, 3600 * time.Millisecond},
		"target restarts at once": {1, lagging, HealthKnown, func(vm *simulatedVM) { restartTarget(vm, time.Millisecond) }, 3200 * time.Millisecond},
		"target restarts twice": {1, lagging, HealthKnown, func(vm *simulatedVM) {
			restartTarget(vm, 400*time.Millisecond)
			vm.sim.after(1500*time.Millisecond, func() { restartTarget(vm, 200*time.Millisecond) })
		}, 4800 * time.Millisecond},
		"target restarts, entries missing":    {1, -1, HealthKnown, func(vm *simulatedVM) { restartTarget(vm, 400*time.Millisecond) }, 3600 * time.Millisecond},
		"target restarts, health checks fail": {1, -1, HealthFailed, func(vm *simulatedVM) { restartTarget(vm, 400*time.Millisecond) }, 3600 * time.Millisecond},
		"target restarts, then its daemon": {1, lagging, HealthFailed, func(vm *simulatedVM) {
			restartTarget(vm, 400*time.Millisecond)
			vm.sim.after(600*time.Millisecond, vm.stopDaemon)
			vm.sim.after(700*time.Millisecond, vm.startDaemon)
		}, 5 * time.Second},
		"daemon restarts, then its target": {1, lagging, HealthKnown, func(vm *simulatedVM) {
			restartDaemon(vm, 100*time.Millisecond)
			vm.sim.after(500*time.Millisecond, func() { restartTarget(vm, 300*time.Millisecond) })
		}, 4 * time.Second},
		"a whole failure domain comes back": {4, lagging, HealthKnown, func(vm *simulatedVM) {
			restartTarget(vm, 500*time.Millisecond)
			restartDaemon(vm, 700*time.Millisecond)
		}, 3700 * time.Millisecond},
		"a domain comes back without registry": {4, -1, HealthFailed, func(vm *simulatedVM) {
			restartTarget(vm, 900*time.Millisecond)
			restartDaemon(vm, 700*time.Millisecond)
		}, 5 * time.Second},
		"the end of an evacuation": {4, lagging, HealthKnown, (*simulatedVM).endEvacuation, 3200 * time.Millisecond},
	} {
		for seed := int64(1); seed <= 2; seed++ {
			t.Run(name, func(t *testing.T) {
				s := newSimulation(seed, c.vms, c.entryLag)
				s.run(event)
				for _, vm := range s.vms {
					vm.health = c.health
					s.after(0, func() { c.happens(vm) })
				}
				s.run(event + c.fullAfter + time.Second)
				for _, vm := range s.vms {
					vm.assertColdArrivals(t)
					if got := vm.arrivalsBetween(event+c.fullAfter, event+c.fullAfter+time.Second); got < 100 {
						t.Errorf("%d requests in the second after the limit, want 100 or more", got)
					}
					if got := vm.arrivalsBetween(event+c.fullAfter-time.Second, event+c.fullAfter); got < 5 {
						t.Errorf("%d requests in the second before, want some", got)
					}
					if vm.checks > 20 {
						t.Errorf("%d health checks", vm.checks)
					}
				}
			})
		}
	}
}
