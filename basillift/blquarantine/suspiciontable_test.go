package blquarantine

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func assertDecision(t *testing.T, table *SuspicionTable, now time.Time, fp Fingerprint, want Decision) {
	t.Helper()
	is.New(t).Equal(table.Check(now, fp), want)
}

// Guards against a quarantine without sufficient evidence and against suspicions that
// expire too early or never.
func TestSuspicionTable(t *testing.T) {
	later := epoch.Add(time.Second)

	t.Run("second crash as the only suspect quarantines", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1, 2, 3})
		assertDecision(t, table, later, 1, DecisionRunAlone)
		is.New(t).True(!table.MayRunAlone(later, []Fingerprint{9, 2}))
		table.RecordCrash(later, []Fingerprint{1, 8, 9})
		assertDecision(t, table, later, 1, DecisionQuarantine)
		assertDecision(t, table, later, 8, DecisionAllow)
		assertDecision(t, table, later.Add(11*time.Minute), 1, DecisionAllow)
	})
	t.Run("two suspects in one crash", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1, 2})
		table.RecordCrash(later, []Fingerprint{1, 2})
		assertDecision(t, table, later, 1, DecisionRunAlone)
	})
	t.Run("three successes clear", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1, 2})
		for range successesToClear {
			table.RecordSuccess(later, 1)
		}
		assertDecision(t, table, later, 1, DecisionAllow)
		table.Merge(later, []Suspicion{NewSuspicion(1, 1, epoch)}) // an older suspicion that arrives late
		assertDecision(t, table, later, 1, DecisionAllow)
	})
	t.Run("merge does not add crash counts", func(t *testing.T) {
		a, table := NewSuspicionTable(), NewSuspicionTable()
		a.RecordCrash(epoch, []Fingerprint{1, 2})
		table.RecordCrash(later, []Fingerprint{1, 3})
		a.Merge(later, table.Snapshot(later))
		assertDecision(t, a, later, 1, DecisionRunAlone)
		is.New(t).Equal(len(a.Merge(later, table.Snapshot(later))), 0) // the second merge changes nothing
	})
	t.Run("a full table keeps the quarantine", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1})
		table.RecordCrash(epoch, []Fingerprint{1})
		for fp := Fingerprint(10); fp < 2000; fp++ {
			table.RecordCrash(later, []Fingerprint{fp})
		}
		is.New(t).Equal(len(table.Snapshot(later)), maxSuspicions)
		assertDecision(t, table, later, 1, DecisionQuarantine)
	})
	t.Run("a relayed copy renews nothing", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1})
		relayed := NewSuspicion(1, 1, epoch.Add(changeTimeTolerance))
		is.New(t).Equal(len(table.Merge(later, []Suspicion{relayed})), 0)
		for range successesToClear {
			table.RecordSuccess(epoch.Add(time.Millisecond), 1)
		}
		is.New(t).Equal(len(table.Merge(later, []Suspicion{relayed})), 0)
		assertDecision(t, table, later, 1, DecisionAllow)
	})
	t.Run("a success elsewhere clears", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1})
		table.Merge(later, []Suspicion{NewSuspicion(1, 0, epoch.Add(time.Millisecond))})
		assertDecision(t, table, later, 1, DecisionAllow)
	})
	t.Run("time left", func(t *testing.T) {
		table := NewSuspicionTable()
		table.RecordCrash(epoch, []Fingerprint{1})
		is.New(t).Equal(table.QuarantineLeft(epoch, 1), time.Duration(0))
		suspicion, known := table.Suspicion(epoch, 1)
		is.New(t).True(known && suspicion.Crashes() == 1 && !suspicion.Quarantined())
		table.RecordCrash(later, []Fingerprint{1})
		is.New(t).Equal(table.QuarantineLeft(later.Add(time.Minute), 1), suspicionLifetime-time.Minute)
		_, known = table.Suspicion(later.Add(2*suspicionLifetime), 1)
		is.New(t).True(!known)
	})
	t.Run("only the first 512 KB of the body count", func(t *testing.T) {
		body := make([]byte, maxFingerprintBodyBytes+1)
		fp := NewFingerprint("a", "b", "GET", "/c", body)
		body[maxFingerprintBodyBytes] = 1
		is.New(t).Equal(NewFingerprint("a", "b", "GET", "/c", body), fp)
		body[0] = 1
		is.New(t).True(NewFingerprint("a", "b", "GET", "/c", body) != fp)
	})
}

const (
	crashingRequest = Fingerprint(1)
	targetCount     = 12
	slotsPerTarget  = 13
	maxSpreadMillis = 200
)

// runningRequest is a request in flight at a target. At its end, in ms, it succeeds or
// crashes the target.
type runningRequest struct {
	fp  Fingerprint
	end int
}

// simulation runs a set of targets under full load of harmless requests, which are
// retried when their target crashes, and one caller that retries the crashing request
// immediately.
type simulation struct {
	rnd            *rand.Rand
	tables         [targetCount]*SuspicionTable
	caller         *SuspicionTable
	targets        [targetCount][]runningRequest
	down           [targetCount]bool
	messages       map[int][]func() // by delivery time in ms
	retries        []Fingerprint
	next           Fingerprint
	crashedTargets int
	quarantined    map[Fingerprint]bool
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// spread delivers suspicions to each daemon within maxSpreadMillis.
func (m *simulation) spread(ms int, s []Suspicion) {
	for _, table := range append(m.tables[:], m.caller) {
		due := ms + 1 + m.rnd.Intn(maxSpreadMillis)
		m.messages[due] = append(m.messages[due], func() { table.Merge(at(due), s) })
	}
}

func (m *simulation) start(ms, i int, fp Fingerprint, quarantineEnabled bool) bool {
	if m.down[i] || len(m.targets[i]) >= slotsPerTarget {
		return false
	}
	if decision := m.tables[i].Check(at(ms), fp); quarantineEnabled && decision != DecisionAllow {
		if decision == DecisionQuarantine && fp != crashingRequest {
			m.quarantined[fp] = true
		}
		var inFlight []Fingerprint
		for _, r := range m.targets[i] {
			inFlight = append(inFlight, r.fp)
		}
		if decision == DecisionQuarantine || !m.tables[i].MayRunAlone(at(ms), inFlight) {
			return false
		}
	}
	m.targets[i] = append(m.targets[i], runningRequest{fp: fp, end: ms + 5 + m.rnd.Intn(40)})
	return true
}

// advance ends the requests that are due at a target, and crashes it if the crashing
// request is among them.
func (m *simulation) advance(ms, i int, quarantineEnabled bool) {
	var inFlight []Fingerprint
	crash := false
	for _, r := range m.targets[i] {
		inFlight = append(inFlight, r.fp)
		crash = crash || r.fp == crashingRequest && r.end <= ms
	}
	if crash {
		m.crashedTargets++
		m.down[i], m.targets[i] = true, nil
		m.spread(ms, m.tables[i].RecordCrash(at(ms), inFlight))
		m.caller.RecordBrokenCall(at(ms), crashingRequest)
		for _, fp := range inFlight {
			if fp != crashingRequest {
				m.retries = append(m.retries, fp)
			}
		}
		return
	}
	kept := m.targets[i][:0]
	for _, r := range m.targets[i] {
		if r.end > ms {
			kept = append(kept, r)
		} else if s, changed := m.tables[i].RecordSuccess(at(ms), r.fp); changed {
			m.spread(ms, []Suspicion{s})
		}
	}
	m.targets[i] = kept
}

// simulate runs 5 s and returns the number of crashed targets and of harmless requests
// that were quarantined.
func simulate(seed int64, copies int, quarantineEnabled bool) (crashed, quarantined int) {
	m := &simulation{
		rnd: rand.New(rand.NewSource(seed)), caller: NewSuspicionTable(), messages: make(map[int][]func()),
		next: 100, quarantined: make(map[Fingerprint]bool),
	}
	for i := range m.tables {
		m.tables[i] = NewSuspicionTable()
	}
	for ms := range 5000 {
		for _, deliver := range m.messages[ms] {
			deliver()
		}
		for i := range m.targets {
			m.advance(ms, i, quarantineEnabled)
		}
		if ms == 100 {
			for i := range copies {
				m.start(ms, i, crashingRequest, quarantineEnabled)
			}
		}
		if ms > 100 && !m.crashingRequestInFlight() && (!quarantineEnabled || m.caller.RetryDelay(at(ms), crashingRequest) == 0 && m.caller.Check(at(ms), crashingRequest) != DecisionQuarantine) {
			m.start(ms, m.rnd.Intn(targetCount), crashingRequest, quarantineEnabled)
		}
		m.fillTargets(ms, quarantineEnabled)
	}
	return m.crashedTargets, len(m.quarantined)
}

// crashingRequestInFlight reports whether a copy of the crashing request is in flight.
// Its caller retries it only when none is.
func (m *simulation) crashingRequestInFlight() bool {
	for _, t := range m.targets {
		for _, r := range t {
			if r.fp == crashingRequest {
				return true
			}
		}
	}
	return false
}

// fillTargets starts harmless requests: first those whose target crashed, then new
// ones. It leaves one slot of each target free.
func (m *simulation) fillTargets(ms int, quarantineEnabled bool) {
	for i := range m.targets {
		for len(m.targets[i]) < slotsPerTarget-1 && !m.down[i] {
			fp := m.next
			m.next++
			if len(m.retries) > 0 && m.start(ms, i, m.retries[0], quarantineEnabled) {
				m.retries = m.retries[1:]
				continue
			}
			m.start(ms, i, fp, quarantineEnabled)
		}
	}
}

// Guards against a request that crashes one target after the other, and against a
// quarantine of harmless requests that were in flight with it. The baseline has no
// quarantine.
func TestCrashingRequest(t *testing.T) {
	const seeds = 60
	for _, copies := range []int{1, 2} {
		worst, total, harmlessQuarantined, baseline := 0, 0, 0, 0
		for seed := range int64(seeds) {
			crashed, quarantined := simulate(seed, copies, true)
			worst, total, harmlessQuarantined = max(worst, crashed), total+crashed, harmlessQuarantined+quarantined
			if seed < 20 {
				crashed, _ = simulate(seed, copies, false)
				baseline += crashed
			}
		}
		t.Logf("%d initial copies, %d seeds: crashed targets mean %.2f, worst %d; harmless requests quarantined %d; without quarantine mean %.1f of %d (20 seeds)",
			copies, seeds, float64(total)/seeds, worst, harmlessQuarantined, float64(baseline)/20, targetCount)
		is.New(t).True(worst <= 3)
		is.New(t).Equal(harmlessQuarantined, 0)
	}
}
