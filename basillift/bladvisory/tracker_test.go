package bladvisory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

var begin = time.Unix(1_800_000_000, 0)

// target returns the entry of the run of a target that started the given time after begin.
func target(startedAfter time.Duration) basillift.Endpoint {
	return basillift.NewEndpoint("i1", "s", "x:1", "a", 4, basillift.TargetReady).WithStart(begin.Add(startedAfter), 0)
}

func limitOf(perSecond float64) basillift.Advisory {
	return basillift.NewAdvisory().WithRequestLimit(perSecond)
}

// assertLimit checks the limit of a target; a negative one means none.
func assertLimit(t *testing.T, tracker *Tracker, now time.Time, e basillift.Endpoint, want float64) {
	t.Helper()
	got, limited := tracker.Limit(now, e)
	if !limited {
		got = -1
	}
	if got != want {
		t.Errorf("limit %g, want %g", got, want)
	}
	reported, limited := tracker.Advisory(now, e).RequestLimit()
	if limited != (want >= 0) || limited && reported != want {
		t.Errorf("advisory with limit %g (%t), want %g", reported, limited, want)
	}
}

func TestLimit(t *testing.T) {
	e, none := target(0), basillift.NewAdvisory()
	t.Run("the newest limit holds without an expiry", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, limitOf(20))
		tracker.Observe(begin, e, limitOf(10))
		assertLimit(t, tracker, begin.Add(time.Minute), e, 10)
	})
	t.Run("an answer without a limit ends it, unless it crossed another one", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, limitOf(20))
		tracker.Observe(begin.Add(minLimitTime-1), e, none)
		assertLimit(t, tracker, begin.Add(minLimitTime), e, 20)
		tracker.Observe(begin.Add(minLimitTime), e, none)
		assertLimit(t, tracker, begin.Add(minLimitTime), e, -1)
	})
	t.Run("a new run of the target has no limit", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, limitOf(20))
		assertLimit(t, tracker, begin, target(time.Second), -1)
		tracker.Observe(begin, target(time.Second), limitOf(5))
		assertLimit(t, tracker, begin, target(time.Second), 5)
	})
	t.Run("a reported limit expires and is lifted by a report without it", func(t *testing.T) {
		tracker := New()
		tracker.ObserveReport(begin, e, limitOf(20))
		assertLimit(t, tracker, begin.Add(reportLifetime-1), e, 20)
		assertLimit(t, tracker, begin.Add(reportLifetime), e, -1)
		tracker.ObserveReport(begin.Add(reportLifetime), e, limitOf(20))
		tracker.ObserveReport(begin.Add(reportLifetime), e, none)
		assertLimit(t, tracker, begin.Add(reportLifetime), e, -1)
	})
	t.Run("a report does not replace what the target said itself", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, none)
		tracker.ObserveReport(begin, e, limitOf(20))
		assertLimit(t, tracker, begin, e, -1)
	})
	t.Run("records are forgotten", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, limitOf(20))
		tracker.Forget(begin.Add(forgetAfter))
		assertLimit(t, tracker, begin, e, 20)
		tracker.Forget(begin.Add(forgetAfter + 1))
		assertLimit(t, tracker, begin, e, -1)
		is.New(t).Equal(tracker.limited.Load(), int64(0))
	})
}

func TestObserveReportsChanges(t *testing.T) {
	is, tracker, e := is.New(t), New(), target(0)
	assertChange := func(a basillift.Advisory, after time.Duration, wantChanged, wantLeft bool) {
		t.Helper()
		changed, left := tracker.Observe(begin.Add(after), e, a)
		is.Helper()
		is.Equal(changed, wantChanged)
		is.Equal(left, wantLeft)
	}
	assertChange(basillift.NewAdvisory(), 0, false, false)
	assertChange(limitOf(20), 0, true, false)
	assertChange(limitOf(21), 0, false, false)
	assertChange(limitOf(10).WithLeaving(), 0, true, true)
	assertChange(limitOf(10).WithLeaving(), 0, false, false)
	assertChange(basillift.NewAdvisory(), time.Minute, true, false)
}

// assertLeaving checks whether a target counts as leaving, and since when.
func assertLeaving(t *testing.T, tracker *Tracker, e basillift.Endpoint, want bool) {
	t.Helper()
	since, leaving := tracker.Leaving(e)
	if leaving != want || leaving && !since.Equal(begin) {
		t.Errorf("leaving %t since %s, want %t since %s", leaving, since, want, begin)
	}
	if reported := tracker.Advisory(begin, e).Leaving(); reported != want {
		t.Errorf("advisory says leaving %t, want %t", reported, want)
	}
}

func TestLeaving(t *testing.T) {
	e, leaving := target(0), basillift.NewAdvisory().WithLeaving()
	t.Run("it holds for the whole run", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, leaving)
		tracker.Observe(begin.Add(time.Minute), e, leaving)
		tracker.Observe(begin.Add(2*time.Minute), e, basillift.NewAdvisory())
		assertLeaving(t, tracker, e, true)
	})
	t.Run("other daemons report it", func(t *testing.T) {
		tracker := New()
		tracker.ObserveReport(begin, e, leaving)
		tracker.ObserveReport(begin.Add(time.Second), e, basillift.NewAdvisory())
		assertLeaving(t, tracker, e, true)
	})
	t.Run("a new run is not leaving", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, leaving)
		assertLeaving(t, tracker, target(time.Second), false)
		tracker.Observe(begin, target(time.Second), basillift.NewAdvisory())
		is.New(t).Equal(tracker.leaving.Load(), int64(0))
	})
	t.Run("other targets are not leaving", func(t *testing.T) {
		tracker := New()
		tracker.Observe(begin, e, leaving)
		assertLeaving(t, tracker, basillift.NewEndpoint("i2", "s", "x:2", "a", 4, basillift.TargetReady), false)
	})
}
