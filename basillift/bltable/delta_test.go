package bltable

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func deltaTable(t *testing.T, version uint64, routes ...basillift.Route) *Table {
	t.Helper()
	services := []basillift.ServiceLimits{basillift.NewServiceLimits("a", "/h", 10), basillift.NewServiceLimits("b", "/h", 10)}
	built, err := Build(basillift.NewRoutingSpec(version, routes, services, basillift.NewClientLimits(1, 2, time.Second, time.Minute)))
	is.New(t).NoErr(err)
	return built
}

func deltaRoute(name, service string) basillift.Route {
	return basillift.NewRoute(name, "h.example", "/"+name+"/", basillift.KindIdempotent, basillift.NewWeightedService(service, 1)).
		WithTimes(time.Second, 100*time.Millisecond).WithPriority(1).WithAttempts(2)
}

// assertDelta encodes the difference between two tables, applies it and checks that the result is the second table.
func assertDelta(t *testing.T, before, after *Table) []byte {
	t.Helper()
	is := is.New(t)
	data, err := FormatDelta(before, after.RoutingSpec())
	is.NoErr(err)
	result, err := ParseDelta(before, data)
	is.NoErr(err)
	is.Equal(result.Version(), after.Version())
	is.Equal(result.Services(), after.RoutingSpec().Services())
	is.Equal(result.Limits(), after.Limits())
	is.Equal(len(result.Routes()), len(after.RoutingSpec().Routes()))
	is.Equal(len(Diff(result, after.RoutingSpec())), 0)
	return data
}

// Guards against a daemon that follows another one by deltas and ends up with a different table.
func TestDelta(t *testing.T) {
	old := deltaTable(t, 3, deltaRoute("x", "a"), deltaRoute("y", "a"), deltaRoute("z", "b"))
	t.Run("changed, added and removed routes", func(t *testing.T) {
		data := assertDelta(t, old, deltaTable(t, 5, deltaRoute("z", "b"), deltaRoute("x", "b"), deltaRoute("w", "a")))
		whole, err := Format(old.RoutingSpec())
		is.New(t).NoErr(err)
		is.New(t).True(len(data) < len(whole))
	})
	t.Run("only the version changes", func(t *testing.T) {
		assertDelta(t, old, deltaTable(t, 4, deltaRoute("x", "a"), deltaRoute("y", "a"), deltaRoute("z", "b")))
	})
	t.Run("whole table", func(t *testing.T) { assertDelta(t, nil, old) })
	t.Run("routes that share a name", func(t *testing.T) {
		first := deltaRoute("x", "b")
		second := basillift.NewRoute("x", "h.example", "/other/", basillift.KindIdempotent, first.Services()...)
		data, err := FormatDelta(old, deltaTable(t, 6, first, second).RoutingSpec())
		is := is.New(t)
		is.NoErr(err)
		result, err := ParseDelta(old, data)
		is.NoErr(err)
		is.Equal(len(result.Routes()), 2)
	})
}

// Guards against a delta that is applied to a table of another version than the one it was made for.
func TestDeltaThatDoesNotFit(t *testing.T) {
	is := is.New(t)
	data, err := FormatDelta(deltaTable(t, 3, deltaRoute("x", "a")), deltaTable(t, 4, deltaRoute("x", "b")).RoutingSpec())
	is.NoErr(err)
	for _, before := range []*Table{nil, deltaTable(t, 2, deltaRoute("x", "a"))} {
		_, err = ParseDelta(before, data)
		is.True(errors.Is(err, basillift.ErrRefused))
	}
	_, err = ParseDelta(nil, []byte("{"))
	is.True(errors.Is(err, basillift.ErrRefused))
}
