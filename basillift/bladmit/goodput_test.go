package bladmit

import (
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"basillift.dev/basillift"

	"github.com/matryer/is"
)

const (
	simSlots       = 10
	simServiceTime = 20 * time.Millisecond // mean of an exponential distribution; capacity 500 calls/s
	simDuration    = 10 * time.Second
	simDeadline    = 250 * time.Millisecond // deadline of each call
)

// callSource describes one customer's calls: a Poisson process with a rate in calls/s. Customer names such as kobuleti
// and patrol are examples. Each call is one request to the queue.
type callSource struct {
	customer string
	class    basillift.Class
	rate     float64
}

// customerCounts counts one customer's calls. Good calls end within their deadline, wasted ones after it.
type customerCounts struct{ sent, good, wasted int }

func (c customerCounts) goodFraction() float64 { return float64(c.good) / float64(max(1, c.sent)) }

// simTarget runs calls in simulated time, in steps of 0.1 ms.
type simTarget struct {
	rnd     *rand.Rand
	queue   *Queue // nil for the baseline, an unbounded first-come, first-served queue
	fifo    []uint64
	calls   map[uint64]call
	running map[uint64]time.Time // end time by id
	counts  map[string]*customerCounts
	next    uint64
}

type call struct {
	customer string
	deadline time.Time
}

func (t *simTarget) start(now time.Time, id uint64) {
	t.running[id] = now.Add(time.Duration(t.rnd.ExpFloat64() * float64(simServiceTime)))
}

func (t *simTarget) apply(now time.Time, actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		if a.Kind() == ActionRun {
			t.start(now, a.ID())
		}
	}
}

func (t *simTarget) arrive(now time.Time, s callSource) {
	t.next++
	t.calls[t.next] = call{customer: s.customer, deadline: now.Add(simDeadline)}
	t.counts[s.customer].sent++
	if t.queue != nil {
		t.apply(now, t.queue.Arrive(now, NewRequest(t.next, s.customer, s.class, now.Add(simDeadline))))
		return
	}
	t.fifo = append(t.fifo, t.next)
}

func (t *simTarget) complete(now time.Time) {
	ids := slices.Sorted(maps.Keys(t.running))
	for _, id := range ids {
		at := t.running[id]
		if at.After(now) {
			continue
		}
		delete(t.running, id)
		c := t.calls[id]
		if at.After(c.deadline) {
			t.counts[c.customer].wasted++
		} else {
			t.counts[c.customer].good++
		}
		if t.queue != nil {
			t.apply(now, t.queue.Finish(now, id))
		}
	}
}

// simulate sends the sources' calls to a target and returns the counts by customer. The target has a Queue if limited
// is set, and the baseline's queue otherwise.
func simulate(seed int64, limited bool, sources ...callSource) map[string]*customerCounts {
	t := &simTarget{
		rnd: rand.New(rand.NewSource(seed)), calls: make(map[uint64]call),
		running: make(map[uint64]time.Time), counts: make(map[string]*customerCounts),
	}
	if limited {
		t.queue = NewQueue(NewQueueSettings(simSlots, 130, 200))
	}
	due := make([]time.Time, len(sources))
	for i, s := range sources {
		t.counts[s.customer] = &customerCounts{}
		due[i] = epoch.Add(time.Duration(t.rnd.ExpFloat64() / s.rate * float64(time.Second)))
	}
	step := 100 * time.Microsecond
	for now := epoch; now.Before(epoch.Add(simDuration)); now = now.Add(step) {
		t.complete(now)
		for i, s := range sources {
			for !due[i].After(now) {
				t.arrive(now, s)
				due[i] = due[i].Add(time.Duration(t.rnd.ExpFloat64() / s.rate * float64(time.Second)))
			}
		}
		if t.queue != nil && now.Sub(epoch)%(5*time.Millisecond) == 0 {
			t.apply(now, t.queue.Tick(now))
		}
		for t.queue == nil && len(t.running) < simSlots && len(t.fifo) > 0 {
			t.start(now, t.fifo[0])
			t.fifo = t.fifo[1:]
		}
	}
	return t.counts
}

// Guards against a target that wastes its work on late answers under overload. Goodput is
// the rate of calls that end within their deadline. The baseline has an unbounded queue.
func TestGoodput(t *testing.T) {
	capacity := float64(simSlots) / simServiceTime.Seconds()
	for _, load := range []float64{1, 2, 5, 10} {
		s := callSource{"kobuleti", basillift.ClassNormal, load * capacity}
		limited := simulate(1, true, s)["kobuleti"]
		unlimited := simulate(1, false, s)["kobuleti"]
		elapsedSeconds := simDuration.Seconds()
		t.Logf("%.0fx: goodput %.0f/s, %.0f/s wasted; without limits %.0f/s, %.0f/s wasted",
			load, float64(limited.good)/elapsedSeconds, float64(limited.wasted)/elapsedSeconds, float64(unlimited.good)/elapsedSeconds, float64(unlimited.wasted)/elapsedSeconds)
		is.New(t).True(float64(limited.good)/elapsedSeconds >= 0.85*capacity)
	}
}

// Guards against a flood of one customer's calls that displaces urgent calls and the
// calls of small customers.
func TestFlood(t *testing.T) {
	sources := []callSource{
		{"flood", basillift.ClassNormal, 5000},
		{"patrol", basillift.ClassUrgent, 50},
		{"small", basillift.ClassNormal, 50},
		{"reports", basillift.ClassBulk, 50},
	}
	limited, unlimited := simulate(1, true, sources...), simulate(1, false, sources...)
	for _, s := range sources {
		t.Logf("%s (%s, %.0f/s): served in time %.1f%%; without limits %.1f%%",
			s.customer, s.class, s.rate, 100*limited[s.customer].goodFraction(), 100*unlimited[s.customer].goodFraction())
	}
	is.New(t).True(limited["patrol"].goodFraction() > 0.98)
	is.New(t).True(limited["small"].goodFraction() > 0.95)
}

// BenchmarkCall measures the request path: one call through the Limiter and the Queue.
func BenchmarkCall(b *testing.B) {
	q, l := NewQueue(NewQueueSettings(10, 130, 200)), NewLimiter()
	p := basillift.NewPlan("basic", nil, 0, 1000, "")
	b.ReportAllocs()
	for i := range b.N {
		now := epoch.Add(time.Duration(i) * time.Microsecond)
		l.Allow(now, "kobuleti", p)
		q.Arrive(now, NewRequest(uint64(i), "kobuleti", basillift.ClassNormal, now.Add(time.Second)))
		q.Finish(now, uint64(i))
		l.Finished(now, "kobuleti")
	}
}
