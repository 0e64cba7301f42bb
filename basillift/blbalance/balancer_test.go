package blbalance

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladvisory"
	"basillift.dev/basillift/blfleet"
)

var begin = time.Unix(1_800_000_000, 0)

// fleetOf returns targets of the service "s": first those of the balancer's failure domain, then remote ones.
func fleetOf(local, remote int) []*blfleet.Target {
	f := blfleet.New()
	for i := range local + remote {
		domain := basillift.FailureDomain("near")
		if i >= local {
			domain = "far"
		}
		e := basillift.NewEndpoint(fmt.Sprintf("i%02d", i), "s", fmt.Sprintf("x:%d", i), domain, 9, basillift.TargetReady)
		f.Apply(begin.Add(-time.Minute), basillift.NewRegistryEntry(e.Instance(), basillift.Revision(i)+1).WithEndpoint(e))
	}
	return f.Targets("s")
}

func newBalancer() *Balancer { return New("near", bladvisory.New(), rand.New(rand.NewSource(1))) }

func newRequest(bytes int) Request {
	return NewRequest("route", bytes, begin.Add(300*time.Millisecond))
}

// reportLoad gives the balancer a load report of a target.
func (b *Balancer) reportLoad(t *blfleet.Target, running, queued int, serviceTime time.Duration) {
	b.Started(begin, t)
	load := basillift.NewLoad(running, queued, 9, serviceTime)
	b.Ended(begin, t, newRequest(0), ResultRefused, time.Millisecond, &load)
}

// explainOne describes one target.
func (b *Balancer) explainOne(now time.Time, t *blfleet.Target, request Request) string {
	e := b.Explain(now, []*blfleet.Target{t}, nil, request)
	return slices.Concat(e.candidates, e.leftOut)[0].String()
}

// countChoices returns how many of 1000 choices select each target.
func (b *Balancer) countChoices(now time.Time, targets []*blfleet.Target, request Request) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if t, found := b.Choose(now, targets, nil, request); found {
			counts[t.Endpoint().Instance()]++
		}
	}
	return counts
}

func assertAllOn(t *testing.T, counts map[string]int, want ...string) {
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
	t.Run("local targets first", func(t *testing.T) {
		assertAllOn(t, newBalancer().countChoices(begin, fleetOf(2, 4), newRequest(2000)), "i00", "i01")
	})
	t.Run("a slower local target is preferred if it meets the soft deadline", func(t *testing.T) {
		b, targets := newBalancer(), fleetOf(1, 1)
		b.reportLoad(targets[0], 2, 0, 120*time.Millisecond)
		b.reportLoad(targets[1], 2, 0, 40*time.Millisecond)
		assertAllOn(t, b.countChoices(begin, targets, newRequest(2000)), "i00")
	})
	t.Run("a full local target loses to a remote one", func(t *testing.T) {
		b, targets := newBalancer(), fleetOf(1, 1)
		b.reportLoad(targets[0], 9, 20, 100*time.Millisecond)
		b.reportLoad(targets[1], 2, 0, 100*time.Millisecond)
		assertAllOn(t, b.countChoices(begin, targets, newRequest(2000)), "i01")
	})
	t.Run("a large body stays local where a small one goes remote", func(t *testing.T) {
		b, targets := newBalancer(), fleetOf(1, 1)
		b.reportLoad(targets[0], 9, 6, 100*time.Millisecond)
		b.reportLoad(targets[1], 2, 0, 100*time.Millisecond)
		assertAllOn(t, b.countChoices(begin, targets, newRequest(60_000)), "i00")
		assertAllOn(t, b.countChoices(begin, targets, newRequest(1000)), "i01")
	})
	t.Run("excluded targets are not chosen", func(t *testing.T) {
		_, found := newBalancer().Choose(begin, fleetOf(1, 0), []string{"i00"}, newRequest(0))
		is.New(t).True(!found)
	})
	t.Run("a failing target is avoided", func(t *testing.T) {
		b, targets := newBalancer(), fleetOf(2, 0)
		for range 10 {
			b.Started(begin, targets[0])
			b.Ended(begin, targets[0], newRequest(0), ResultFailed, time.Millisecond, nil)
		}
		assertAllOn(t, b.countChoices(begin, targets, newRequest(0)), "i01")
	})
}

// endSilent records a request to a target that ends without any response.
func (b *Balancer) endSilent(now time.Time, t *blfleet.Target) {
	b.Started(now, t)
	b.Ended(now, t, newRequest(0), ResultSilent, time.Second, nil)
}

// Guards against requests that are sent one after the other to a failure domain behind a network partition.
func TestPartitionedDomain(t *testing.T) {
	t.Run("two silent targets pause the whole domain", func(t *testing.T) {
		b, targets := newBalancer(), fleetOf(1, 5)
		b.reportLoad(targets[0], 9, 90, 100*time.Millisecond)
		b.endSilent(begin, targets[1])
		b.endSilent(begin, targets[2])
		assertAllOn(t, b.countChoices(begin, targets, newRequest(0)), "i00")
	})
	t.Run("a refused connection shows that the domain is reachable", func(t *testing.T) {
		b, targets := newBalancer(), fleetOf(0, 3)
		b.endSilent(begin, targets[0])
		b.Started(begin, targets[1])
		b.Ended(begin, targets[1], newRequest(0), ResultUnreachable, time.Millisecond, nil)
		assertAllOn(t, b.countChoices(begin, targets, newRequest(0)), "i02")
	})
	t.Run("one request probes the domain after the pause", func(t *testing.T) {
		is := is.New(t)
		b, targets := newBalancer(), fleetOf(1, 4)
		b.reportLoad(targets[0], 9, 90, 100*time.Millisecond)
		b.endSilent(begin, targets[1])
		b.endSilent(begin, targets[2])
		later := begin.Add(maxPause)
		counts := b.countChoices(later, targets, NewRequest("route", 0, later.Add(300*time.Millisecond)))
		is.Equal(counts["i01"]+counts["i02"]+counts["i03"]+counts["i04"], 1)
	})
	t.Run("paused targets are used if all are paused", func(t *testing.T) {
		is := is.New(t)
		b, targets := newBalancer(), fleetOf(0, 2)
		b.endSilent(begin, targets[0])
		b.endSilent(begin, targets[1])
		_, found := b.Choose(begin, targets, nil, newRequest(0))
		is.True(found)
	})
	t.Run("paused targets are not used if an excluded target is usable", func(t *testing.T) {
		is := is.New(t)
		b, targets := newBalancer(), fleetOf(1, 2)
		b.endSilent(begin, targets[1])
		b.endSilent(begin, targets[2])
		_, found := b.Choose(begin, targets, []string{"i00"}, newRequest(0))
		is.True(!found)
	})
}

// Guards against choices that ignore how many requests a target accepts, also where its load report is old.
func TestLimitedTargetsGetFewerRequests(t *testing.T) {
	b, targets := newBalancer(), fleetOf(2, 0)
	limited := targets[0].Endpoint()
	b.advisories.ObserveReport(begin, limited, basillift.NewAdvisory().WithRequestLimit(1))
	assertAllOn(t, b.countChoices(begin, targets, newRequest(0)), "i01")
	is.New(t).True(strings.Contains(b.explainOne(begin, targets[0], newRequest(0)), "accepts 1 requests per second"))
}

func TestLeavingTargetsAreNotChosen(t *testing.T) {
	b, targets := newBalancer(), fleetOf(2, 0)
	b.advisories.ObserveReport(begin, targets[0].Endpoint(), basillift.NewAdvisory().WithLeaving())
	assertAllOn(t, b.countChoices(begin, targets, newRequest(0)), "i01")
	_, found := b.Choose(begin, targets[:1], nil, newRequest(0))
	is.New(t).True(!found)
}
