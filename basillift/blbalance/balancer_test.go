package blbalance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

var begin = time.Unix(1_800_000_000, 0)

// fleetOf returns targets of the service "s": near ones first, then far ones.
func fleetOf(near, far int) []*blfleet.Target {
	f := blfleet.New()
	for i := range near + far {
		domain := basillift.FailureDomain("near")
		if i >= near {
			domain = "far"
		}
		e := basillift.NewEndpoint(fmt.Sprintf("i%02d", i), "s", fmt.Sprintf("x:%d", i), domain, 9, basillift.TargetReady)
		f.Apply(begin.Add(-time.Minute), basillift.NewRegistryEntry(e.Instance(), uint64(i)+1).WithEndpoint(e))
	}
	return f.Targets("s")
}

func newPlacer() *Balancer { return New("near", rand.New(rand.NewSource(1))) }

func ask(bytes int) Request { return NewRequest("lane", bytes, begin.Add(300*time.Millisecond)) }

// report tells the placer the load of a target.
func (p *Balancer) report(t *blfleet.Target, running, queued int, hold time.Duration) {
	p.Started(begin, t)
	l := basillift.NewLoad(running, queued, 9, hold)
	p.Ended(begin, t, ask(0), ResultRefused, time.Millisecond, &l)
}

// share returns how many of 1000 choices fall on each target.
func (p *Balancer) share(now time.Time, targets []*blfleet.Target, a Request) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if t, found := p.Choose(now, targets, nil, a); found {
			counts[t.Endpoint().Instance()]++
		}
	}
	return counts
}

func assertAll(t *testing.T, counts map[string]int, want ...string) {
	t.Helper()
	sum := 0
	for _, instance := range want {
		sum += counts[instance]
	}
	if sum != 1000 {
		t.Errorf("choices %v, want all on %v", counts, want)
	}
}

func TestChoice(t *testing.T) {
	t.Run("near targets first", func(t *testing.T) {
		assertAll(t, newPlacer().share(begin, fleetOf(2, 4), ask(2000)), "i00", "i01")
	})
	t.Run("a slower near target is good enough while the goal is safe", func(t *testing.T) {
		p, targets := newPlacer(), fleetOf(1, 1)
		p.report(targets[0], 2, 0, 120*time.Millisecond)
		p.report(targets[1], 2, 0, 40*time.Millisecond)
		assertAll(t, p.share(begin, targets, ask(2000)), "i00")
	})
	t.Run("a full near target loses", func(t *testing.T) {
		p, targets := newPlacer(), fleetOf(1, 1)
		p.report(targets[0], 9, 20, 100*time.Millisecond)
		p.report(targets[1], 2, 0, 100*time.Millisecond)
		assertAll(t, p.share(begin, targets, ask(2000)), "i01")
	})
	t.Run("a large body stays near where a small one goes far", func(t *testing.T) {
		p, targets := newPlacer(), fleetOf(1, 1)
		p.report(targets[0], 9, 6, 100*time.Millisecond)
		p.report(targets[1], 2, 0, 100*time.Millisecond)
		assertAll(t, p.share(begin, targets, ask(60_000)), "i00")
		assertAll(t, p.share(begin, targets, ask(1000)), "i01")
	})
	t.Run("excluded targets are not chosen", func(t *testing.T) {
		_, found := newPlacer().Choose(begin, fleetOf(1, 0), []string{"i00"}, ask(0))
		is.New(t).True(!found)
	})
	t.Run("targets that fail get less", func(t *testing.T) {
		p, targets := newPlacer(), fleetOf(2, 0)
		for range 10 {
			p.Started(begin, targets[0])
			p.Ended(begin, targets[0], ask(0), ResultFailed, time.Millisecond, nil)
		}
		assertAll(t, p.share(begin, targets, ask(0)), "i01")
	})
}

// silent lets a request to a target end without any answer.
func (p *Balancer) silent(now time.Time, t *blfleet.Target) {
	p.Started(now, t)
	p.Ended(now, t, ask(0), ResultSilent, time.Second, nil)
}

// Guards against requests that are sent over a way that is cut, one after the other.
func TestCutDomain(t *testing.T) {
	t.Run("two silent targets pause all of their domain", func(t *testing.T) {
		p, targets := newPlacer(), fleetOf(1, 5)
		p.report(targets[0], 9, 90, 100*time.Millisecond)
		p.silent(begin, targets[1])
		p.silent(begin, targets[2])
		assertAll(t, p.share(begin, targets, ask(0)), "i00")
	})
	t.Run("a refused connection shows that the way is open", func(t *testing.T) {
		p, targets := newPlacer(), fleetOf(0, 3)
		p.silent(begin, targets[0])
		p.Started(begin, targets[1])
		p.Ended(begin, targets[1], ask(0), ResultUnreachable, time.Millisecond, nil)
		assertAll(t, p.share(begin, targets, ask(0)), "i02")
	})
	t.Run("one request at a time tries again after the pause", func(t *testing.T) {
		is := is.New(t)
		p, targets := newPlacer(), fleetOf(1, 4)
		p.report(targets[0], 9, 90, 100*time.Millisecond)
		p.silent(begin, targets[1])
		p.silent(begin, targets[2])
		later := begin.Add(pauseMost)
		counts := p.share(later, targets, NewRequest("lane", 0, later.Add(300*time.Millisecond)))
		is.Equal(counts["i01"]+counts["i02"]+counts["i03"]+counts["i04"], 1)
	})
	t.Run("when all look bad, all are tried", func(t *testing.T) {
		is := is.New(t)
		p, targets := newPlacer(), fleetOf(0, 2)
		p.silent(begin, targets[0])
		p.silent(begin, targets[1])
		_, found := p.Choose(begin, targets, nil, ask(0))
		is.True(found)
	})
	t.Run("a tried target does not make paused ones worth trying", func(t *testing.T) {
		is := is.New(t)
		p, targets := newPlacer(), fleetOf(1, 2)
		p.silent(begin, targets[1])
		p.silent(begin, targets[2])
		_, found := p.Choose(begin, targets, []string{"i00"}, ask(0))
		is.True(!found)
	})
}
