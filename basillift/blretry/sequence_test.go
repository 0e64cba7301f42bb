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

// lastAction passes the results of a request's attempts to the sequence and returns the action after the last one.
func lastAction(s *AttemptSequence, takeRetry func() bool, results ...AttemptResult) NextAction {
	var last NextAction
	for _, r := range results {
		last = s.Next(begin, r, true, takeRetry)
	}
	return last
}

// Guards against a request that runs twice although it is not repeatable, and against a false report of "not run".
func TestAttemptSequence(t *testing.T) {
	later := begin.Add(time.Second)
	cases := []struct {
		name       string
		repeatable bool
		takeRetry  func() bool
		results    []AttemptResult
		want       NextAction
	}{
		{"answered", false, never, []AttemptResult{AttemptAnswered}, ActionForwardAnswer},
		{"refused before it reached a target", false, never, []AttemptResult{AttemptRefused}, ActionRetry},
		{"never sent", false, never, []AttemptResult{AttemptUnreachable}, ActionRetry},
		{"shed, with allowance", false, always, []AttemptResult{AttemptShed}, ActionRetry},
		{"shed, without allowance", false, never, []AttemptResult{AttemptShed}, ActionReportNotRun},
		{"refused after it was shed needs the allowance", false, never, []AttemptResult{AttemptShed, AttemptRefused}, ActionReportNotRun},
		{"broken", false, always, []AttemptResult{AttemptBroken}, ActionReportUnknown},
		{"broken, repeatable", true, always, []AttemptResult{AttemptBroken}, ActionRetry},
		{"broken, repeatable, without allowance", true, never, []AttemptResult{AttemptBroken}, ActionReportUnknown},
		{"broken, then refused", true, always, []AttemptResult{AttemptBroken, AttemptRefused, AttemptNoTarget}, ActionReportUnknown},
		{"failed", false, always, []AttemptResult{AttemptFailed}, ActionForwardAnswer},
		{"failed, repeatable", true, always, []AttemptResult{AttemptFailed}, ActionRetry},
		{"failed twice", true, always, []AttemptResult{AttemptFailed, AttemptFailed}, ActionForwardAnswer},
		{"attempts used up", true, always, []AttemptResult{AttemptBroken, AttemptBroken}, ActionReportUnknown},
		{"refused by many", true, always, []AttemptResult{AttemptRefused, AttemptRefused, AttemptRefused, AttemptRefused}, ActionReportNotRun},
		{"no target left", true, always, []AttemptResult{AttemptRefused, AttemptNoTarget}, ActionReportNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(lastAction(NewAttemptSequence(c.repeatable, 2, later), c.takeRetry, c.results...), c.want)
		})
	}
	t.Run("no time left", func(t *testing.T) {
		is.New(t).Equal(lastAction(NewAttemptSequence(true, 2, begin), always, AttemptRefused), ActionReportNotRun)
	})
	t.Run("a body that cannot be sent again", func(t *testing.T) {
		is.New(t).Equal(NewAttemptSequence(true, 2, later).Next(begin, AttemptRefused, false, always), ActionReportNotRun)
	})
}

// Guards against retries of all daemons together that exceed the bound of a window, also when daemons are killed and
// restart with a new allowance.
func TestAllowance(t *testing.T) {
	const ratio, window = 0.2, 10
	// meshLoad describes daemons that each send requests at a rate per second and try to retry all of them in each
	// second for which wantsRetries is true. retryShare is the share of the requests that are made by retried requests,
	// and undetectedShare is the part of this share that is not reported to the allowance.
	type meshLoad struct {
		daemons, fixed  int
		rate            float64
		restarts        bool
		retryShare      float64
		undetectedShare float64
		wantsRetries    func(second int) bool
	}
	simulate := func(m meshLoad) (worst float64) {
		rnd := rand.New(rand.NewSource(1))
		newAllowance := func() *Allowance { return NewAllowance(ratio, m.fixed, rnd) }
		allowances := make([]*Allowance, m.daemons)
		for i := range allowances {
			allowances[i] = newAllowance()
		}
		var retries, requests []float64
		sum := func(counts []float64, end int) (total float64) {
			for _, n := range counts[max(0, end-window):max(0, end)] {
				total += n
			}
			return total
		}
		for second := range 60 {
			retried, sent := 0.0, 0.0
			for i := range allowances {
				if m.restarts && (second+i)%window == 0 {
					allowances[i] = newAllowance()
				}
				for step := range 10 {
					if rnd.Float64() >= m.rate/10 {
						continue
					}
					now := begin.Add(time.Duration(second)*time.Second + time.Duration(step)*time.Second/10)
					sent++
					retried += m.retryShare
					allowances[i].RecordRequest(now, "s", m.daemons, m.retryShare*(1-m.undetectedShare))
					if m.wantsRetries(second) && allowances[i].Take(now, "s", m.daemons) {
						retried++
					}
				}
			}
			retries, requests = append(retries, retried), append(requests, sent)
			bound := max(sum(requests, second+1), sum(requests, second+1-window), sum(requests, second+1-window/2))
			worst = max(worst, sum(retries, second+1)/(ratio*bound+float64(m.fixed)))
		}
		return worst
	}
	always := func(int) bool { return true }
	// The balance saved in quiet seconds is spent at once.
	bursts := func(second int) bool { return second%15 > 10 }
	longBursts := func(second int) bool { return second%30 > 15 }
	for _, m := range []meshLoad{
		{daemons: 13, fixed: 64, rate: 1},
		{daemons: 13, fixed: 64, rate: 5},
		{daemons: 13, fixed: 64, rate: 9},
		{daemons: 13, fixed: 64, rate: 9, retryShare: 0.1},
		// The load of one window of vbw-mesh, scale-1 --seed 1066067577358, with fewer fixed retries.
		{daemons: 9, fixed: 20, rate: 9, retryShare: 0.1, undetectedShare: 0.5},
		{daemons: 13, fixed: 64, rate: 5, restarts: true},
		{daemons: 1200, fixed: 62, rate: 0.2},
		{daemons: 1200, fixed: 62, rate: 0.2, restarts: true},
		{daemons: 1200, fixed: 62, rate: 3, restarts: true},
	} {
		for name, wantsRetries := range map[string]func(int) bool{"always": always, "in bursts": bursts, "for long": longBursts} {
			m.wantsRetries = wantsRetries
			if worst := simulate(m); worst > 1 {
				t.Errorf("%d daemons, %v requests a second each, restarts %v, retries wanted %s: %.2f of the bound",
					m.daemons, m.rate, m.restarts, name, worst)
			}
		}
	}
	t.Run("each service has its own allowance", func(t *testing.T) {
		is := is.New(t)
		a := NewAllowance(0.2, 104, rand.New(rand.NewSource(1)))
		for a.Take(begin, "s", 13) {
		}
		is.True(a.Take(begin, "other", 13))
	})
}
