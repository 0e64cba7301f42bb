package blplatform

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Guards against reporting a wrong condition of the platform to operators.
func TestConditions(t *testing.T) {
	start := time.Unix(1000, 0)
	value := func(modRevision, storeRevision uint64) basillift.Value {
		return basillift.NewValue("plans", nil, modRevision, storeRevision)
	}
	cases := []struct {
		name string
		last func(h *Health) Advice
		want Condition
	}{
		{"unchanged", func(h *Health) Advice { return h.RecordResponse(start, value(50, 60)) }, ConditionOK},
		{"newer", func(h *Health) Advice { return h.RecordResponse(start, value(70, 70)) }, ConditionOK},
		{"lower store", func(h *Health) Advice { return h.RecordResponse(start, value(50, 59)) }, ConditionStale},
		{"lower mod at a lower store", func(h *Health) Advice { return h.RecordResponse(start, value(40, 45)) }, ConditionStale},
		{"lower mod at a higher store", func(h *Health) Advice { return h.RecordResponse(start, value(40, 61)) }, ConditionRevisionDecreased},
		{"below the version of a peer", func(h *Health) Advice {
			h.RecordVersion(basillift.NewVersion(1, 80))
			return h.RecordResponse(start, value(70, 75))
		}, ConditionStale},
		{"higher epoch allows lower revisions", func(h *Health) Advice {
			h.RecordVersion(basillift.NewVersion(2, 10))
			return h.RecordResponse(start, value(10, 11))
		}, ConditionOK},
		{"outage", func(h *Health) Advice { return h.RecordError(start, basillift.ErrUnavailable) }, ConditionUnreachable},
		{"budget", func(h *Health) Advice { return h.RecordError(start, ErrBudget) }, ConditionBudgetExhausted},
		{"no list", func(h *Health) Advice { return h.RecordError(start, basillift.ErrNotFound) }, ConditionListMissing},
		{"lists change all the time", func(h *Health) Advice { return h.RecordError(start, bllist.ErrInconsistent) }, ConditionOK},
		{"invalid lists", func(h *Health) Advice { return h.RecordError(start, basillift.ErrRefused) }, ConditionOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealth(start, rand.New(rand.NewSource(1)))
			h.RecordVersion(basillift.NewVersion(1, 50))
			h.RecordResponse(start, value(50, 60))
			is.Equal(c.last(h).Condition(), c.want)
			is.Equal(h.Condition(), c.want)
		})
	}
}

// Guards against durations that restart with each failed read of the same outage.
func TestOutage(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	h := NewHealth(start, rand.New(rand.NewSource(1)))
	for i := range 60 {
		h.RecordError(start.Add(time.Duration(i+1)*time.Second), basillift.ErrUnavailable)
	}
	is.Equal(h.ConditionAge(start.Add(time.Minute)), 59*time.Second)
	is.Equal(h.ResponseAge(start.Add(time.Minute)), time.Minute)
	h.RecordResponse(start.Add(time.Minute), basillift.NewValue("plans", nil, 1, 1))
	is.Equal(h.ResponseAge(start.Add(time.Minute)), time.Duration(0))
}

// Guards against readers that retry without delay after errors or stale responses, that
// wait so long that they read a change late after an outage, or that all retry at the
// same time.
func TestWaits(t *testing.T) {
	start := time.Unix(1000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHealth(start, rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))))
		h.RecordResponse(start, basillift.NewValue("plans", nil, 50, 60))
		for range rapid.IntRange(1, 40).Draw(rt, "failures") {
			a, minWait, maxWait := h.RecordError(start, basillift.ErrUnavailable), minBackoff, maxBackoff
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				a, minWait, maxWait = h.RecordError(start, ErrBudget), minBudgetBackoff, maxBudgetBackoff
			case 1:
				a = h.RecordResponse(start, basillift.NewValue("plans", nil, 40, 45))
			}
			if a.Wait() < minWait/2 || a.Wait() > maxWait {
				rt.Fatalf("wait %s for %s", a.Wait(), a.Condition())
			}
		}
		if a := h.RecordResponse(start, basillift.NewValue("plans", nil, 50, 60)); a.Wait() != 0 {
			rt.Fatalf("wait %s after an up-to-date response", a.Wait())
		}
	})
	t.Run("jitter", func(t *testing.T) {
		waits := make(map[time.Duration]bool)
		for seed := range int64(20) {
			h := NewHealth(start, rand.New(rand.NewSource(seed)))
			waits[h.RecordError(start, basillift.ErrUnavailable).Wait()] = true
		}
		is.New(t).Equal(len(waits), 20)
	})
}
