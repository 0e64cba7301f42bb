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

// Guards against a wrong statement about the platform, which operators would be told.
func TestConditions(t *testing.T) {
	start := time.Unix(1000, 0)
	value := func(mod, store uint64) basillift.Value { return basillift.NewValue("plans", nil, mod, store) }
	cases := []struct {
		name string
		last func(h *Health) Advice
		want Condition
	}{
		{"same again", func(h *Health) Advice { return h.Answered(start, value(50, 60)) }, ConditionOK},
		{"newer", func(h *Health) Advice { return h.Answered(start, value(70, 70)) }, ConditionOK},
		{"lower store", func(h *Health) Advice { return h.Answered(start, value(50, 59)) }, ConditionStale},
		{"lower mod at a lower store", func(h *Health) Advice { return h.Answered(start, value(40, 45)) }, ConditionStale},
		{"lower mod at a higher store", func(h *Health) Advice { return h.Answered(start, value(40, 61)) }, ConditionBack},
		{"below the version of a peer", func(h *Health) Advice {
			h.Adopted(basillift.NewVersion(1, 80))
			return h.Answered(start, value(70, 75))
		}, ConditionStale},
		{"numbering starts anew with an epoch", func(h *Health) Advice {
			h.Adopted(basillift.NewVersion(2, 10))
			return h.Answered(start, value(10, 11))
		}, ConditionOK},
		{"outage", func(h *Health) Advice { return h.Failed(start, basillift.ErrUnavailable) }, ConditionUnreachable},
		{"budget", func(h *Health) Advice { return h.Failed(start, ErrBudget) }, ConditionBudget},
		{"no list", func(h *Health) Advice { return h.Failed(start, basillift.ErrNotFound) }, ConditionMissing},
		{"lists change all the time", func(h *Health) Advice { return h.Failed(start, bllist.ErrInconsistent) }, ConditionOK},
		{"invalid lists", func(h *Health) Advice { return h.Failed(start, basillift.ErrRefused) }, ConditionOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealth(start, rand.New(rand.NewSource(1)))
			h.Adopted(basillift.NewVersion(1, 50))
			h.Answered(start, value(50, 60))
			is.Equal(c.last(h).Condition(), c.want)
			is.Equal(h.Condition(), c.want)
		})
	}
}

// Guards against durations that start over with each failed read of one outage.
func TestOutage(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	h := NewHealth(start, rand.New(rand.NewSource(1)))
	for i := range 60 {
		h.Failed(start.Add(time.Duration(i+1)*time.Second), basillift.ErrUnavailable)
	}
	is.Equal(h.Lasted(start.Add(time.Minute)), 59*time.Second)
	is.Equal(h.Silent(start.Add(time.Minute)), time.Minute)
	h.Answered(start.Add(time.Minute), basillift.NewValue("plans", nil, 1, 1))
	is.Equal(h.Silent(start.Add(time.Minute)), time.Duration(0))
}

// Guards against readers that spin on errors or stale answers, that wait so long
// that a change is late after an outage, and that all retry at the same time.
func TestWaits(t *testing.T) {
	start := time.Unix(1000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHealth(start, rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))))
		h.Answered(start, basillift.NewValue("plans", nil, 50, 60))
		for range rapid.IntRange(1, 40).Draw(rt, "failures") {
			a, least, most := h.Failed(start, basillift.ErrUnavailable), leastWait, mostWait
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				a, least, most = h.Failed(start, ErrBudget), leastBudgetWait, mostBudgetWait
			case 1:
				a = h.Answered(start, basillift.NewValue("plans", nil, 40, 45))
			}
			if a.Wait() < least/2 || a.Wait() > most {
				rt.Fatalf("wait %s for %s", a.Wait(), a.Condition())
			}
		}
		if a := h.Answered(start, basillift.NewValue("plans", nil, 50, 60)); a.Wait() != 0 {
			rt.Fatalf("wait %s after a good answer", a.Wait())
		}
	})
	t.Run("spread", func(t *testing.T) {
		waits := make(map[time.Duration]bool)
		for seed := range int64(20) {
			h := NewHealth(start, rand.New(rand.NewSource(seed)))
			waits[h.Failed(start, basillift.ErrUnavailable).Wait()] = true
		}
		is.New(t).Equal(len(waits), 20)
	})
}
