package blwarmup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

const (
	warmup    = 3 * time.Second
	perSecond = 11.0
	// warm is the cause in a step after which there is no limit.
	warm Cause = "warm"
)

var baseTime = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return baseTime.Add(d) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

var coldService = basillift.NewServiceLimits("s", "/h", 100).WithColdStart(warmup, perSecond)

// entryOf returns the entry of a target that started at a time.
func entryOf(instance string, started time.Duration, sequence uint64, coldLeft time.Duration) basillift.Endpoint {
	return basillift.NewEndpoint(instance, "s", "10.0.0.1:80", "a", 12, basillift.TargetReady).WithStart(at(started), coldLeft).WithSequence(sequence)
}

// started returns the state of a daemon that has started beside a target with a cold start.
func started() *State {
	s := New(baseTime)
	s.ObserveService(baseTime, coldService)
	return s
}

// observation is what happens at a time. The functions below return the kinds of them.
type observation func(s *State, now time.Time)

func nothing(*State, time.Time)       {}
func refused(s *State, now time.Time) { s.ObserveRefused(now) }
func survived(s *State, _ time.Time)  { s.ObserveOlderConnections(true) }
func died(s *State, _ time.Time)      { s.ObserveOlderConnections(false) }
func asked(s *State, now time.Time) {
	if _, due := s.OlderConnectionsDue(now); due {
		s.ObserveOlderConnections(true)
	}
}
func evacuationEnded(s *State, now time.Time) { s.ObserveEvacuationEnd(now, now) }
func evacuated(s *State, _ time.Time)         { s.ObserveEvacuation(true) }
func broken(began int) observation {
	return func(s *State, now time.Time) { s.ObserveBroken(now, at(ms(began))) }
}

func answered(opened, began int) observation {
	return func(s *State, now time.Time) { s.ObserveAnswer(now, at(ms(opened)), at(ms(began))) }
}

func entry(instance string, startedAt int, sequence uint64, coldLeft int) observation {
	return func(s *State, now time.Time) {
		s.ObserveEntry(now, entryOf(instance, ms(startedAt), sequence, ms(coldLeft)))
	}
}

func healthy(instance string, coldFor int) observation {
	return func(s *State, now time.Time) {
		s.EndCheck(now, s.StartCheck(now), NewHealthAnswer(instance, ms(coldFor)))
	}
}

// step is an observation at a time in ms, and what follows: the cause of an unknown state, or CauseNone while the target is known to be
// cold, with the end of the limit; or warm.
type step struct {
	at    int
	do    observation
	want  Cause
	until int
}

// Guards against a cold target at full rate, and against a warm one that is limited for long.
func TestState(t *testing.T) {
	for name, steps := range map[string][]step{
		"a health answer of a warm target": {{0, nothing, CauseStart, 3000}, {4, healthy("i", 0), warm, 0}, {90000, nothing, warm, 0}},
		"a health answer of a cold target": {{0, healthy("i", 1700), CauseNone, 1700}, {1699, nothing, CauseNone, 1700}, {1700, nothing, warm, 0}},
		"a warm-up after the first contact": {
			{60000, answered(0, -1), CauseStart, 63000},
			{60000, answered(0, 1), CauseStart, 63000},
			{62999, nothing, CauseStart, 63000},
			{63000, nothing, warm, 0},
		},
		"a later cold phase by an entry of an unknown state": {
			{0, answered(0, 0), CauseStart, 3000},
			{2000, entry("i", -1000, 1, 3000), CauseStart, 3000},
			{2900, entry("i", -1000, 2, 3000), CauseStart, 5900},
			{3000, nothing, CauseNone, 5900},
		},
		"reached before it started by its entry": {{0, answered(0, 0), CauseStart, 3000}, {1000, entry("i", 500, 1, 0), CauseStart, 4000}},
		"a refused connection":                   {{0, healthy("i", 0), warm, 0}, {1000, refused, CauseRefused, 4000}, {9000, answered(9000, 9000), CauseRefused, 12000}, {12000, nothing, warm, 0}},
		"refused once more after it was reached": {{0, healthy("i", 0), warm, 0}, {1000, refused, CauseRefused, 4000}, {2000, answered(2000, 2000), CauseRefused, 5000}, {4000, refused, CauseRefused, 7000}, {6000, nothing, CauseRefused, 9000}},
		"a new run under the same instance":      {{0, healthy("i", 0), warm, 0}, {1000, entry("i", -60000, 9, 0), warm, 0}, {5000, entry("i", 4000, 1, 2800), CauseNewRun, 8000}},
		"an entry after the health answer":       {{100, entry("i", -60000, 9, 0), CauseStart, 3100}, {1000, refused, CauseStart, 4000}, {3000, healthy("i", 2900), CauseNone, 5900}, {4000, entry("i", 2900, 1, 2600), CauseNone, 5900}},
		"an old entry of another instance":       {{0, healthy("i", 0), warm, 0}, {1000, entry("other", -60000, 9, 0), CauseNewRun, 4000}},
		"another instance answers":               {{0, entry("old", -60000, 9, 0), CauseStart, 3000}, {1, healthy("new", 0), CauseStart, 3001}, {500, entry("new", -1000, 1, 900), CauseStart, 3001}, {501, healthy("new", 600), CauseNone, 1101}},
		"cold again in its run": {
			{0, healthy("i", 2000), CauseNone, 2000},
			{800, entry("i", -1000, 1, 2000), CauseNone, 2000},
			{2300, entry("i", -1000, 2, 0), warm, 0},
			{10000, entry("i", -1000, 7, 2500), CauseNone, 12500},
			{11500, entry("i", -1000, 8, 0), warm, 0},
		},
		"a broken connection":               {{0, healthy("i", 0), warm, 0}, {1000, broken(900), CauseBroken, 4000}, {1100, answered(1050, 1050), CauseBroken, 4100}, {4100, nothing, warm, 0}},
		"an older connection answers":       {{0, healthy("i", 0), warm, 0}, {1000, broken(900), CauseBroken, 4000}, {1100, answered(100, 990), CauseBroken, 4100}, {1200, answered(100, 1010), warm, 0}},
		"an older connection is still open": {{0, healthy("i", 0), warm, 0}, {1000, broken(900), CauseBroken, 4000}, {1002, survived, warm, 0}},
		"no older connection is open":       {{0, healthy("i", 0), warm, 0}, {1000, broken(900), CauseBroken, 4000}, {1002, died, CauseBroken, 4002}},
		"an older connection is idle later": {
			{0, healthy("i", 0), warm, 0},
			{1000, broken(900), CauseBroken, 4000},
			{1002, died, CauseBroken, 4002},
			{1010, asked, CauseBroken, 4010},
			{1020, answered(100, 950), CauseBroken, 4020},
			{1020, asked, warm, 0},
		},
		"a connection between two breaks": {{0, healthy("i", 0), warm, 0}, {1000, broken(900), CauseBroken, 4000}, {1500, broken(1400), CauseBroken, 4500}, {1600, answered(1100, 1550), CauseBroken, 4600}},
		"broken, then refused":            {{0, healthy("i", 0), warm, 0}, {1000, broken(900), CauseBroken, 4000}, {1001, refused, CauseRefused, 4001}, {1200, answered(100, 1010), CauseRefused, 4200}},
		"the end of an evacuation":        {{0, healthy("i", 0), warm, 0}, {1000, evacuationEnded, CauseEvacuation, 4000}, {1001, healthy("i", 3000), CauseNone, 4001}},
	} {
		t.Run(name, func(t *testing.T) {
			s := started()
			for _, each := range steps {
				now := at(ms(each.at))
				each.do(s, now)
				l := s.Limit(now)
				if got := (step{at: each.at, want: l.Cause(), until: int(l.Until().Sub(baseTime).Milliseconds())}); l.Active() && (got.want != each.want || got.until != each.until) || !l.Active() && each.want != warm {
					t.Fatalf("at %d ms: limited %t, cause %q, until %d ms, want %q, %d ms", each.at, l.Active(), got.want, got.until, each.want, each.until)
				}
			}
		})
	}
}

// Guards against a target that is flooded with health checks, or never asked again.
func TestHealthChecks(t *testing.T) {
	for name, c := range map[string]struct {
		// before happens at the start, and each 200 ms if often is set.
		before observation
		often  bool
		answer HealthAnswer
		want   int
	}{
		"refused by the target":           {nothing, false, NewHealthFailure(HealthFailed), 7},
		"without the header":              {nothing, false, NewHealthFailure(HealthNoHeader), 3},
		"of a target that is down":        {nothing, false, NewHealthFailure(HealthRefused), 34},
		"evacuated":                       {evacuated, false, NewHealthAnswer("i", 0), 0},
		"of a target that is known":       {nothing, false, NewHealthAnswer("i", 1000), 1},
		"for broken connections, 30 s":    {broken(0), true, NewHealthAnswer("i", 0), 11},
		"of another instance, never seen": {entry("other", -60000, 1, 0), false, NewHealthAnswer("i", 0), 3},
	} {
		t.Run(name, func(t *testing.T) {
			s, checks := started(), 0
			for d := time.Duration(0); d < 30*time.Second; d += time.Millisecond {
				if d == 0 || c.often && d%(200*time.Millisecond) == 0 {
					c.before(s, at(d))
				}
				if s.CheckDue(at(d)) {
					checks++
					s.EndCheck(at(d), s.StartCheck(at(d)), c.answer)
				}
			}
			is.New(t).Equal(checks, c.want)
		})
	}
	t.Run("the answer to a check from before is ignored", func(t *testing.T) {
		s := started()
		c := s.StartCheck(baseTime)
		s.ObserveRefused(at(time.Millisecond))
		is.New(t).Equal(s.EndCheck(at(2*time.Millisecond), c, NewHealthAnswer("i", 0)), HealthStale)
	})
	t.Run("without a cold start", func(t *testing.T) {
		s := New(baseTime)
		s.ObserveService(baseTime, basillift.NewServiceLimits("s", "/h", 100))
		_, changes := s.NextChange(at(time.Second))
		is.New(t).True(!s.Limit(at(time.Second)).Active() && !s.CheckDue(at(time.Second)) && !changes)
	})
}
