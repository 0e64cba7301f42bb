package bllist

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basillift.dev/basillift"
)

// lists returns lists with the given number of customers and plans.
func lists(customers, plans int) Lists {
	services := []string{"catalogue", "reservations", "gallery"}
	var p []basillift.Plan
	for i := range plans {
		p = append(p, basillift.NewPlan(fmt.Sprintf("plan-%d", i), services[:1+i%3], i, 0, ""))
	}
	var c []Customer
	for i := range customers {
		c = append(c, NewCustomer(fmt.Sprintf("customer-%d", i), fmt.Sprintf("plan-%d", i%plans)))
	}
	return NewLists(3, services, p, c)
}

// published returns the entries as the platform holds them after writing them in order.
func published(entries []Entry) []basillift.Value {
	var values []basillift.Value
	for i, e := range entries {
		values = append(values, basillift.NewValue(e.Key(), e.Data(), uint64(i+1), uint64(len(entries))))
	}
	return values
}

// Guards against losing, doubling or mixing up entries of a list that is split.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := lists(rapid.IntRange(1, 200).Draw(rt, "customers"), rapid.IntRange(1, 40).Draw(rt, "plans"))
		limit := rapid.IntRange(1400, 6000).Draw(rt, "limit")
		entries, err := Split(want, limit)
		if err != nil {
			rt.Fatal(err)
		}
		for _, e := range entries {
			if len(e.Data()) > limit {
				rt.Fatalf("%s has %d bytes, limit %d", e.Key(), len(e.Data()), limit)
			}
		}
		cut, err := Assemble(published(entries)...)
		if err != nil {
			rt.Fatal(err)
		}
		is.New(t).Equal(cut.Lists(), want)
	})
}

// Guards against a split that cannot be assembled again.
func TestSplitRefusals(t *testing.T) {
	t.Run("entry above the limit", func(t *testing.T) {
		_, err := Split(lists(1, 1), 100)
		is.New(t).True(err != nil)
	})
	t.Run("too many parts", func(t *testing.T) {
		_, err := Split(lists(2000, 1), 200)
		is.New(t).True(err != nil)
	})
}

// Guards against adopting a list out of parts of two writes, the part that a
// reader may find while an operator's tool is still writing.
func TestCrossedParts(t *testing.T) {
	is := is.New(t)
	before, err := Split(lists(50, 1), 1000)
	is.NoErr(err)
	after, err := Split(lists(60, 1), 1000)
	is.NoErr(err)
	is.True(len(before) > 3)
	for i, e := range after[:len(before)] {
		if e.Key() == basillift.KeyCustomers || string(e.Data()) == string(before[i].Data()) {
			continue
		}
		t.Run(e.Key(), func(t *testing.T) {
			mixed := append([]Entry{}, before...)
			mixed[i] = e
			_, err := Assemble(published(mixed)...)
			is := is.New(t)
			is.True(errors.Is(err, basillift.ErrRefused))
			is.Equal(problemsOf(t, err)[0].Kind(), KindPart)
		})
	}
	t.Run("part of another epoch", func(t *testing.T) {
		part := []byte(`{"epoch":2,"customers":[{"name":"a","plan":"basic"}]}`)
		index := []byte(`{"epoch":1,"parts":["` + Hash(part) + `"]}`)
		_, err := Assemble(
			basillift.NewValue("customers", index, 1, 9),
			basillift.NewValue("customers.1", part, 1, 9),
			basillift.NewValue("plans", []byte(goodPlans), 1, 9),
		)
		is.New(t).Equal(problemsOf(t, err)[0].Field(), "epoch")
	})
}

// Guards against a cut that the store never held, and so against two cuts that
// share a version number but not their content: writes and reads of both keys
// cross in every order, and some reads come from a replica that lags.
func TestCrossedWrites(t *testing.T) {
	keys := []string{basillift.KeyCustomers, basillift.KeyPlans}
	rapid.Check(t, func(rt *rapid.T) {
		states := [][2]uint64{{0, 0}, {1, 0}, {1, 2}} // mods of both keys at each revision
		for range rapid.IntRange(2, 30).Draw(rt, "cuts") {
			var values []basillift.Value
			for i, k := range keys {
				for range rapid.IntRange(0, 2).Draw(rt, "writes") {
					next := states[len(states)-1]
					if key := rapid.IntRange(0, 2).Draw(rt, "key"); key < 2 {
						next[key] = uint64(len(states))
					}
					states = append(states, next)
				}
				lag := rapid.IntRange(0, min(3, len(states)-3)).Draw(rt, "lag")
				store := len(states) - 1 - lag
				values = append(values, basillift.NewValue(k, nil, states[store][i], uint64(store)))
			}
			if !Consistent(values...) {
				continue
			}
			content := [2]uint64{values[0].ModRevision(), values[1].ModRevision()}
			if want := states[newestRevision(values)]; content != want {
				rt.Fatalf("cut %v was never held; revision %d held %v", content, newestRevision(values), want)
			}
		}
	})
}
