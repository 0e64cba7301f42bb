package blnode

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/klauspost/compress/zstd"

	"basillift.dev/basillift"
)

// arrivals notes when each daemon puts a version in force.
type arrivals struct {
	mutex   sync.Mutex
	version basillift.Version
	since   time.Time
	count   int
	done    chan struct{}
	each    *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
	daemons int
}

func newArrivals(daemons int) *arrivals {
	return &arrivals{
		daemons: daemons, done: make(chan struct{}, 1),
		each: hdrhistogram.New(1, 60_000_000, 3), last: hdrhistogram.New(1, 60_000_000, 3),
	}
}

func (a *arrivals) notify(e basillift.Event) {
	if e.Kind() != basillift.EventVersionApplied {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.version.IsZero() || a.version.NewerThan(e.Version()) {
		return
	}
	took := time.Since(a.since).Microseconds()
	_ = a.each.RecordValue(took)
	a.count++
	if a.count == a.daemons {
		_ = a.last.RecordValue(took)
		a.done <- struct{}{}
	}
}

// change publishes a version and waits until all daemons hold it.
func (a *arrivals) change(t *testing.T, publish func() basillift.Version) {
	t.Helper()
	a.mutex.Lock()
	a.count, a.since = 0, time.Now()
	a.version = publish()
	a.mutex.Unlock()
	select {
	case <-a.done:
	case <-time.After(time.Minute):
		t.Fatal("version did not reach all daemons")
	}
}

type byteCounts map[basillift.Purpose]uint64

func (m *mesh) sent() byteCounts {
	total := byteCounts{}
	for _, h := range m.hosts {
		for _, p := range purposes() {
			total[p] += h.node.Counters().Sent(p)
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

// TestMeasure prints convergence times and control bytes. It runs only when
// BASILLIFT_MEASURE names the numbers of daemons, such as "8,16,32,64,128".
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

func measure(t *testing.T, count int) {
	const domains, customers, changes, rest = "abcd", 2000, 200, 10 * time.Second
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	goroutines := runtime.NumGoroutine()

	p := newFakePlatform()
	m := newMesh(t, p)
	a := newArrivals(count)
	m.notify = a.notify
	started := time.Now()
	m.grow(domains, count/len(domains))
	m.untilVersion(p.writeCustomers(customers, 0))
	t.Logf("start: all %d daemons in force after %.1f s", count, time.Since(started).Seconds())

	time.Sleep(45 * time.Second) // connections of the start are closed after 30 s
	sent, used := m.sent(), cpu()
	time.Sleep(rest)
	t.Logf("rest: %.2f%% of a core per daemon", 100*(cpu()-used).Seconds()/rest.Seconds()/float64(count))
	t.Logf("rest: bytes/s sent per daemon %s", perDaemon(sent, m.sent(), rest.Seconds()*float64(count)))
	runtime.GC()
	runtime.ReadMemStats(&after)
	connections := 0
	for _, h := range m.hosts {
		connections += h.node.pool.Connections()
	}
	t.Logf("each daemon: %d goroutines, %.1f MB heap in use, %.1f MB allocated objects, %.1f connections",
		(runtime.NumGoroutine()-goroutines)/count, float64(after.HeapInuse-before.HeapInuse)/float64(count)/1e6,
		float64(after.HeapAlloc-before.HeapAlloc)/float64(count)/1e6, float64(connections)/float64(count))

	sent = m.sent()
	begin := time.Now()
	for i := range changes {
		a.change(t, func() basillift.Version { return p.writeCustomers(customers, i+1) })
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("change: bytes sent per daemon %s in %.1f s", perDaemon(sent, m.sent(), float64(changes*count)), time.Since(begin).Seconds())
	t.Logf("convergence in ms: each daemon p50 %.1f p99 %.1f worst %.1f; last daemon p50 %.1f p99 %.1f worst %.1f",
		ms(a.each.ValueAtQuantile(50)), ms(a.each.ValueAtQuantile(99)), ms(a.each.Max()),
		ms(a.last.ValueAtQuantile(50)), ms(a.last.ValueAtQuantile(99)), ms(a.last.Max()))
	m.neverBack()
	reportDelta(t, m)
}

// reportDelta prints what the last delta takes when it is compressed alone.
func reportDelta(t *testing.T, m *mesh) {
	t.Helper()
	n := m.hosts["a-0"].node
	data, _ := ask(context.Background(), n, func(time.Time) []byte { return n.encoded.data })
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = encoder.Close() }()
	t.Logf("delta: %d bytes, %d compressed alone", len(data), len(encoder.EncodeAll(data, nil)))
}

// cpu is the processor time that the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }
