package blnode

import (
	"context"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/klauspost/compress/zstd"

	"basillift.dev/basillift"
)

// convergence measures, in microseconds, how long an event takes to occur on each daemon and
// on the last one.
type convergence struct {
	mutex      sync.Mutex
	matches    func(e basillift.Event) bool
	since      time.Time
	count      int
	done       chan struct{}
	eachDaemon *hdrhistogram.Histogram
	lastDaemon *hdrhistogram.Histogram
	daemons    int
}

func newConvergence(daemons int) *convergence {
	return &convergence{
		daemons: daemons, done: make(chan struct{}, 1),
		eachDaemon: hdrhistogram.New(1, 60_000_000, 3), lastDaemon: hdrhistogram.New(1, 60_000_000, 3),
	}
}

func (c *convergence) notify(e basillift.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.matches == nil || !c.matches(e) {
		return
	}
	took := time.Since(c.since).Microseconds()
	_ = c.eachDaemon.RecordValue(took)
	c.count++
	if c.count == c.daemons {
		_ = c.lastDaemon.RecordValue(took)
		c.done <- struct{}{}
	}
}

// wait calls begin and waits until all daemons have recorded an event that matches. It fails
// after one minute.
func (c *convergence) wait(t *testing.T, begin func() func(e basillift.Event) bool) {
	t.Helper()
	c.mutex.Lock()
	c.count, c.since = 0, time.Now()
	c.matches = begin()
	c.mutex.Unlock()
	select {
	case <-c.done:
	case <-time.After(time.Minute):
		t.Fatal("not all daemons recorded the event")
	}
}

func (c *convergence) change(t *testing.T, publish func() basillift.Version) {
	t.Helper()
	c.wait(t, func() func(e basillift.Event) bool {
		v := publish()
		return func(e basillift.Event) bool {
			return e.Kind() == basillift.EventVersionApplied && !v.NewerThan(e.Version())
		}
	})
}

func (c *convergence) String() string {
	return fmt.Sprintf("each daemon p50 %.1f p99 %.1f worst %.1f; last daemon p50 %.1f p99 %.1f worst %.1f",
		ms(c.eachDaemon.ValueAtQuantile(50)), ms(c.eachDaemon.ValueAtQuantile(99)), ms(c.eachDaemon.Max()),
		ms(c.lastDaemon.ValueAtQuantile(50)), ms(c.lastDaemon.ValueAtQuantile(99)), ms(c.lastDaemon.Max()))
}

type byteCounts map[basillift.Purpose]uint64

func (m *mesh) sent() byteCounts {
	total := byteCounts{}
	for _, d := range m.daemons {
		for _, p := range purposes() {
			total[p] += d.node.Counters().Sent(p)
		}
	}
	return total
}

func perDaemon(before, after byteCounts, divisor float64) string {
	var parts []string
	sum := 0.0
	for _, p := range purposes() {
		v := float64(after[p]-before[p]) / divisor
		sum += v
		parts = append(parts, fmt.Sprintf("%s %.1f", p, v))
	}
	return fmt.Sprintf("%.1f (%s)", sum, strings.Join(parts, ", "))
}

// TestMeasure prints convergence times and control bytes. It runs only if BASILLIFT_MEASURE
// lists numbers of daemons, such as "8,16,32,64,128".
func TestMeasure(t *testing.T) {
	sizes := os.Getenv("BASILLIFT_MEASURE")
	if sizes == "" {
		t.Skip("set BASILLIFT_MEASURE to numbers of daemons")
	}
	for size := range strings.SplitSeq(sizes, ",") {
		count, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(size, func(t *testing.T) { measure(t, count) })
	}
}

// TestMeasureTargets prints how long the reports of drains and deaths take to reach all
// daemons. It runs only if BASILLIFT_MEASURE_TARGETS is set to the number of daemons.
func TestMeasureTargets(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("BASILLIFT_MEASURE_TARGETS"))
	if err != nil {
		t.Skip("set BASILLIFT_MEASURE_TARGETS to a number of daemons")
	}
	m := newMesh(t, newFakePlatform())
	drains := newConvergence(count)
	var current atomic.Pointer[convergence]
	current.Store(drains)
	m.notify = func(e basillift.Event) { current.Load().notify(e) }
	m.addDomains("abcd", count/4)
	m.waitUntil("ready", func(_ string, n *Node) bool { return n.Ready() })
	time.Sleep(5 * time.Second)
	names := slices.Sorted(maps.Keys(m.daemons))[:10]
	for _, name := range names {
		drains.wait(t, func() func(e basillift.Event) bool {
			m.daemons[name].node.SetState(basillift.TargetDraining)
			return func(e basillift.Event) bool {
				return e.Kind() == basillift.EventTargetState && e.Target() == basillift.VMID(name) && e.State() == basillift.TargetDraining
			}
		})
	}
	t.Logf("drain in ms: %s", drains)
	for i, name := range names {
		deaths := newConvergence(count - i - 1)
		deaths.eachDaemon, deaths.lastDaemon = drains.eachDaemon, drains.lastDaemon
		if i == 0 {
			deaths.eachDaemon.Reset()
			deaths.lastDaemon.Reset()
		}
		current.Store(deaths)
		deaths.wait(t, func() func(e basillift.Event) bool {
			go m.daemons[name].cancel()
			return func(e basillift.Event) bool {
				return e.Kind() == basillift.EventMemberDied && e.Target() == basillift.VMID(name)
			}
		})
		m.remove(name)
	}
	t.Logf("death of a process in ms: %s", drains)
}

func measure(t *testing.T, count int) {
	const domains, customers, changes, idlePeriod = "abcd", 2000, 200, 10 * time.Second
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	goroutines := runtime.NumGoroutine()

	p := newFakePlatform()
	m := newMesh(t, p)
	c := newConvergence(count)
	m.notify = c.notify
	started := time.Now()
	m.addDomains(domains, count/len(domains))
	m.waitForVersion(p.writeCustomers(customers, 0))
	t.Logf("start: version in force on all %d daemons after %.1f s", count, time.Since(started).Seconds())

	time.Sleep(45 * time.Second) // connections of the start are closed after 30 s
	sent, used := m.sent(), cpuTime()
	time.Sleep(idlePeriod)
	t.Logf("idle: %.2f%% of a core per daemon", 100*(cpuTime()-used).Seconds()/idlePeriod.Seconds()/float64(count))
	t.Logf("idle: bytes/s sent per daemon %s", perDaemon(sent, m.sent(), idlePeriod.Seconds()*float64(count)))
	runtime.GC()
	runtime.ReadMemStats(&after)
	connections := 0
	for _, d := range m.daemons {
		connections += d.node.pool.Connections()
	}
	t.Logf("each daemon: %d goroutines, %.1f MB heap in use, %.1f MB allocated objects, %.1f connections",
		(runtime.NumGoroutine()-goroutines)/count, float64(after.HeapInuse-before.HeapInuse)/float64(count)/1e6,
		float64(after.HeapAlloc-before.HeapAlloc)/float64(count)/1e6, float64(connections)/float64(count))

	sent = m.sent()
	begin := time.Now()
	for i := range changes {
		c.change(t, func() basillift.Version { return p.writeCustomers(customers, i+1) })
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("change: bytes sent per daemon %s in %.1f s", perDaemon(sent, m.sent(), float64(changes*count)), time.Since(begin).Seconds())
	t.Logf("convergence in ms: %s", c)
	m.requireNoRollback()
	reportDelta(t, m)
}

// reportDelta prints the size of the last delta, and its size when compressed on its own.
func reportDelta(t *testing.T, m *mesh) {
	t.Helper()
	var data []byte
	for _, d := range m.daemons {
		sent, _ := ask(context.Background(), d.node, func(time.Time) []byte { return d.node.lastDelta.data })
		if len(sent) > 0 {
			data = sent
		}
	}
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = encoder.Close() }()
	t.Logf("delta: %d bytes, %d compressed alone", len(data), len(encoder.EncodeAll(data, nil)))
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }
