package commands

import (
	"io"
	"math/rand"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blexplain"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/blforwarder"
	"basillift.dev/basillift/bltable"
)

const shopTable = `{"version": 12,
  "services": [{"name": "catalogue"}, {"name": "gallery"}],
  "routes": [{"name": "browse", "host": "shop.example", "prefix": "/browse/", "kind": "idempotent", "attempts": 2,
    "to": [{"service": "catalogue", "weight": 1}], "timeout": "1200ms", "goal": "300ms"}],
  "limits": {}}`

// fakeTableDaemon is a daemon that has a table in force and explains requests as a daemon without connections.
type fakeTableDaemon struct {
	table     *bltable.Table
	forwarder *blforwarder.Forwarder
}

func (d fakeTableDaemon) Ready() bool            { return true }
func (d fakeTableDaemon) Table() *bltable.Table  { return d.table }
func (d fakeTableDaemon) WriteMetrics(io.Writer) {}
func (d fakeTableDaemon) ExplainRoute(now time.Time, q blexplain.Query) blexplain.Explanation {
	return d.forwarder.Explain(now, q)
}

func serveTable(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	r, err := bltable.Parse([]byte(shopTable))
	is.NoErr(err)
	tables, fleet := bltable.NewHolder(), blfleet.New()
	_, err = tables.Adopt(r)
	is.NoErr(err)
	e := basillift.NewEndpoint("i1", "catalogue", "t:1", "far", 8, basillift.TargetReady).WithDaemon("d:1")
	fleet.Apply(time.Now(), basillift.NewRegistryEntry("t1", 1).WithEndpoint(e))
	settings := blforwarder.NewSettings("x:1", "x:2", "x:3").WithTarget("t:0", "gallery", "near").WithHeaderNames(basillift.NewHeaderNames().WithRequest("Id", "Deadline", "Instance", "Caller"))
	forwarder := blforwarder.New(settings, tables, fleet, nil, rand.New(rand.NewSource(1)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := bladmin.NewTableServer(fakeTableDaemon{tables.Current(), forwarder})
	go func() { _ = server.Run(l) }()
	t.Cleanup(func() { _ = server.Stop() })
	return l.Addr().String()
}

// Guards against hiding the problems or changes of a routing table from the operator before it is published.
func TestTables(t *testing.T) {
	path := writeFiles(t, map[string]string{
		"a.json": shopTable,
		"b.json": strings.Replace(shopTable, "1200ms", "2s", 1),
		"c.json": strings.Replace(shopTable, `"catalogue", "weight"`, `"stock", "weight"`, 1),
		"d.json": "{",
	})
	admin := serveTable(t)
	cases := []struct {
		name      string
		code      int
		want      string
		arguments []string
	}{
		{"check", 0, "ok: table version 12, 1 routes, 2 services", []string{"check", "--table", path("a.json")}},
		{"check as JSON", 0, `"routes": 1`, []string{"check", "--json", "--table", path("a.json")}},
		{"check a bad one", CodeDiffers, `field service: found "stock"`, []string{"check", "--table", path("c.json")}},
		{"check no table", CodeUnreadable, "parse table", []string{"check", "--table", path("d.json")}},
		{"diff", CodeDiffers, "browse timeout: 1.2s -> 2s", []string{"diff", "--old-table", path("a.json"), "--table", path("b.json")}},
		{"diff of the same", 0, "version 12 -> 12", []string{"diff", "--old-table", path("a.json"), "--table", path("a.json")}},
		{"diff with a daemon", CodeDiffers, "browse timeout: 1.2s -> 2s", []string{"diff", "--admin", admin, "--table", path("b.json")}},
		{"diff with nothing", CodeUsage, "--old-table or --admin", []string{"diff", "--table", path("b.json")}},
		{"explain by file", 0, "route: browse", []string{"explain", "--table", path("a.json"), "--host", "shop.example", "--path", "/browse/1"}},
		{"explain by daemon", 0, "route: browse", []string{"explain", "--admin", admin, "--host", "shop.example", "--path", "/browse/1"}},
		{"explain the decision", 0, "1. decision: goes to i1 in far\n", []string{"explain", "--admin", admin, "--host", "shop.example", "--path", "/browse/1"}},
		{"explain with a size and a deadline", 0, "deadline: in 395ms, soft deadline in 300ms, objective 300ms; the caller waits 400ms", []string{"explain", "--admin", admin, "--host", "shop.example", "--path", "/browse/1", "--bytes", "20000", "--deadline", "400"}},
		{"explain a large body", 0, "bytes: 20700 expected", []string{"explain", "--admin", admin, "--host", "shop.example", "--path", "/browse/1", "--bytes", "20000", "--deadline", "400"}},
		{"explain as JSON", 0, `"action": "send"`, []string{"explain", "--json", "--admin", admin, "--host", "shop.example", "--path", "/browse/1"}},
		{"explain parts of the cost", 0, `"bytes": 0.007`, []string{"explain", "--json", "--admin", admin, "--host", "shop.example", "--path", "/browse/1"}},
		{"explain a refusal", 0, "decision: refused with 503, reason deadline", []string{"explain", "--admin", admin, "--host", "shop.example", "--path", "/browse/1", "--deadline", "2"}},
		{"explain a wrong size", CodeUsage, "--bytes", []string{"explain", "--admin", admin, "--host", "shop.example", "--path", "/browse/1", "--bytes", "-1"}},
		{"explain a file as JSON", 0, `"route: browse`, []string{"explain", "--json", "--table", path("a.json"), "--host", "shop.example", "--path", "/browse/1"}},
		{"explain without a path", CodeUsage, "--host and --path", []string{"explain", "--admin", admin, "--host", "shop.example"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRun(t, c.code, c.want, c.arguments...) })
	}
}
