package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/blfeed"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blsettings"
	"basillift.dev/basillift/blwatch"
	"basillift.dev/platform"
)

// tableSettings are the settings of a daemon that routes by table, without the last brace.
const tableSettings = `{"name":"vm1","domain":"a","service":"catalogue","routing":"table","caller":"127.0.0.1:1","mesh":"127.0.0.1:2","admin":"127.0.0.1:3","control":"127.0.0.1:7","ready":"127.0.0.1:4","target":"127.0.0.1:5","platform":"http://127.0.0.1:6"`

// logBuffer holds the log of a daemon. It is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lines.Write(line)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lines.String()
}

// Reset removes all lines.
func (b *logBuffer) Reset() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lines.Reset()
}

// newQuietDaemon returns a daemon that routes by table and has not been started, and its log.
func newQuietDaemon(t *testing.T) (*tableDaemon, *logBuffer) {
	t.Helper()
	out := &logBuffer{}
	return newLoggingDaemon(t, out), out
}

// newLoggingDaemon returns a daemon that routes by table and has not been started. It logs to out.
func newLoggingDaemon(t *testing.T, out io.Writer) *tableDaemon {
	t.Helper()
	settings, err := blsettings.Parse([]byte(tableSettings + "}"))
	is.New(t).NoErr(err)
	log, err := bllog.New(out, "info", "vm1")
	is.New(t).NoErr(err)
	d, err := buildTableDaemon("", settings, blbudget.NewLimits(defaultMemoryMB, defaultDescriptors), log)
	is.New(t).NoErr(err)
	return d
}

// testTable returns a routing table with one route.
func testTable() basillift.RegistryEntry { return testTableAt(1) }

// neighborEntry returns the entry of the target of another VM, in failure domain b.
func neighborEntry() basillift.RegistryEntry {
	return basillift.NewRegistryEntry("servers/i2", 3).WithEndpoint(
		basillift.NewEndpoint("i2", "catalogue", "127.0.0.2:5", "b", 4, basillift.TargetReady).WithDaemon("127.0.0.2:2"))
}

// testTableAt returns a routing table whose version is the number of its revision.
func testTableAt(revision basillift.Revision) basillift.RegistryEntry {
	return basillift.NewRegistryEntry(platform.KeyRouting, revision).WithRoutingSpec(basillift.NewRoutingSpec(revision.Number(),
		[]basillift.Route{basillift.NewRoute("r", "h.example", "/", basillift.KindIdempotent, basillift.NewWeightedService("catalogue", 1))},
		[]basillift.ServiceLimits{basillift.NewServiceLimits("catalogue", "/h", 10)}, basillift.ClientLimits{}))
}

// Guards against an evacuation that is lost between the registry and the fleet, the feed cache or the log.
func TestEvacuationPassesThroughDaemon(t *testing.T) {
	const key = platform.KeyEvacuations + "a"
	now := time.Now()
	begin := func(revision basillift.Revision) basillift.RegistryEntry {
		return basillift.NewRegistryEntry(key, revision).WithEvacuation("a")
	}
	table := testTable()
	target := basillift.NewRegistryEntry("servers/i1", 2).WithEndpoint(
		basillift.NewEndpoint("i1", "catalogue", "127.0.0.1:5", "a", 4, basillift.TargetReady).WithDaemon("127.0.0.1:2"))
	assertState := func(t *testing.T, d *tableDaemon, out *logBuffer, evacuated bool, events ...string) {
		t.Helper()
		is := is.New(t)
		_, known := d.fleet.Evacuated("a")
		is.Equal(known, evacuated)
		body := string(d.cache.ServeFeed(context.Background(), basillift.NewFeedRequest(0, 0)).Body())
		is.Equal(strings.Contains(body, `"evacuation":"a"`), evacuated)
		for _, event := range events {
			is.True(strings.Contains(out.String(), `"event":`+event))
		}
		is.True(!strings.Contains(out.String(), `"event":201`))
		out.Reset()
	}
	t.Run("listing, change and listing", func(t *testing.T) {
		d, out := newQuietDaemon(t)
		d.Replace(now, 10, []basillift.RegistryEntry{begin(9), table, target})
		assertState(t, d, out, true, `209,"message":"failure domain is evacuated","domain":"a","targets":1`)
		d.Apply(now, basillift.NewRegistryEntry(key, 11).WithEvacuationEnd("a"))
		assertState(t, d, out, false, `210,"message":"evacuation of a failure domain ended","domain":"a","targets":1`)
		d.Apply(now.Add(time.Millisecond), begin(12))
		assertState(t, d, out, true, "209")
		d.Replace(now, 13, []basillift.RegistryEntry{table, target})
		assertState(t, d, out, false, "210")
	})
	t.Run("unreadable value", func(t *testing.T) {
		d, out := newQuietDaemon(t)
		d.Replace(now, 10, []basillift.RegistryEntry{table, target})
		d.Apply(now, begin(11).WithInvalid(basillift.ErrRefused))
		assertState(t, d, out, true, "209", "211")
	})
	t.Run("the registry was restored from a copy without the key", func(t *testing.T) {
		d, out := newQuietDaemon(t)
		d.Replace(now, 10, []basillift.RegistryEntry{begin(9), table, target})
		restored, err := basillift.NewRevision(1, 5)
		is.New(t).NoErr(err)
		d.Replace(now, restored, []basillift.RegistryEntry{table, target})
		assertState(t, d, out, true, "208")
	})
}

// cacheClient is the way to one other reader, which holds a cache.
type cacheClient struct{ cache *blfeed.Cache }

func (c cacheClient) RequestFeed(ctx context.Context, _ string, r basillift.FeedRequest) (basillift.FeedResponse, error) {
	return c.cache.ServeFeed(ctx, r), nil
}

// awaitCondition waits until a condition holds.
func awaitCondition(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

func awaitEvacuated(t *testing.T, d *tableDaemon, want bool) {
	t.Helper()
	awaitCondition(t, fmt.Sprintf("evacuated is %t", want), func() bool {
		_, evacuated := d.fleet.Evacuated("b")
		return evacuated == want
	})
}

// Guards against a reader that sends to evacuated targets, since the registry answers other daemons but not this one.
func TestReaderWithoutRegistryLearnsOfEvacuation(t *testing.T) {
	now := time.Now()
	assertLearns := func(t *testing.T, lose func(d *tableDaemon)) *tableDaemon {
		t.Helper()
		is := is.New(t)
		d, _ := newQuietDaemon(t)
		other, _ := newQuietDaemon(t)
		for _, each := range []*tableDaemon{d, other} {
			each.Replace(now, 10, []basillift.RegistryEntry{testTable(), neighborEntry()})
		}
		d.fallback = newFeedFallback(d, cacheClient{other.cache}, 1)
		lose(d)
		other.Apply(now, basillift.NewRegistryEntry(platform.KeyEvacuations+"b", 11).WithEvacuation("b"))
		awaitEvacuated(t, d, true)
		is.Equal(len(d.fleet.Targets("catalogue")), 0)
		other.Apply(now, basillift.NewRegistryEntry(platform.KeyEvacuations+"b", 12).WithEvacuationEnd("b"))
		awaitEvacuated(t, d, false)
		is.Equal(len(d.fleet.Targets("catalogue")), 1)
		return d
	}
	t.Run("registry down", func(t *testing.T) {
		d := assertLearns(t, func(d *tableDaemon) { d.RegistryDown(now, basillift.ErrUnavailable) })
		is.New(t).Equal(d.cache.ServeFeed(context.Background(), basillift.NewFeedRequest(0, 0)).State(), basillift.FeedStale)
		d.RegistryRecovered(now, blwatch.NewOutage(time.Second, 2, true))
		is.New(t).True(d.fallback.cancel == nil)
		d.fallback.stop()
	})
	t.Run("registry silent", func(t *testing.T) {
		d := assertLearns(t, func(d *tableDaemon) { d.WaitFailed(now, time.Second, basillift.ErrUnavailable) })
		d.fallback.stop()
	})
}

// Guards against an evacuation that gets lost in a listing of several pages, or outlives its key where the changes are lost.
func TestEvacuationInPages(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d, _ := newQuietDaemon(t)
	s := blwatch.NewWatchState(now, rand.New(rand.NewSource(1)))
	key := basillift.NewRegistryEntry(platform.KeyEvacuations+"b", 22).WithEvacuation("b")
	list := func(revision basillift.Revision, pages ...[]basillift.RegistryEntry) {
		for i, entries := range pages {
			next := strings.Repeat("x", len(pages)-1-i)
			all, complete, _ := s.Listed(now, basillift.NewRegistryPage(entries, revision+basillift.Revision(i), next))
			is.Equal(complete, next == "")
			if complete {
				d.Replace(now, revision, all)
			}
		}
	}
	// The key was written after the first page was read, so it comes again as a change.
	list(20, []basillift.RegistryEntry{testTable()}, []basillift.RegistryEntry{key}, nil)
	awaitEvacuated(t, d, true)
	changes, _ := s.Changed(now, basillift.NewRegistryPage([]basillift.RegistryEntry{key}, 23, ""))
	d.Apply(now, changes[0])
	awaitEvacuated(t, d, true)
	s.Failed(now, basillift.ErrCompacted)
	is.Equal(s.Next(now).Kind(), blwatch.OperationList)
	list(30, []basillift.RegistryEntry{testTable()}, []basillift.RegistryEntry{key})
	awaitEvacuated(t, d, true)
	s.Failed(now, basillift.ErrCompacted)
	list(40, []basillift.RegistryEntry{testTable()}, nil)
	awaitEvacuated(t, d, false)
}
