package blproxy

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// loadClient sends GET requests on one connection at intended times.
type loadClient struct {
	conn      net.Conn
	reader    *bufio.Reader
	request   []byte
	response  fasthttp.Response
	histogram *hdrhistogram.Histogram
}

func newLoadClient(t testing.TB, address string) *loadClient {
	c, err := net.Dial("tcp", address)
	requireNoError(t, err)
	return &loadClient{
		conn: c, reader: bufio.NewReader(c), histogram: hdrhistogram.New(1, int64(10*time.Second), 3),
		request: []byte("GET /catalogue/hides" + requestHead + "\r\n"),
	}
}

// call measures from the intended start time, so that a late start counts as latency.
func (lc *loadClient) call(t testing.TB, intended time.Time) {
	_, err := lc.conn.Write(lc.request)
	requireNoError(t, err)
	requireNoError(t, lc.response.Read(lc.reader))
	if lc.response.StatusCode() != 200 {
		t.Errorf("status %d: %s", lc.response.StatusCode(), lc.response.Body())
	}
	requireNoError(t, lc.histogram.RecordValue(int64(time.Since(intended))))
}

// loop sends a call for each due time that it gets.
func (lc *loadClient) loop(t testing.TB, due <-chan time.Time) {
	defer func() { _ = lc.conn.Close() }()
	for d := range due {
		lc.call(t, d)
	}
}

// pace sends the start times of an open loop: call n is due at n × interval, independent of
// earlier calls. It spins, because the timers of Go are up to a millisecond late when all
// processors are idle, which would distort the measurement.
func pace(due chan<- time.Time, interval time.Duration, count int) {
	defer close(due)
	begin := time.Now()
	for n := range count {
		next := begin.Add(time.Duration(n) * interval)
		for time.Now().Before(next) {
			continue
		}
		due <- next
	}
}

func environment(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

func okTarget(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hides: 17") }

// TestAddedLatency prints the latency that two proxies add to a call, compared with the same call
// sent directly to the target, in pairs within one run. It runs only with BASILLIFT_MEASURE set,
// because its figures are meaningless on a busy machine.
func TestAddedLatency(t *testing.T) {
	if os.Getenv("BASILLIFT_MEASURE") == "" {
		t.Skip("set BASILLIFT_MEASURE=1 to measure")
	}
	clients, rate := environment("CLIENTS", 8), environment("RATE", 2000)
	rounds := environment("ROUNDS", 20)
	target := startTarget(t, okTarget)
	caller, _ := startPair(t, target, func(s Settings) Settings { return s.WithRecording(RecordRefused).WithTarget(64, 128, 256) })
	quantiles := []float64{50, 90, 99, 99.9}
	direct, proxied := make([][]int64, len(quantiles)), make([][]int64, len(quantiles))
	for range rounds {
		one, two := openLoop(t, target, clients, rate), openLoop(t, caller.CallerAddress(), clients, rate)
		for i, q := range quantiles {
			direct[i] = append(direct[i], one.ValueAtQuantile(q))
			proxied[i] = append(proxied[i], two.ValueAtQuantile(q))
		}
	}
	t.Logf("%d clients, %d calls/s, median of %d rounds of 1 s in turn", clients, rate, rounds)
	for i, q := range quantiles {
		d, p := median(direct[i]), median(proxied[i])
		t.Logf("p%-5v direct %7.1f us, two proxies %7.1f us, added %7.1f us", q, microseconds(d), microseconds(p), microseconds(p-d))
	}
}

// median is used so that rounds disturbed by other load on the machine do not determine the
// result.
func median(values []int64) int64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func microseconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e3 }

func openLoop(t testing.TB, address string, clients, rate int) *hdrhistogram.Histogram {
	due := make(chan time.Time, rate)
	all := hdrhistogram.New(1, int64(10*time.Second), 3)
	var group sync.WaitGroup
	var connected []*loadClient
	for range clients {
		c := newLoadClient(t, address)
		for range 200 {
			c.call(t, time.Now())
		}
		c.histogram.Reset()
		connected = append(connected, c)
	}
	for _, c := range connected {
		group.Go(func() { c.loop(t, due) })
	}
	pace(due, time.Second/time.Duration(rate), rate)
	group.Wait()
	for _, c := range connected {
		all.Merge(c.histogram)
	}
	return all
}

// TestCost prints calls/s per core and allocations per call, in a closed loop. Client, target and
// both proxies share the process, so the cost of the proxies is the difference from direct calls.
func TestCost(t *testing.T) {
	if os.Getenv("BASILLIFT_MEASURE") == "" {
		t.Skip("set BASILLIFT_MEASURE=1 to measure")
	}
	target := startTarget(t, okTarget)
	caller, _ := startPair(t, target, func(s Settings) Settings { return s.WithRecording(RecordRefused).WithTarget(64, 128, 256) })
	direct := closedLoop(t, target)
	proxied := closedLoop(t, caller.CallerAddress())
	t.Logf("direct: %s", direct)
	t.Logf("two proxies: %s", proxied)
	added := proxied.processor - direct.processor
	t.Logf("added for each call: %v of processor time, %.1f allocations, %.0f bytes", added, proxied.allocations-direct.allocations, proxied.bytes-direct.bytes)
	t.Logf("calls/s for each core of one proxy: %.0f", 2/added.Seconds())
}

// cost is the cost of one call.
type cost struct {
	rate        float64
	processor   time.Duration
	allocations float64
	bytes       float64
}

func (c cost) String() string {
	return fmt.Sprintf("%.0f calls/s, %v of processor time, %.1f allocations, %.0f bytes for each", c.rate, c.processor, c.allocations, c.bytes)
}

func closedLoop(t testing.TB, address string) cost {
	const clients, calls = 16, 20000
	var before, after runtime.MemStats
	var group sync.WaitGroup
	runtime.ReadMemStats(&before)
	began, used := time.Now(), processorTime()
	for range clients {
		c := newLoadClient(t, address)
		group.Go(func() {
			defer func() { _ = c.conn.Close() }()
			for range calls {
				c.call(t, time.Now())
			}
		})
	}
	group.Wait()
	took, used := time.Since(began), processorTime()-used
	runtime.ReadMemStats(&after)
	const total = clients * calls
	return cost{
		rate: total / took.Seconds(), processor: used / total,
		allocations: float64(after.Mallocs-before.Mallocs) / total,
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / total,
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall measures one call through two proxies in a closed loop.
func BenchmarkCall(b *testing.B) {
	target := startTarget(b, okTarget)
	caller, _ := startPair(b, target, func(s Settings) Settings { return s.WithRecording(RecordRefused).WithTarget(64, 128, 256) })
	c := newLoadClient(b, caller.CallerAddress())
	defer func() { _ = c.conn.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		c.call(b, time.Now())
	}
}
