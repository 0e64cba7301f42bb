package bltable

import (
	"errors"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func service(name string) basillift.ServiceLimits {
	return basillift.NewServiceLimits(name, "/healthz", 100)
}

func route(name, prefix string, services ...basillift.WeightedService) basillift.Route {
	if len(services) == 0 {
		services = []basillift.WeightedService{basillift.NewWeightedService("catalogue", 1)}
	}
	return basillift.NewRoute(name, "shop.example", prefix, basillift.KindIdempotent, services...).WithAttempts(2)
}

func routing(version uint64, routes ...basillift.Route) basillift.RoutingSpec {
	services := []basillift.ServiceLimits{service("catalogue"), service("gallery")}
	return basillift.NewRoutingSpec(version, routes, services, basillift.ClientLimits{})
}

func build(t *testing.T, routes ...basillift.Route) *Table {
	t.Helper()
	table, err := Build(routing(1, routes...))
	is.New(t).NoErr(err)
	return table
}

func assertMatch(t *testing.T, table *Table, host, path, want string) {
	t.Helper()
	r, found := table.Match(host, path)
	if want == "" {
		if found {
			t.Errorf("%s%s: matched %s, want none", host, path, r.Name())
		}
		return
	}
	if !found || r.Name() != want {
		t.Errorf("%s%s: matched %v, want %s", host, path, r, want)
	}
}

// Guards against a request that matches the wrong route of its host.
func TestMatch(t *testing.T) {
	table := build(t, route("root", "/a/"), route("deep", "/a/b/"), route("other", "/c/"))
	cases := []struct{ name, host, path, want string }{
		{"the longest prefix wins", "shop.example", "/a/b/x", "deep"},
		{"a prefix ends at a slash", "shop.example", "/a/bc", "root"},
		{"the prefix itself", "shop.example", "/a/b/", "deep"},
		{"a path without the trailing slash does not match the prefix", "shop.example", "/c", ""},
		{"the query is not part of the path", "shop.example", "/x?/a/", ""},
		{"an empty query", "shop.example", "/a/?", "root"},
		{"double slashes are kept", "shop.example", "/a//b/", "root"},
		{"percent-encoding is not decoded", "shop.example", "/a%2Fb/", ""},
		{"another host", "other.example", "/a/b/", ""},
		{"host with port and uppercase letters", "Shop.Example:8080", "/c/x", "other"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertMatch(t, table, c.host, c.path, c.want) })
	}
}

// Guards against an invalid table that is applied in part, or refused without a reason.
func TestBuildRefuses(t *testing.T) {
	cases := []struct {
		name  string
		route basillift.Route
		want  string
	}{
		{"prefix without slashes", route("r", "a"), "field prefix"},
		{"prefix without trailing slash", route("r", "/a"), "field prefix"},
		{"unknown service", route("r", "/a/", basillift.NewWeightedService("stock", 1)), "field service"},
		{"no weight", route("r", "/a/", basillift.NewWeightedService("catalogue", 0)), "field split"},
		{"weight below zero", route("r", "/a/", basillift.NewWeightedService("catalogue", -1), basillift.NewWeightedService("gallery", 5)), "field weight"},
		{"no attempts", route("r", "/a/").WithAttempts(0), "field attempts"},
		{"negative time", route("r", "/a/").WithTimes(-time.Second, 0), "field timeout"},
		{"unknown kind", basillift.NewRoute("r", "h", "/a/", "maybe", basillift.NewWeightedService("catalogue", 1)), "field kind"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHolder()
			_, err := h.Adopt(routing(1, route("fine", "/b/")))
			is.NoErr(err)
			_, err = h.Adopt(routing(2, c.route))
			is.True(errors.Is(err, basillift.ErrRefused))
			is.True(strings.Contains(err.Error(), c.want))
			is.Equal(h.Current().Version(), uint64(1))
		})
	}
}

// Guards against a daemon that goes back to an older table, for example from a store that lags behind.
func TestHolderNeverGoesBack(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	for _, step := range []struct {
		version uint64
		adopted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {8, false}} {
		adopted, err := h.Adopt(routing(step.version, route("r", "/a/")))
		is.NoErr(err)
		is.Equal(adopted, step.adopted)
	}
	is.Equal(h.Current().Version(), uint64(9))
}

// Guards against a split that misses its weights, also when each of many daemons gets few requests.
func TestSplitter(t *testing.T) {
	r := route("r", "/a/", basillift.NewWeightedService("catalogue", 90), basillift.NewWeightedService("gallery", 10), basillift.NewWeightedService("none", 0))
	count := func(daemons, requests int) map[string]int {
		counts := map[string]int{}
		for d := range daemons {
			splitter := NewSplitter(rand.New(rand.NewSource(int64(d))))
			for range requests {
				counts[splitter.Pick(&r)]++
			}
		}
		return counts
	}
	t.Run("one daemon, every hundred", func(t *testing.T) {
		is := is.New(t)
		is.Equal(count(1, 100), map[string]int{"catalogue": 90, "gallery": 10})
	})
	t.Run("many daemons, three requests each", func(t *testing.T) {
		is := is.New(t)
		c := count(400, 3)
		is.True(c["gallery"] > 80 && c["gallery"] < 160)
		is.Equal(c["none"], 0)
	})
}

// Guards against a split that uses the old weights after a change of the table.
func TestSplitterAfterWeightChange(t *testing.T) {
	is := is.New(t)
	s := NewSplitter(rand.New(rand.NewSource(1)))
	before := route("r", "/a/", basillift.NewWeightedService("catalogue", 1), basillift.NewWeightedService("gallery", 1))
	after := route("r", "/a/", basillift.NewWeightedService("catalogue", 0), basillift.NewWeightedService("gallery", 1))
	s.Pick(&before)
	for range 5 {
		is.Equal(s.Pick(&after), "gallery")
	}
	s.Retain(build(t, route("x", "/x/")))
	is.Equal(len(s.routes), 0)
}

// Guards against an explanation that shows another service than the next request gets, or that moves the split on.
func TestPreviewOfSplit(t *testing.T) {
	is := is.New(t)
	s := NewSplitter(rand.New(rand.NewSource(1)))
	r := route("r", "/a/", basillift.NewWeightedService("catalogue", 3), basillift.NewWeightedService("gallery", 2))
	_, known := s.Preview(&r)
	is.True(!known)
	is.Equal(len(s.routes), 0)
	s.Pick(&r)
	for range 20 {
		first, _ := s.Preview(&r)
		second, known := s.Preview(&r)
		is.True(known)
		is.Equal(first, second)
		is.Equal(s.Pick(&r), first)
	}
}
