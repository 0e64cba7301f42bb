package bllist

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basillift.dev/basillift"
)

// makeLists returns valid lists with three services and the given numbers of
// customers and plans.
func makeLists(customers, plans int) Lists {
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

// publishedValues returns the values that the platform holds after the entries were
// written in order.
func publishedValues(entries []Entry) []basillift.Value {
	var values []basillift.Value
	for i, e := range entries {
		values = append(values, basillift.NewValue(e.Key(), e.Data(), uint64(i+1), uint64(len(entries))))
	}
	return values
}

// Guards against a split that loses, duplicates or mixes up entries, and against
// values above the size limit.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := makeLists(rapid.IntRange(1, 200).Draw(rt, "customers"), rapid.IntRange(1, 40).Draw(rt, "plans"))
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
		read, err := Assemble(publishedValues(entries)...)
		if err != nil {
			rt.Fatal(err)
		}
		is.New(t).Equal(read.Lists(), want)
	})
}

// Guards against a split whose result Assemble would refuse, because a value is too
// large or there are too many parts.
func TestSplitRefusals(t *testing.T) {
	t.Run("entry above the limit", func(t *testing.T) {
		_, err := Split(makeLists(1, 1), 100)
		is.New(t).True(err != nil)
	})
	t.Run("too many parts", func(t *testing.T) {
		_, err := Split(makeLists(2000, 1), 200)
		is.New(t).True(err != nil)
	})
}

// Guards against accepting a list with parts from two different writes. A reader can
// find such parts while an operator's tool is writing the list.
func TestMixedParts(t *testing.T) {
	is := is.New(t)
	before, err := Split(makeLists(50, 1), 1000)
	is.NoErr(err)
	after, err := Split(makeLists(60, 1), 1000)
	is.NoErr(err)
	is.True(len(before) > 3)
	for i, e := range after[:len(before)] {
		if e.Key() == basillift.KeyCustomers || string(e.Data()) == string(before[i].Data()) {
			continue
		}
		t.Run(e.Key(), func(t *testing.T) {
			mixed := append([]Entry{}, before...)
			mixed[i] = e
			_, err := Assemble(publishedValues(mixed)...)
			is := is.New(t)
			is.True(errors.Is(err, basillift.ErrRefused))
			is.Equal(problemsOf(t, err)[0].Kind(), KindPart)
		})
	}
	t.Run("part of another epoch", func(t *testing.T) {
		part := []byte(`{"epoch":2,"customers":[{"name":"a","plan":"basic"}]}`)
		index := []byte(`{"epoch":1,"parts":["` + PartHash(part) + `"]}`)
		_, err := Assemble(
			basillift.NewValue("customers", index, 1, 9),
			basillift.NewValue("customers.1", part, 1, 9),
			basillift.NewValue("plans", []byte(goodPlans), 1, 9),
		)
		is.New(t).Equal(problemsOf(t, err)[0].Field(), "epoch")
	})
}

// Guards against treating a pair of values as consistent that the store never held at
// one revision. Two reads could then have the same version number and different
// content. Writes and reads of both keys are interleaved at random, and some reads
// come from a lagging replica.
func TestInterleavedWrites(t *testing.T) {
	keys := []string{basillift.KeyCustomers, basillift.KeyPlans}
	rapid.Check(t, func(rt *rapid.T) {
		states := [][2]uint64{{0, 0}, {1, 0}, {1, 2}} // modification revisions of both keys at each store revision
		for range rapid.IntRange(2, 30).Draw(rt, "reads") {
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
				rt.Fatalf("the store never held %v; at revision %d it held %v", content, newestRevision(values), want)
			}
		}
	})
}
