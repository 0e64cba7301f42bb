package bltarget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// observation is one input of the tracker, at a time after the epoch.
type observation struct {
	after time.Duration
	apply func(tracker *HealthTracker, now time.Time)
}

func health(after time.Duration, ok bool) observation {
	return observation{after, func(tracker *HealthTracker, now time.Time) { tracker.ObserveHealth(now, ok) }}
}

func load(after time.Duration, state basillift.TargetState) observation {
	return observation{after, func(tracker *HealthTracker, now time.Time) {
		tracker.ObserveLoad(now, NewReportedLoad(10, 0, 0, state))
	}}
}

func calls(after time.Duration, count int, r blroute.Result) observation {
	return observation{after, func(tracker *HealthTracker, now time.Time) {
		for range count {
			tracker.ObserveCall(now, r)
		}
	}}
}

const (
	second  = time.Second
	crashed = blroute.ResultCrashed
)

// Guards against calls to a target that cannot run them, and against no calls to a
// target that works. Either happens if the wrong source is used when the endpoints and
// the results of calls disagree.
func TestHealthTracker(t *testing.T) {
	healthy := health(0, true)
	drain := observation{second, func(tracker *HealthTracker, _ time.Time) { tracker.Drain() }}
	cases := []struct {
		name  string
		steps []observation
		want  basillift.TargetState
	}{
		{"no health check yet", nil, basillift.TargetStarting},
		{"healthy", []observation{healthy}, basillift.TargetReady},
		{"one failed check", []observation{healthy, health(second, false)}, basillift.TargetReady},
		{"two failed checks", []observation{healthy, health(second, false), health(2*second, false)}, basillift.TargetStarting},
		{
			"health fails but calls succeed",
			[]observation{healthy, health(second, false), calls(2*second, 1, blroute.ResultOK), health(2*second, false)},
			basillift.TargetReady,
		},
		{"health succeeds but calls break", []observation{healthy, calls(second, 3, crashed), health(second, true)}, basillift.TargetStarting},
		{"an answered call between broken calls", []observation{healthy, calls(0, 2, crashed), calls(0, 1, blroute.ResultOK), calls(0, 2, crashed)}, basillift.TargetReady},
		{"healthy after the suspension", []observation{healthy, calls(0, 3, crashed), health(second, true)}, basillift.TargetReady},
		{"no health check after the suspension", []observation{healthy, calls(0, 3, crashed), load(2*second, "")}, basillift.TargetStarting},
		{"calls break again", []observation{healthy, calls(0, 3, crashed), health(second, true), calls(second, 3, crashed), health(2*second, true)}, basillift.TargetStarting},
		{"late results do not prolong the suspension", []observation{healthy, calls(0, 3, crashed), calls(second/2, 9, crashed), health(second, true)}, basillift.TargetReady},
		{"all calls miss their deadline", []observation{healthy, calls(second, 10, blroute.ResultSlow)}, basillift.TargetStarting},
		{"errors of the target itself", []observation{healthy, calls(second, 99, blroute.ResultError)}, basillift.TargetReady},
		{"load report says shedding", []observation{healthy, load(0, basillift.TargetShedding)}, basillift.TargetShedding},
		{"load report says draining", []observation{healthy, load(0, basillift.TargetDraining)}, basillift.TargetDraining},
		{"load report says starting but calls succeed", []observation{healthy, calls(0, 1, blroute.ResultOK), load(second, basillift.TargetStarting)}, basillift.TargetReady},
		{"drain is permanent", []observation{healthy, drain, health(2*second, true), load(2*second, basillift.TargetReady)}, basillift.TargetDraining},
		{"pause", []observation{healthy, load(4*second, "")}, basillift.TargetStarting},
		{"health check after a pause", []observation{healthy, load(4*second, ""), health(4*second, true)}, basillift.TargetReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, now := NewHealthTracker(), epoch
			for _, s := range c.steps {
				now = epoch.Add(s.after)
				s.apply(tracker, now)
			}
			is.New(t).Equal(tracker.State(now), c.want)
		})
	}
}
