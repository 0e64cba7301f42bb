package blroute

import (
	"container/heap"
	"math/rand"
	"slices"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

const (
	faultTargets = 6
	faultCallers = 3
	faultSlots   = 10
	faultService = 10 * time.Millisecond // exponential mean; capacity 6,000 calls/s
	faultRate    = 3000.0                // calls/s over all callers
	faultLength  = 20 * time.Second
	faultStart   = 3 * time.Second
)

// behaviour is how a target treats a call that arrives at the given time: the
// factor on its service time, and the result.
type behaviour func(at time.Duration) (factor float64, r Result)

// fault is a scenario: target 0 misbehaves, and the directory says what it says.
type fault struct {
	name      string
	behaviour behaviour
	directory func(at time.Duration) []basillift.Status
	errors    float64 // the most that the Chooser may have
}

func healthy(time.Duration) (float64, Result) { return 1, ResultOK }

// everyone says that all targets are ready and alive.
func everyone() func(time.Duration) []basillift.Status {
	all := members(basillift.LivenessAlive, faultTargets)
	return func(time.Duration) []basillift.Status { return all }
}

// members returns the first targets, of which target 0 has the given liveness.
func members(first basillift.Liveness, count int) []basillift.Status {
	var all []basillift.Status
	for i := range count {
		l := basillift.LivenessAlive
		if i == 0 {
			l = first
		}
		all = append(all, believed(i, "a", basillift.TargetReady, l))
	}
	return all
}

func faults() []fault {
	after := func(bad func(at time.Duration) (float64, Result)) behaviour {
		return func(at time.Duration) (float64, Result) {
			if at < faultStart {
				return 1, ResultOK
			}
			return bad(at)
		}
	}
	ready, dead := members(basillift.LivenessAlive, faultTargets), members(basillift.LivenessDead, faultTargets)
	without := ready[1:]
	var allDead []basillift.Status
	for i := range faultTargets {
		allDead = append(allDead, believed(i, "a", basillift.TargetReady, basillift.LivenessDead))
	}
	return []fault{
		{"no fault", healthy, everyone(), 0},
		{
			"lagging health: dead for 3 s before it is known", after(func(time.Duration) (float64, Result) { return 0, ResultConnectFailed }),
			func(at time.Duration) []basillift.Status {
				if at < faultStart+3*time.Second {
					return ready
				}
				return dead
			}, 0.001,
		},
		{"lying load: 20 times slower, says ready", after(func(time.Duration) (float64, Result) { return 20, ResultOK }), everyone(), 0},
		{"fails fast: all calls fail in 0.1 ms", after(func(time.Duration) (float64, Result) { return 0.01, ResultError }), everyone(), 0.005},
		{"cold start: joins late, 20 times slower at first", func(at time.Duration) (float64, Result) {
			return max(1, 20*(1-(at-faultStart).Seconds()/5)), ResultOK
		}, func(at time.Duration) []basillift.Status {
			if at < faultStart {
				return without
			}
			return ready
		}, 0},
		{"flapping: 2 s up, 2 s down", after(func(at time.Duration) (float64, Result) {
			if at/time.Second%4 < 2 {
				return 0, ResultConnectFailed
			}
			return 1, ResultOK
		}), everyone(), 0.005},
		{"all targets look dead", healthy, func(time.Duration) []basillift.Status { return allDead }, 0},
	}
}

// ending is a call that ends at a time.
type ending struct {
	at     time.Duration
	caller int
	id     basillift.VMID
	result Result
}

type endings []ending

func (s endings) Len() int           { return len(s) }
func (s endings) Less(i, k int) bool { return s[i].at < s[k].at }
func (s endings) Swap(i, k int)      { s[i], s[k] = s[k], s[i] }
func (s *endings) Push(x any)        { *s = append(*s, x.(ending)) }
func (s *endings) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// picker is a way of choosing a target.
type picker interface {
	Choose(now time.Time, targets []basillift.Status, exclude ...basillift.VMID) (basillift.Member, basillift.Reason)
	Started(now time.Time, id basillift.VMID)
	Finished(now time.Time, id basillift.VMID, r Result)
}

// roundRobin is the baseline: it trusts the directory.
type roundRobin struct{ next int }

func (p *roundRobin) Choose(_ time.Time, targets []basillift.Status, _ ...basillift.VMID) (basillift.Member, basillift.Reason) {
	for range targets {
		p.next++
		if s := targets[p.next%len(targets)]; s.AcceptsRequests() {
			return s.Member(), basillift.ReasonNone
		}
	}
	return basillift.Member{}, basillift.ReasonNoTarget
}

func (p *roundRobin) Started(time.Time, basillift.VMID) {}

func (p *roundRobin) Finished(time.Time, basillift.VMID, Result) {}

// play runs a scenario without retries and returns the error rate and the p50 and
// p99 latency of the good calls.
func play(seed int64, f fault, pickers []picker) (errors float64, p50, p99 time.Duration) {
	rnd := rand.New(rand.NewSource(seed))
	free := make(map[basillift.VMID][]time.Duration) // when each slot gets free
	for i := range faultTargets {
		free[believed(i, "a", basillift.TargetReady, basillift.LivenessAlive).Member().ID()] = make([]time.Duration, faultSlots)
	}
	var open endings
	var latencies []time.Duration
	calls, failed := 0, 0
	for at := time.Duration(0); at < faultLength; at += time.Duration(rnd.ExpFloat64() / faultRate * float64(time.Second)) {
		for len(open) > 0 && open[0].at <= at {
			e := heap.Pop(&open).(ending)
			pickers[e.caller].Finished(epoch.Add(e.at), e.id, e.result)
		}
		calls++
		caller := rnd.Intn(faultCallers)
		now := epoch.Add(at)
		m, reason := pickers[caller].Choose(now, f.directory(at))
		if reason != basillift.ReasonNone {
			failed++
			continue
		}
		pickers[caller].Started(now, m.ID())
		factor, result := 1.0, ResultOK
		if m.ID() == "vm-00" {
			factor, result = f.behaviour(at)
		}
		end := at + 100*time.Microsecond
		if result == ResultOK {
			slots := free[m.ID()]
			least := slices.Index(slots, slices.Min(slots))
			end = max(at, slots[least]) + time.Duration(factor*rnd.ExpFloat64()*float64(faultService))
			slots[least] = end
			latencies = append(latencies, end-at)
		} else {
			failed++
		}
		heap.Push(&open, ending{end, caller, m.ID(), result})
	}
	if len(latencies) == 0 {
		return float64(failed) / float64(calls), 0, 0
	}
	slices.Sort(latencies)
	return float64(failed) / float64(calls), latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}

// Guards against a target that fails or is slow while the directory says otherwise.
// The baseline is round robin over the willing targets of the directory.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			var choosers, robins []picker
			for i := range faultCallers {
				c := NewChooser(basillift.NewPlace("a", "east"), DefaultSettings(), rand.New(rand.NewSource(int64(i))))
				choosers = append(choosers, c)
				robins = append(robins, &roundRobin{next: i})
			}
			errors, p50, p99 := play(1, f, choosers)
			t.Logf("chooser: errors %.3f%%, p50 %.1f ms, p99 %.1f ms", 100*errors, ms(p50), ms(p99))
			baseline, b50, b99 := play(1, f, robins)
			t.Logf("round robin: errors %.3f%%, p50 %.1f ms, p99 %.1f ms", 100*baseline, ms(b50), ms(b99))
			is.New(t).True(errors <= f.errors)
		})
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// The hot path: one call through the Chooser with 16 targets.
func BenchmarkCall(b *testing.B) {
	c, targets := newChooser(), members(basillift.LivenessAlive, 16)
	b.ReportAllocs()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Microsecond)
		m, _ := c.Choose(now, targets)
		c.Started(now, m.ID())
		c.Finished(now, m.ID(), ResultOK)
	}
}
