package bltarget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blroute"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// step is one observation, at a time after the epoch.
type step struct {
	after time.Duration
	apply func(j *HealthTracker, now time.Time)
}

func health(after time.Duration, ok bool) step {
	return step{after, func(j *HealthTracker, now time.Time) { j.Health(now, ok) }}
}

func load(after time.Duration, s basillift.TargetState) step {
	return step{after, func(j *HealthTracker, now time.Time) { j.Load(now, NewReportedLoad(10, 0, 0, s)) }}
}

func calls(after time.Duration, count int, r blroute.Result) step {
	return step{after, func(j *HealthTracker, now time.Time) {
		for range count {
			j.Call(now, r)
		}
	}}
}

const (
	second  = time.Second
	crashed = blroute.ResultCrashed
)

// Guards against a target that gets calls it cannot run, and against one that gets
// none although it works, when endpoints and calls disagree.
func TestJudge(t *testing.T) {
	healthy := health(0, true)
	drain := step{second, func(j *HealthTracker, _ time.Time) { j.Drain() }}
	cases := []struct {
		name  string
		steps []step
		want  basillift.TargetState
	}{
		{"never asked", nil, basillift.TargetStarting},
		{"healthy", []step{healthy}, basillift.TargetReady},
		{"one failed check", []step{healthy, health(second, false)}, basillift.TargetReady},
		{"two failed checks", []step{healthy, health(second, false), health(2*second, false)}, basillift.TargetStarting},
		{
			"health fails but calls succeed",
			[]step{healthy, health(second, false), calls(2*second, 1, blroute.ResultOK), health(2*second, false)},
			basillift.TargetReady,
		},
		{"health succeeds but calls break", []step{healthy, calls(second, 3, crashed), health(second, true)}, basillift.TargetStarting},
		{"a success between broken calls", []step{healthy, calls(0, 2, crashed), calls(0, 1, blroute.ResultOK), calls(0, 2, crashed)}, basillift.TargetReady},
		{"healthy after the hold", []step{healthy, calls(0, 3, crashed), health(second, true)}, basillift.TargetReady},
		{"no check after the hold", []step{healthy, calls(0, 3, crashed), load(2*second, "")}, basillift.TargetStarting},
		{"calls break again", []step{healthy, calls(0, 3, crashed), health(second, true), calls(second, 3, crashed), health(2*second, true)}, basillift.TargetStarting},
		{"late results do not prolong the hold", []step{healthy, calls(0, 3, crashed), calls(second/2, 9, crashed), health(second, true)}, basillift.TargetReady},
		{"all calls hang", []step{healthy, calls(second, 10, blroute.ResultSlow)}, basillift.TargetStarting},
		{"errors of the target itself", []step{healthy, calls(second, 99, blroute.ResultError)}, basillift.TargetReady},
		{"sheds", []step{healthy, load(0, basillift.TargetShedding)}, basillift.TargetShedding},
		{"drains by itself", []step{healthy, load(0, basillift.TargetDraining)}, basillift.TargetDraining},
		{"load says starting but calls succeed", []step{healthy, calls(0, 1, blroute.ResultOK), load(second, basillift.TargetStarting)}, basillift.TargetReady},
		{"drain stays", []step{healthy, drain, health(2*second, true), load(2*second, basillift.TargetReady)}, basillift.TargetDraining},
		{"pause", []step{healthy, load(4*second, "")}, basillift.TargetStarting},
		{"pause and a fresh check", []step{healthy, load(4*second, ""), health(4*second, true)}, basillift.TargetReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j, now := NewHealthTracker(), epoch
			for _, s := range c.steps {
				now = epoch.Add(s.after)
				s.apply(j, now)
			}
			is.New(t).Equal(j.State(now), c.want)
		})
	}
}
