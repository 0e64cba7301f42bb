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
)

var baseTime = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return baseTime.Add(d) }

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

// known returns a state that a health answer has made known.
func known(coldFor time.Duration) *State {
	s := started()
	s.check(baseTime, NewHealthAnswer("i", coldFor))
	return s
}

func (s *State) check(now time.Time, a HealthAnswer) HealthResult {
	return s.EndCheck(now, s.StartCheck(now), a)
}

// assertLimit checks the limit at a time: its cause and its end.
func assertLimit(t *testing.T, s *State, d time.Duration, want Cause, until time.Duration) {
	t.Helper()
	is := is.New(t)
	l := s.Limit(at(d))
	is.True(l.Active())
	is.Equal(l.PerSecond(), perSecond)
	is.Equal(l.Cause(), want)
	is.Equal(l.Until(), at(until))
}

func assertNoLimit(t *testing.T, s *State, d time.Duration) {
	t.Helper()
	if l := s.Limit(at(d)); l.Active() {
		t.Errorf("limited until %s because of %s, want no limit", l.Until().Sub(baseTime), l.Cause())
	}
}

func TestServiceWithoutColdStart(t *testing.T) {
	is := is.New(t)
	s := New(baseTime)
	s.ObserveService(baseTime, basillift.NewServiceLimits("s", "/h", 100))
	s.ObserveRefused(at(time.Second))
	assertNoLimit(t, s, 2*time.Second)
	is.True(!s.CheckDue(at(2 * time.Second)))
	_, changes := s.NextChange(at(2 * time.Second))
	is.True(!changes)
	s.ObserveService(at(3*time.Second), coldService)
	assertLimit(t, s, 3*time.Second, CauseStart, 6*time.Second)
}

// Guards against a cold target at full rate after the start of its daemon, and a warm one that is limited for long.
func TestStartOfDaemon(t *testing.T) {
	t.Run("a health answer of a warm target ends the limit", func(t *testing.T) {
		is := is.New(t)
		s := started()
		assertLimit(t, s, 0, CauseStart, warmup)
		is.True(s.CheckDue(baseTime))
		c := s.StartCheck(baseTime)
		is.True(!s.CheckDue(at(time.Second)))
		is.Equal(s.EndCheck(at(4*time.Millisecond), c, NewHealthAnswer("i", 0)), HealthKnown)
		assertNoLimit(t, s, 4*time.Millisecond)
		is.True(!s.CheckDue(at(time.Hour)))
	})
	t.Run("a health answer of a cold target sets its end", func(t *testing.T) {
		s := known(1700 * time.Millisecond)
		assertLimit(t, s, time.Second, CauseNone, 1700*time.Millisecond)
		assertNoLimit(t, s, 1700*time.Millisecond)
	})
	t.Run("without health answers a warm-up after the first contact", func(t *testing.T) {
		s := started()
		assertLimit(t, s, time.Hour, CauseStart, time.Hour+warmup)
		s.ObserveAnswer(at(time.Hour), baseTime, baseTime.Add(-time.Second))
		assertLimit(t, s, time.Hour, CauseStart, time.Hour+warmup)
		s.ObserveAnswer(at(time.Hour), baseTime, at(time.Minute))
		assertLimit(t, s, time.Hour+time.Second, CauseStart, time.Hour+warmup)
		assertNoLimit(t, s, time.Hour+warmup)
	})
	t.Run("an entry extends the limit of an unknown state only by a later cold phase", func(t *testing.T) {
		s := started()
		s.ObserveAnswer(baseTime, baseTime, baseTime)
		s.ObserveEntry(at(2*time.Second), entryOf("i", -time.Second, 1, warmup))
		assertLimit(t, s, 2*time.Second, CauseStart, warmup)
		s.ObserveEntry(at(2900*time.Millisecond), entryOf("i", -time.Second, 2, warmup))
		assertLimit(t, s, 2900*time.Millisecond, CauseStart, 5900*time.Millisecond)
		assertLimit(t, s, warmup, CauseNone, 5900*time.Millisecond)
	})
	t.Run("a target that was reached before it started by its entry", func(t *testing.T) {
		s := started()
		s.ObserveAnswer(baseTime, baseTime, baseTime)
		s.ObserveEntry(at(time.Second), entryOf("i", 500*time.Millisecond, 1, 0))
		assertLimit(t, s, 3*time.Second, CauseStart, 6*time.Second)
	})
}

// Guards against a target that starts again and gets requests at full rate.
func TestRestartOfTarget(t *testing.T) {
	t.Run("it refused a connection", func(t *testing.T) {
		s := known(0)
		s.ObserveRefused(at(time.Second))
		assertLimit(t, s, 10*time.Second, CauseRefused, 13*time.Second)
		s.ObserveAnswer(at(10*time.Second), at(10*time.Second), at(10*time.Second))
		assertLimit(t, s, 12*time.Second, CauseRefused, 13*time.Second)
	})
	t.Run("it refused a connection once more after it was reached", func(t *testing.T) {
		s := known(0)
		s.ObserveRefused(at(time.Second))
		s.ObserveAnswer(at(2*time.Second), at(2*time.Second), at(2*time.Second))
		s.ObserveRefused(at(4 * time.Second))
		assertLimit(t, s, 6*time.Second, CauseRefused, 9*time.Second)
	})
	t.Run("the answer to a check from before is ignored", func(t *testing.T) {
		is := is.New(t)
		s := started()
		c := s.StartCheck(baseTime)
		s.ObserveRefused(at(time.Millisecond))
		is.Equal(s.EndCheck(at(2*time.Millisecond), c, NewHealthAnswer("i", 0)), HealthStale)
		assertLimit(t, s, 3*time.Millisecond, CauseStart, warmup+3*time.Millisecond)
	})
	t.Run("only its entry shows it, under the same instance", func(t *testing.T) {
		s := known(0)
		s.ObserveEntry(at(time.Second), entryOf("i", -time.Minute, 9, 0))
		assertNoLimit(t, s, time.Second)
		s.ObserveEntry(at(5*time.Second), entryOf("i", 4*time.Second, 1, 2800*time.Millisecond))
		assertLimit(t, s, 5*time.Second, CauseNewRun, 8*time.Second)
	})
	t.Run("its entry comes after the health answer", func(t *testing.T) {
		s := known(0)
		s.ObserveEntry(at(100*time.Millisecond), entryOf("i", -time.Minute, 9, 0))
		s.ObserveRefused(at(time.Second))
		s.check(at(3*time.Second), NewHealthAnswer("i", 2900*time.Millisecond))
		s.ObserveEntry(at(4*time.Second), entryOf("i", 2900*time.Millisecond, 1, 2600*time.Millisecond))
		assertLimit(t, s, 4*time.Second, CauseNone, 5900*time.Millisecond)
		assertNoLimit(t, s, 5900*time.Millisecond)
	})
	t.Run("an old entry of another run comes late", func(t *testing.T) {
		s := known(0)
		s.ObserveEntry(at(time.Second), entryOf("other", -time.Minute, 9, 0))
		assertLimit(t, s, time.Second, CauseNewRun, 4*time.Second)
	})
}

// Guards against a cold phase of a run that began before, of which only the registry tells.
func TestTargetBecomesColdInItsRun(t *testing.T) {
	s := known(2 * time.Second)
	s.ObserveEntry(at(800*time.Millisecond), entryOf("i", -time.Second, 1, 2*time.Second))
	assertLimit(t, s, time.Second, CauseNone, 2*time.Second)
	s.ObserveEntry(at(2300*time.Millisecond), entryOf("i", -time.Second, 2, 0))
	assertNoLimit(t, s, 2300*time.Millisecond)
	s.ObserveEntry(at(10*time.Second), entryOf("i", -time.Second, 7, 2500*time.Millisecond))
	assertLimit(t, s, 10*time.Second, CauseNone, 12500*time.Millisecond)
	s.ObserveEntry(at(11500*time.Millisecond), entryOf("i", -time.Second, 8, 0))
	assertNoLimit(t, s, 11500*time.Millisecond)
}

// Guards against a restart that shows only as a lost connection, and against a target that loses answers, is limited for long
// and gets many health checks.
func TestBrokenConnection(t *testing.T) {
	t.Run("the target may have started again", func(t *testing.T) {
		s := known(0)
		s.ObserveBroken(at(time.Second), at(900*time.Millisecond))
		assertLimit(t, s, time.Second, CauseBroken, 4*time.Second)
		s.ObserveAnswer(at(1100*time.Millisecond), at(1050*time.Millisecond), at(1050*time.Millisecond))
		assertLimit(t, s, 2*time.Second, CauseBroken, 4100*time.Millisecond)
	})
	t.Run("a connection from before that still works shows that it has not", func(t *testing.T) {
		s := known(0)
		s.ObserveBroken(at(time.Second), at(900*time.Millisecond))
		s.ObserveAnswer(at(1100*time.Millisecond), at(100*time.Millisecond), at(990*time.Millisecond))
		assertLimit(t, s, 1100*time.Millisecond, CauseBroken, 4100*time.Millisecond)
		s.ObserveAnswer(at(1200*time.Millisecond), at(100*time.Millisecond), at(1010*time.Millisecond))
		assertNoLimit(t, s, 1200*time.Millisecond)
	})
	t.Run("but not one that may be of the next run", func(t *testing.T) {
		s := known(0)
		s.ObserveBroken(at(time.Second), at(900*time.Millisecond))
		s.ObserveBroken(at(1500*time.Millisecond), at(1400*time.Millisecond))
		s.ObserveAnswer(at(1600*time.Millisecond), at(1100*time.Millisecond), at(1550*time.Millisecond))
		assertLimit(t, s, 1600*time.Millisecond, CauseBroken, 4600*time.Millisecond)
	})
	t.Run("nor after the target refused a connection", func(t *testing.T) {
		s := known(0)
		s.ObserveBroken(at(time.Second), at(900*time.Millisecond))
		s.ObserveRefused(at(1001 * time.Millisecond))
		s.ObserveAnswer(at(1200*time.Millisecond), at(100*time.Millisecond), at(1010*time.Millisecond))
		assertLimit(t, s, 1200*time.Millisecond, CauseRefused, 4200*time.Millisecond)
	})
	t.Run("one health check within a warm-up", func(t *testing.T) {
		s := known(0)
		checks := 0
		for d := time.Duration(0); d < 30*time.Second; d += 10 * time.Millisecond {
			if d%(200*time.Millisecond) == 0 {
				s.ObserveBroken(at(d), at(d))
			}
			if s.CheckDue(at(d)) {
				checks++
				s.check(at(d), NewHealthAnswer("i", 0))
			}
		}
		is.New(t).Equal(checks, 10)
	})
}

// Guards against a target that is flooded with health checks, or never asked again.
func TestHealthChecks(t *testing.T) {
	// sent returns how many checks are sent within a time if each fails, with the target reached or not.
	sent := func(s *State, period time.Duration, r HealthResult) (checks int) {
		for d := time.Duration(0); d < period; d += time.Millisecond {
			if s.CheckDue(at(d)) {
				checks++
				s.check(at(d), NewHealthFailure(r))
			}
		}
		return checks
	}
	t.Run("that the target refuses", func(t *testing.T) {
		s := started()
		is.New(t).Equal(sent(s, time.Minute, HealthFailed), 7)
		assertNoLimit(t, s, warmup)
	})
	t.Run("whose answers have no header", func(t *testing.T) {
		s := started()
		is.New(t).Equal(sent(s, time.Minute, HealthNoHeader), 3)
		assertNoLimit(t, s, warmup)
	})
	t.Run("of a target that is down", func(t *testing.T) {
		is := is.New(t)
		s := started()
		is.True(sent(s, time.Minute, HealthRefused) < 70)
		assertLimit(t, s, time.Minute, CauseStart, time.Minute+warmup)
		s.ObserveAnswer(at(time.Minute), at(time.Minute), at(time.Minute))
		is.True(s.CheckDue(at(time.Minute)))
	})
	t.Run("of another instance are ignored until its entry comes", func(t *testing.T) {
		is := is.New(t)
		s := started()
		s.ObserveEntry(baseTime, entryOf("old", -time.Minute, 9, 0))
		is.Equal(s.check(at(time.Millisecond), NewHealthAnswer("new", 0)), HealthOtherInstance)
		assertLimit(t, s, 2*time.Millisecond, CauseStart, warmup+time.Millisecond)
		is.True(!s.CheckDue(at(500 * time.Millisecond)))
		s.ObserveEntry(at(500*time.Millisecond), entryOf("new", -time.Second, 1, time.Second))
		is.True(s.CheckDue(at(500 * time.Millisecond)))
		is.Equal(s.check(at(501*time.Millisecond), NewHealthAnswer("new", 600*time.Millisecond)), HealthKnown)
		assertLimit(t, s, 502*time.Millisecond, CauseNone, 1101*time.Millisecond)
	})
	t.Run("without an entry any instance counts", func(t *testing.T) {
		assertNoLimit(t, known(0), time.Millisecond)
	})
	t.Run("are not sent without a path", func(t *testing.T) {
		s := New(baseTime)
		s.ObserveService(baseTime, basillift.NewServiceLimits("s", "", 0).WithColdStart(warmup, perSecond))
		is.New(t).True(!s.CheckDue(baseTime))
	})
}

// Guards against health checks to an evacuated target, and against a target that comes back cold from an evacuation.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	s := known(0)
	s.ObserveEvacuation(true)
	s.ObserveRefused(at(time.Second))
	is.True(!s.CheckDue(at(time.Minute)))
	s.ObserveAnswer(at(2*time.Second), at(2*time.Second), at(2*time.Second))
	assertNoLimit(t, s, 5*time.Second)
	s.ObserveEvacuation(false)
	s.ObserveEvacuationEnd(at(time.Minute), at(time.Minute))
	assertLimit(t, s, time.Minute, CauseEvacuation, time.Minute+warmup)
	is.True(s.CheckDue(at(time.Minute)))
	s.check(at(time.Minute), NewHealthAnswer("i", time.Second))
	s.ObserveEvacuationEnd(at(time.Minute+time.Millisecond), at(time.Minute))
	assertLimit(t, s, time.Minute+time.Millisecond, CauseNone, time.Minute+time.Second)
}

// Guards against a limit that is not lifted because nothing happens at its end.
func TestNextChange(t *testing.T) {
	assertNext := func(t *testing.T, s *State, d, want time.Duration) {
		t.Helper()
		got, changes := s.NextChange(at(d))
		is := is.New(t)
		is.True(changes)
		is.Equal(got, at(want))
	}
	s := started()
	assertNext(t, s, 0, 0)
	c := s.StartCheck(baseTime)
	assertNext(t, s, time.Second, time.Second+warmup)
	s.EndCheck(at(time.Second), c, NewHealthFailure(HealthFailed))
	assertNext(t, s, time.Second, 1050*time.Millisecond)
	s.check(at(1050*time.Millisecond), NewHealthAnswer("i", 2*time.Second))
	assertNext(t, s, 2*time.Second, 3050*time.Millisecond)
	_, changes := s.NextChange(at(3050 * time.Millisecond))
	is.New(t).True(!changes)
}
