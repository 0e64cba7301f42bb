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
	faultTargets     = 6
	faultCallers     = 3
	faultSlots       = 10
	faultServiceTime = 10 * time.Millisecond // mean, exponentially distributed; capacity 6,000 calls/s
	faultRate        = 3000.0                // calls/s over all callers
	faultDuration    = 20 * time.Second
	faultStart       = 3 * time.Second
)

// behaviour returns, for a call that arrives at the given time, the factor on its
// service time and its result.
type behaviour func(at time.Duration) (factor float64, r Result)

// fault is a scenario in which target 0 misbehaves while the directory reports the
// given statuses.
type fault struct {
	name         string
	behaviour    behaviour
	directory    func(at time.Duration) []basillift.Status
	maxErrorRate float64 // upper bound for the Chooser
}

func healthy(time.Duration) (float64, Result) { return 1, ResultOK }

// allReady returns a directory that reports all targets as ready and alive.
func allReady() func(time.Duration) []basillift.Status {
	all := members(basillift.LivenessAlive, faultTargets)
	return func(time.Duration) []basillift.Status { return all }
}

// members returns the given number of ready targets. Target 0 has the given liveness,
// the others are alive.
func members(first basillift.Liveness, count int) []basillift.Status {
	var all []basillift.Status
	for i := range count {
		l := basillift.LivenessAlive
		if i == 0 {
			l = first
		}
		all = append(all, statusWith(i, "a", basillift.TargetReady, l))
	}
	return all
}

func faults() []fault {
	afterStart := func(bad func(at time.Duration) (float64, Result)) behaviour {
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
		allDead = append(allDead, statusWith(i, "a", basillift.TargetReady, basillift.LivenessDead))
	}
	return []fault{
		{"no fault", healthy, allReady(), 0},
		{
			"target refuses connections for 3 s before the directory lists it as dead", afterStart(func(time.Duration) (float64, Result) { return 0, ResultConnectFailed }),
			func(at time.Duration) []basillift.Status {
				if at < faultStart+3*time.Second {
					return ready
				}
				return dead
			}, 0.001,
		},
		{"20 times slower but listed as ready", afterStart(func(time.Duration) (float64, Result) { return 20, ResultOK }), allReady(), 0},
		{"all calls fail within 0.1 ms", afterStart(func(time.Duration) (float64, Result) { return 0.01, ResultError }), allReady(), 0.005},
		{"joins late and is 20 times slower at first", func(at time.Duration) (float64, Result) {
			return max(1, 20*(1-(at-faultStart).Seconds()/5)), ResultOK
		}, func(at time.Duration) []basillift.Status {
			if at < faultStart {
				return without
			}
			return ready
		}, 0},
		{"flaps: 2 s up, 2 s down", afterStart(func(at time.Duration) (float64, Result) {
			if at/time.Second%4 < 2 {
				return 0, ResultConnectFailed
			}
			return 1, ResultOK
		}), allReady(), 0.005},
		{"all targets listed as dead", healthy, func(time.Duration) []basillift.Status { return allDead }, 0},
	}
}

// completion is the end of a call.
type completion struct {
	at     time.Duration
	caller int
	id     basillift.VMID
	result Result
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, k int) bool { return h[i].at < h[k].at }
func (h completionHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// balancer is a load balancing policy.
type balancer interface {
	Choose(now time.Time, targets []basillift.Status, exclude ...basillift.VMID) (basillift.Member, basillift.Reason)
	Started(now time.Time, id basillift.VMID)
	Finished(now time.Time, id basillift.VMID, r Result)
}

// roundRobin is the baseline. It uses every target that the directory lists as
// accepting requests.
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

// simulate runs a scenario without retries and returns the error rate and the p50 and
// p99 latency of the successful calls.
func simulate(seed int64, f fault, balancers []balancer) (errorRate float64, p50, p99 time.Duration) {
	rnd := rand.New(rand.NewSource(seed))
	free := make(map[basillift.VMID][]time.Duration) // when each slot becomes free
	for i := range faultTargets {
		free[statusWith(i, "a", basillift.TargetReady, basillift.LivenessAlive).Member().ID()] = make([]time.Duration, faultSlots)
	}
	var running completionHeap
	var latencies []time.Duration
	calls, failed := 0, 0
	for at := time.Duration(0); at < faultDuration; at += time.Duration(rnd.ExpFloat64() / faultRate * float64(time.Second)) {
		for len(running) > 0 && running[0].at <= at {
			e := heap.Pop(&running).(completion)
			balancers[e.caller].Finished(epoch.Add(e.at), e.id, e.result)
		}
		calls++
		caller := rnd.Intn(faultCallers)
		now := epoch.Add(at)
		m, reason := balancers[caller].Choose(now, f.directory(at))
		if reason != basillift.ReasonNone {
			failed++
			continue
		}
		balancers[caller].Started(now, m.ID())
		factor, result := 1.0, ResultOK
		if m.ID() == "vm-00" {
			factor, result = f.behaviour(at)
		}
		end := at + 100*time.Microsecond
		if result == ResultOK {
			slots := free[m.ID()]
			earliest := slices.Index(slots, slices.Min(slots))
			end = max(at, slots[earliest]) + time.Duration(factor*rnd.ExpFloat64()*float64(faultServiceTime))
			slots[earliest] = end
			latencies = append(latencies, end-at)
		} else {
			failed++
		}
		heap.Push(&running, completion{end, caller, m.ID(), result})
	}
	if len(latencies) == 0 {
		return float64(failed) / float64(calls), 0, 0
	}
	slices.Sort(latencies)
	return float64(failed) / float64(calls), latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}

// Guards against errors caused by a target that fails or is slow while the directory
// still lists it as healthy. The baseline is round robin over the targets that the
// directory lists as accepting requests.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			var choosers, roundRobins []balancer
			for i := range faultCallers {
				c := NewChooser(basillift.NewPlace("a", "east"), DefaultSettings(), rand.New(rand.NewSource(int64(i))))
				choosers = append(choosers, c)
				roundRobins = append(roundRobins, &roundRobin{next: i})
			}
			errorRate, p50, p99 := simulate(1, f, choosers)
			t.Logf("chooser: errors %.3f%%, p50 %.1f ms, p99 %.1f ms", 100*errorRate, ms(p50), ms(p99))
			baselineErrorRate, baselineP50, baselineP99 := simulate(1, f, roundRobins)
			t.Logf("round robin: errors %.3f%%, p50 %.1f ms, p99 %.1f ms", 100*baselineErrorRate, ms(baselineP50), ms(baselineP99))
			is.New(t).True(errorRate <= f.maxErrorRate)
		})
	}
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// BenchmarkCall measures the hot path: one call through the Chooser with 16 targets.
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
