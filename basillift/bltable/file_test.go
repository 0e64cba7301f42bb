package bltable

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

const tableFile = `{
  // the shop
  "version": 12,
  "services": [{"name": "catalogue", "health": "/healthz", "connections": 130}, {"name": "gallery"}],
  "routes": [
    {"name": "browse", "host": "shop.example", "prefix": "/browse/", "kind": "idempotent", "to": [{"service": "catalogue", "weight": 1}],
     "timeout": "1200ms", "goal": "300ms", "priority": 2, "attempts": 2},
    {"name": "photo", "host": "shop.example", "prefix": "/photo/", "kind": "upload", "attempts": 1,
     "to": [{"service": "gallery", "weight": 9}, {"service": "catalogue", "weight": 1}]},
  ],
  "limits": {"header": 16384, "body": 1000000, "headerTimeout": "3s", "idleTimeout": "15s"},
}`

func parsed(t *testing.T, text string) basillift.RoutingSpec {
	t.Helper()
	r, err := Parse([]byte(text))
	is.New(t).NoErr(err)
	return r
}

func TestFile(t *testing.T) {
	t.Run("formatted table parses to the same table", func(t *testing.T) {
		is := is.New(t)
		r := parsed(t, tableFile)
		data, err := Format(r)
		is.NoErr(err)
		is.Equal(parsed(t, string(data)), r)
		is.Equal(r.Routes()[0].LatencyObjective(), 300*time.Millisecond)
		is.Equal(r.Limits().IdleTimeout(), 15*time.Second)
	})
	refused := []struct{ name, old, with, want string }{
		{"syntax", `"version": 12,`, `"version": ,`, "parse table"},
		{"unknown field", `"version": 12,`, `"version": 12, "route": [],`, "unknown field"},
		{"wrong type", `"version": 12,`, `"version": "12",`, "decode table"},
		{"time without unit", `"1200ms"`, `"1200"`, "field timeout"},
		{"negative time", `"300ms"`, `"-1s"`, "field goal"},
	}
	for _, c := range refused {
		t.Run("refused: "+c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(tableFile, c.old, c.with, 1)))
			is.True(errors.Is(err, basillift.ErrRefused))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a change that the diff does not show to the operator before the table is published.
func TestDiff(t *testing.T) {
	before := parsed(t, tableFile)
	change := func(old, with string) []Difference {
		return Diff(before, parsed(t, strings.Replace(tableFile, old, with, 1)))
	}
	cases := []struct{ name, old, with, want string }{
		{"weights", `"weight": 9}`, `"weight": 5}`, "to: gallery (9), catalogue (1) -> gallery (5), catalogue (1)"},
		{"timeout", `"1200ms"`, `"2s"`, "timeout: 1.2s -> 2s"},
		{"kind", `"upload"`, `"idempotent"`, "kind: upload -> idempotent"},
		{"prefix", `"/photo/"`, `"/photos/"`, "prefix: /photo/ -> /photos/"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := change(c.old, c.with)
			is.Equal(len(all), 1)
			is.Equal(all[0].Lines(), []string{c.want})
		})
	}
	t.Run("renamed", func(t *testing.T) {
		is := is.New(t)
		all := change(`"name": "photo"`, `"name": "image"`)
		is.Equal(len(all), 2)
		is.True(strings.HasPrefix(all[0].Lines()[0], "added"))
		is.True(strings.HasPrefix(all[1].Lines()[0], "removed"))
	})
	t.Run("the same", func(t *testing.T) { is.New(t).Equal(len(Diff(before, before)), 0) })
}

func TestExplain(t *testing.T) {
	table, err := Build(parsed(t, tableFile))
	is.New(t).NoErr(err)
	cases := []struct{ name, host, path, want string }{
		{"a route", "shop.example", "/photo/1?x", "service: gallery (9), catalogue (1)"},
		{"retries", "shop.example", "/photo/1", "retries: only if"},
		{"no host", "other", "/photo/1", "no route has host"},
		{"no prefix", "shop.example", "/photo", "no prefix"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).True(strings.Contains(strings.Join(table.Explain(c.host, c.path), "\n"), c.want))
		})
	}
}
