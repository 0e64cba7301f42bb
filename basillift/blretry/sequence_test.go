package blretry

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1_800_000_000, 0)

func always() bool { return true }
func never() bool  { return false }

// follow plays the endings of one request's attempts and returns what follows the last one.
func follow(c *AttemptSequence, repeat func() bool, endings ...AttemptResult) NextAction {
	var last NextAction
	for _, e := range endings {
		last = c.Next(begin, e, true, repeat)
	}
	return last
}

// Guards against a request that runs twice although it must not, and against an untrue "not run".
func TestCourse(t *testing.T) {
	later := begin.Add(time.Second)
	cases := []struct {
		name       string
		repeatable bool
		repeat     func() bool
		endings    []AttemptResult
		want       NextAction
	}{
		{"answered", false, never, []AttemptResult{AttemptAnswered}, ActionForwardAnswer},
		{"refused before a target saw it", false, never, []AttemptResult{AttemptRefused}, ActionRetry},
		{"never sent", false, never, []AttemptResult{AttemptUnreachable}, ActionRetry},
		{"shed, with allowance", false, always, []AttemptResult{AttemptShed}, ActionRetry},
		{"shed, without allowance", false, never, []AttemptResult{AttemptShed}, ActionReportNotRun},
		{"refused after it was shed costs an arrival", false, never, []AttemptResult{AttemptShed, AttemptRefused}, ActionReportNotRun},
		{"broken", false, always, []AttemptResult{AttemptBroken}, ActionReportUnknown},
		{"broken, repeatable", true, always, []AttemptResult{AttemptBroken}, ActionRetry},
		{"broken, repeatable, without allowance", true, never, []AttemptResult{AttemptBroken}, ActionReportUnknown},
		{"broken, then refused", true, always, []AttemptResult{AttemptBroken, AttemptRefused, AttemptNoTarget}, ActionReportUnknown},
		{"failed", false, always, []AttemptResult{AttemptFailed}, ActionForwardAnswer},
		{"failed, repeatable", true, always, []AttemptResult{AttemptFailed}, ActionRetry},
		{"failed twice", true, always, []AttemptResult{AttemptFailed, AttemptFailed}, ActionForwardAnswer},
		{"attempts used up", true, always, []AttemptResult{AttemptBroken, AttemptBroken}, ActionReportUnknown},
		{"refused by many", true, always, []AttemptResult{AttemptRefused, AttemptRefused, AttemptRefused, AttemptRefused}, ActionReportNotRun},
		{"nobody left", true, always, []AttemptResult{AttemptRefused, AttemptNoTarget}, ActionReportNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(follow(NewAttemptSequence(c.repeatable, 2, later), c.repeat, c.endings...), c.want)
		})
	}
	t.Run("no time left", func(t *testing.T) {
		is.New(t).Equal(follow(NewAttemptSequence(true, 2, begin), always, AttemptRefused), ActionReportNotRun)
	})
	t.Run("a body that cannot be sent again", func(t *testing.T) {
		is.New(t).Equal(NewAttemptSequence(true, 2, later).Next(begin, AttemptRefused, false, always), ActionReportNotRun)
	})
}

// Guards against repeats of all daemons together that exceed the bound of a
// window, also when daemons are killed and start again with a new allowance.
func TestAllowance(t *testing.T) {
	const ratio, window = 0.2, 10
	// meshLoad is daemons that send requests each at a rate and want to repeat all of them in each second for which
	// wants is true. Inherited is the share of the requests that repeats make, missed the part of it that is not told.
	type meshLoad struct {
		daemons, fixed int
		rate           float64
		restart        bool
		inherited      float64
		missed         float64
		wants          func(second int) bool
	}
	play := func(m meshLoad) (worst float64) {
		rnd := rand.New(rand.NewSource(1))
		fresh := func() *Allowance { return NewAllowance(ratio, m.fixed, rnd) }
		all := make([]*Allowance, m.daemons)
		for i := range all {
			all[i] = fresh()
		}
		var repeats, requests []float64
		sum := func(of []float64, end int) (total float64) {
			for _, n := range of[max(0, end-window):max(0, end)] {
				total += n
			}
			return total
		}
		for second := range 60 {
			taken, sent := 0.0, 0.0
			for i := range all {
				if m.restart && (second+i)%window == 0 {
					all[i] = fresh()
				}
				for step := range 10 {
					if rnd.Float64() >= m.rate/10 {
						continue
					}
					now := begin.Add(time.Duration(second)*time.Second + time.Duration(step)*time.Second/10)
					sent++
					taken += m.inherited
					all[i].RecordRequest(now, "s", m.daemons, m.inherited*(1-m.missed))
					if m.wants(second) && all[i].Take(now, "s", m.daemons) {
						taken++
					}
				}
			}
			repeats, requests = append(repeats, taken), append(requests, sent)
			of := max(sum(requests, second+1), sum(requests, second+1-window), sum(requests, second+1-window/2))
			worst = max(worst, sum(repeats, second+1)/(ratio*of+float64(m.fixed)))
		}
		return worst
	}
	always := func(int) bool { return true }
	// Savings of calm seconds are spent at once.
	bursts := func(second int) bool { return second%15 > 10 }
	long := func(second int) bool { return second%30 > 15 }
	for _, m := range []meshLoad{
		{daemons: 13, fixed: 64, rate: 1},
		{daemons: 13, fixed: 64, rate: 5},
		{daemons: 13, fixed: 64, rate: 9},
		{daemons: 13, fixed: 64, rate: 9, inherited: 0.1},
		// A window of vbw-mesh, scale-1 --seed 1066067577358, with fewer fixed ones.
		{daemons: 9, fixed: 20, rate: 9, inherited: 0.1, missed: 0.5},
		{daemons: 13, fixed: 64, rate: 5, restart: true},
		{daemons: 1200, fixed: 62, rate: 0.2},
		{daemons: 1200, fixed: 62, rate: 0.2, restart: true},
		{daemons: 1200, fixed: 62, rate: 3, restart: true},
	} {
		for name, wants := range map[string]func(int) bool{"always": always, "in bursts": bursts, "for long": long} {
			m.wants = wants
			if worst := play(m); worst > 1 {
				t.Errorf("%d daemons, %v requests a second each, restarts %v, wanted %s: %.2f of the bound",
					m.daemons, m.rate, m.restart, name, worst)
			}
		}
	}
	t.Run("services have allowances of their own", func(t *testing.T) {
		is := is.New(t)
		a := NewAllowance(0.2, 104, rand.New(rand.NewSource(1)))
		for a.Take(begin, "s", 13) {
		}
		is.True(a.Take(begin, "other", 13))
	})
}
