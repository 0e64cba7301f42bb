package blbalance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

// coldBalancer returns a balancer for a service whose cold targets get 2 requests per second for 3 s.
func coldBalancer(evacuationEnd time.Time) *Balancer {
	b := newBalancer()
	b.SetColdStarts(func(string) (time.Duration, float64, bool) { return 3 * time.Second, 2, true },
		func(basillift.FailureDomain) (time.Time, bool) { return evacuationEnd, !evacuationEnd.IsZero() })
	return b
}

// coldFleet returns two targets, of which the first stays cold for the given time by its entry.
func coldFleet(coldLeft time.Duration) []*blfleet.Target {
	f := blfleet.New()
	for i, left := range []time.Duration{coldLeft, 0} {
		e := basillift.NewEndpoint(fmt.Sprintf("i%02d", i), "s", fmt.Sprintf("x:%d", i), "near", 9, basillift.TargetReady).WithStart(begin, left)
		f.Apply(begin, basillift.NewRegistryEntry(e.Instance(), basillift.Revision(i)+1).WithEndpoint(e))
	}
	return f.Targets("s")
}

// Guards against requests that the daemon beside a cold target has to refuse, and against a cold target that gets none.
func TestColdTargetsGetFewerRequests(t *testing.T) {
	report := func(b *Balancer, now time.Time, target *blfleet.Target, l basillift.Load) {
		b.Started(now, target)
		b.Ended(now, target, newRequest(0), ResultRefused, time.Millisecond, &l)
	}
	warm := basillift.NewLoad(0, 0, 9, 100*time.Millisecond)
	cold := warm.WithColdLimit(2, 2*time.Second)
	for name, c := range map[string]struct {
		coldLeft      time.Duration
		evacuationEnd time.Time
		report        *basillift.Load
		after         time.Duration
		cold          bool
	}{
		"warm":                                   {cold: false},
		"cold by its entry":                      {coldLeft: 3 * time.Second, after: 2 * time.Second, cold: true},
		"warm after the end in its entry":        {coldLeft: 3 * time.Second, after: 3 * time.Second, cold: false},
		"cold by a report":                       {report: &cold, after: 1900 * time.Millisecond, cold: true},
		"warm after the end in a report":         {report: &cold, after: 2100 * time.Millisecond, cold: false},
		"warm by a report, against an old entry": {coldLeft: 3 * time.Second, report: &warm, after: time.Millisecond, cold: false},
		"cold by its entry after an old report":  {coldLeft: 3 * time.Second, report: &warm, after: 2 * time.Second, cold: true},
		"possibly cold after an evacuation":      {evacuationEnd: begin.Add(time.Second), report: &warm, after: 2 * time.Second, cold: true},
		"warm by a report after an evacuation":   {evacuationEnd: begin.Add(-time.Second), report: &warm, after: 1900 * time.Millisecond, cold: false},
		"warm a whole warm-up after evacuation":  {evacuationEnd: begin.Add(-time.Second), after: 2 * time.Second, cold: false},
		"possibly cold, never reported":          {evacuationEnd: begin.Add(-time.Second), after: 1900 * time.Millisecond, cold: true},
	} {
		t.Run(name, func(t *testing.T) {
			b, targets := coldBalancer(c.evacuationEnd), coldFleet(c.coldLeft)
			if c.evacuationEnd.IsZero() {
				report(b, begin.Add(-time.Second), targets[1], warm)
			}
			if c.report != nil {
				report(b, begin, targets[0], *c.report)
			}
			now := begin.Add(c.after)
			request := NewRequest("route", 0, now.Add(300*time.Millisecond))
			is := is.New(t)
			is.Equal(strings.Contains(b.explainOne(now, targets[0], request), "cold, gets 2 requests per second"), c.cold)
			if c.cold && c.evacuationEnd.IsZero() {
				assertAllOn(t, b.countChoices(now, targets, request), "i01")
			}
			chosen, found := b.Choose(now, targets[:1], nil, request)
			is.True(found)
			is.Equal(chosen, targets[0])
		})
	}
}

// Guards against a target that starts again and is taken for warm because of a report about its last run.
func TestReportOfEarlierRun(t *testing.T) {
	b, targets := coldBalancer(time.Time{}), coldFleet(0)
	b.reportLoad(targets[0], 0, 0, 100*time.Millisecond)
	f := blfleet.New()
	e := targets[0].Endpoint().WithStart(begin.Add(time.Second), 3*time.Second)
	f.Apply(begin, basillift.NewRegistryEntry("k", 1).WithEndpoint(e))
	is.New(t).True(strings.Contains(b.explainOne(begin, f.Targets("s")[0], newRequest(0)), "cold"))
}
