package blquarantine

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func assertVerdict(t *testing.T, b *SuspicionTable, now time.Time, fp Fingerprint, want Decision) {
	t.Helper()
	is.New(t).Equal(b.Check(now, fp), want)
}

// Guards against condemning without proof, forgetting too soon and never forgetting.
func TestBoard(t *testing.T) {
	later := epoch.Add(time.Second)

	t.Run("second crash alone condemns", func(t *testing.T) {
		b := NewSuspicionTable()
		b.Crash(epoch, []Fingerprint{1, 2, 3})
		assertVerdict(t, b, later, 1, DecisionRunAlone)
		is.New(t).True(!b.Alone(later, []Fingerprint{9, 2}))
		b.Crash(later, []Fingerprint{1, 8, 9})
		assertVerdict(t, b, later, 1, DecisionQuarantine)
		assertVerdict(t, b, later, 8, DecisionAllow)
		assertVerdict(t, b, later.Add(11*time.Minute), 1, DecisionAllow)
	})
	t.Run("two suspects in one crash", func(t *testing.T) {
		b := NewSuspicionTable()
		b.Crash(epoch, []Fingerprint{1, 2})
		b.Crash(later, []Fingerprint{1, 2})
		assertVerdict(t, b, later, 1, DecisionRunAlone)
	})
	t.Run("three good ends clear", func(t *testing.T) {
		b := NewSuspicionTable()
		b.Crash(epoch, []Fingerprint{1, 2})
		for range cleanEnds {
			b.Cleared(later, 1)
		}
		assertVerdict(t, b, later, 1, DecisionAllow)
		b.Merge(later, []Suspicion{NewSuspicion(1, 1, epoch)}) // an older suspicion that is still spreading
		assertVerdict(t, b, later, 1, DecisionAllow)
	})
	t.Run("merge does not add up", func(t *testing.T) {
		a, b := NewSuspicionTable(), NewSuspicionTable()
		a.Crash(epoch, []Fingerprint{1, 2})
		b.Crash(later, []Fingerprint{1, 3})
		a.Merge(later, b.Snapshot(later))
		assertVerdict(t, a, later, 1, DecisionRunAlone)
		is.New(t).Equal(len(a.Merge(later, b.Snapshot(later))), 0) // no news the second time
	})
	t.Run("bounded, quarantine stays", func(t *testing.T) {
		b := NewSuspicionTable()
		b.Crash(epoch, []Fingerprint{1})
		b.Crash(epoch, []Fingerprint{1})
		for fp := Fingerprint(10); fp < 2000; fp++ {
			b.Crash(later, []Fingerprint{fp})
		}
		is.New(t).Equal(len(b.Snapshot(later)), capacity)
		assertVerdict(t, b, later, 1, DecisionQuarantine)
	})
	t.Run("only the first 64 KB of the body count", func(t *testing.T) {
		body := make([]byte, bodyLimit+1)
		fp := NewFingerprint("a", "b", "GET", "/c", body)
		body[bodyLimit] = 1
		is.New(t).Equal(NewFingerprint("a", "b", "GET", "/c", body), fp)
		body[0] = 1
		is.New(t).True(NewFingerprint("a", "b", "GET", "/c", body) != fp)
	})
}

const (
	poison    = Fingerprint(1)
	machines  = 12
	slots     = 13
	spreadMax = 200 // ms
)

// running is a request at a target; it ends, or crashes the target, at a time in ms.
type running struct {
	fp  Fingerprint
	end int
}

// mesh is a fleet of targets under full load of innocent requests that are sent
// again when their target crashes, and one caller that sends the poison again at once.
type mesh struct {
	rnd       *rand.Rand
	boards    [machines]*SuspicionTable
	caller    *SuspicionTable
	targets   [machines][]running
	down      [machines]bool
	messages  map[int][]func()
	again     []Fingerprint
	next      Fingerprint
	lost      int
	condemned map[Fingerprint]bool
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// spread delivers suspicions to each daemon within the spreading time.
func (m *mesh) spread(ms int, s []Suspicion) {
	for _, b := range append(m.boards[:], m.caller) {
		due := ms + 1 + m.rnd.Intn(spreadMax)
		m.messages[due] = append(m.messages[due], func() { b.Merge(at(due), s) })
	}
}

func (m *mesh) start(ms, i int, fp Fingerprint, limited bool) bool {
	if m.down[i] || len(m.targets[i]) >= slots {
		return false
	}
	if v := m.boards[i].Check(at(ms), fp); limited && v != DecisionAllow {
		if v == DecisionQuarantine && fp != poison {
			m.condemned[fp] = true
		}
		var inFlight []Fingerprint
		for _, r := range m.targets[i] {
			inFlight = append(inFlight, r.fp)
		}
		if v == DecisionQuarantine || !m.boards[i].Alone(at(ms), inFlight) {
			return false
		}
	}
	m.targets[i] = append(m.targets[i], running{fp: fp, end: ms + 5 + m.rnd.Intn(40)})
	return true
}

// step ends the requests that are due.
func (m *mesh) step(ms, i int, limited bool) {
	var inFlight []Fingerprint
	crash := false
	for _, r := range m.targets[i] {
		inFlight = append(inFlight, r.fp)
		crash = crash || r.fp == poison && r.end <= ms
	}
	if crash {
		m.lost++
		m.down[i], m.targets[i] = true, nil
		m.spread(ms, m.boards[i].Crash(at(ms), inFlight))
		m.caller.Broken(at(ms), poison)
		for _, fp := range inFlight {
			if fp != poison {
				m.again = append(m.again, fp)
			}
		}
		return
	}
	kept := m.targets[i][:0]
	for _, r := range m.targets[i] {
		if r.end > ms {
			kept = append(kept, r)
		} else if s, changed := m.boards[i].Cleared(at(ms), r.fp); changed {
			m.spread(ms, []Suspicion{s})
		}
	}
	m.targets[i] = kept
}

// simulate runs 5 s and returns the targets lost and the innocent requests condemned.
func simulate(seed int64, copies int, limited bool) (lost, condemned int) {
	m := &mesh{
		rnd: rand.New(rand.NewSource(seed)), caller: NewSuspicionTable(), messages: make(map[int][]func()),
		next: 100, condemned: make(map[Fingerprint]bool),
	}
	for i := range m.boards {
		m.boards[i] = NewSuspicionTable()
	}
	for ms := range 5000 {
		for _, deliver := range m.messages[ms] {
			deliver()
		}
		for i := range m.targets {
			m.step(ms, i, limited)
		}
		if ms == 100 {
			for i := range copies {
				m.start(ms, i, poison, limited)
			}
		}
		if ms > 100 && !m.poisoned() && (!limited || m.caller.Hold(at(ms), poison) == 0 && m.caller.Check(at(ms), poison) != DecisionQuarantine) {
			m.start(ms, m.rnd.Intn(machines), poison, limited)
		}
		m.load(ms, limited)
	}
	return m.lost, len(m.condemned)
}

// poisoned reports whether the poison is in flight; its caller sends it again only after that.
func (m *mesh) poisoned() bool {
	for _, t := range m.targets {
		for _, r := range t {
			if r.fp == poison {
				return true
			}
		}
	}
	return false
}

// load sends innocent requests: first those whose target crashed, then new ones.
// They leave one slot free.
func (m *mesh) load(ms int, limited bool) {
	for i := range m.targets {
		for len(m.targets[i]) < slots-1 && !m.down[i] {
			fp := m.next
			m.next++
			if len(m.again) > 0 && m.start(ms, i, m.again[0], limited) {
				m.again = m.again[1:]
				continue
			}
			m.start(ms, i, fp, limited)
		}
	}
}

// Guards against a request that takes down the fleet, and against condemning the
// innocent ones that ran beside it. The baseline has no quarantine.
func TestCrashingRequest(t *testing.T) {
	const seeds = 60
	for _, copies := range []int{1, 2} {
		worst, total, innocent, baseline := 0, 0, 0, 0
		for seed := range int64(seeds) {
			lost, condemned := simulate(seed, copies, true)
			worst, total, innocent = max(worst, lost), total+lost, innocent+condemned
			if seed < 20 {
				lost, _ = simulate(seed, copies, false)
				baseline += lost
			}
		}
		t.Logf("%d copies at first, %d seeds: lost mean %.2f worst %d, innocent condemned %d; without quarantine mean %.1f of %d (20 seeds)",
			copies, seeds, float64(total)/seeds, worst, innocent, float64(baseline)/20, machines)
		is.New(t).True(worst <= 3)
		is.New(t).Equal(innocent, 0)
	}
}
