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
	simSlots   = 10
	simService = 20 * time.Millisecond // exponential mean; capacity 500 calls/s
	simLength  = 10 * time.Second
	simWithin  = 250 * time.Millisecond // deadline of each call
)

// source is one customer's Poisson arrivals.
type source struct {
	customer string
	class    basillift.Class
	rate     float64
}

// tally counts one customer's calls.
type tally struct{ sent, good, wasted int }

func (y tally) share() float64 { return float64(y.good) / float64(max(1, y.sent)) }

// target runs calls in virtual time, in steps of 0.1 ms.
type target struct {
	rnd     *rand.Rand
	queue   *Queue // nil for the baseline: first come, first served without a bound
	fifo    []uint64
	calls   map[uint64]call
	running map[uint64]time.Time // end
	tallies map[string]*tally
	next    uint64
}

type call struct {
	customer string
	deadline time.Time
}

func (g *target) start(now time.Time, id uint64) {
	g.running[id] = now.Add(time.Duration(g.rnd.ExpFloat64() * float64(simService)))
}

func (g *target) apply(now time.Time, actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		if a.Kind() == ActionRun {
			g.start(now, a.ID())
		}
	}
}

func (g *target) arrive(now time.Time, s source) {
	g.next++
	g.calls[g.next] = call{customer: s.customer, deadline: now.Add(simWithin)}
	g.tallies[s.customer].sent++
	if g.queue != nil {
		g.apply(now, g.queue.Arrive(now, NewRequest(g.next, s.customer, s.class, now.Add(simWithin))))
		return
	}
	g.fifo = append(g.fifo, g.next)
}

func (g *target) end(now time.Time) {
	ids := slices.Sorted(maps.Keys(g.running))
	for _, id := range ids {
		at := g.running[id]
		if at.After(now) {
			continue
		}
		delete(g.running, id)
		c := g.calls[id]
		if at.After(c.deadline) {
			g.tallies[c.customer].wasted++
		} else {
			g.tallies[c.customer].good++
		}
		if g.queue != nil {
			g.apply(now, g.queue.Finish(now, id))
		}
	}
}

// simulate offers the sources' calls and returns the counts by customer.
func simulate(seed int64, limited bool, sources ...source) map[string]*tally {
	g := &target{
		rnd: rand.New(rand.NewSource(seed)), calls: make(map[uint64]call),
		running: make(map[uint64]time.Time), tallies: make(map[string]*tally),
	}
	if limited {
		g.queue = NewQueue(NewSettings(simSlots, 130, 200))
	}
	due := make([]time.Time, len(sources))
	for i, s := range sources {
		g.tallies[s.customer] = &tally{}
		due[i] = epoch.Add(time.Duration(g.rnd.ExpFloat64() / s.rate * float64(time.Second)))
	}
	step := 100 * time.Microsecond
	for now := epoch; now.Before(epoch.Add(simLength)); now = now.Add(step) {
		g.end(now)
		for i, s := range sources {
			for !due[i].After(now) {
				g.arrive(now, s)
				due[i] = due[i].Add(time.Duration(g.rnd.ExpFloat64() / s.rate * float64(time.Second)))
			}
		}
		if g.queue != nil && now.Sub(epoch)%(5*time.Millisecond) == 0 {
			g.apply(now, g.queue.Tick(now))
		}
		for g.queue == nil && len(g.running) < simSlots && len(g.fifo) > 0 {
			g.start(now, g.fifo[0])
			g.fifo = g.fifo[1:]
		}
	}
	return g.tallies
}

// Guards against a target that does useless work under overload: goodput is the calls
// that end within their deadline. The baseline queues without a bound.
func TestGoodput(t *testing.T) {
	capacity := float64(simSlots) / simService.Seconds()
	for _, load := range []float64{1, 2, 5, 10} {
		s := source{"kobuleti", basillift.ClassNormal, load * capacity}
		limited := simulate(1, true, s)["kobuleti"]
		free := simulate(1, false, s)["kobuleti"]
		per := simLength.Seconds()
		t.Logf("%.0fx: goodput %.0f/s, %.0f/s useless; without limits %.0f/s, %.0f/s useless",
			load, float64(limited.good)/per, float64(limited.wasted)/per, float64(free.good)/per, float64(free.wasted)/per)
		is.New(t).True(float64(limited.good)/per >= 0.85*capacity)
	}
}

// Guards against one customer's flood that takes the target from urgent calls and
// from small customers.
func TestFlood(t *testing.T) {
	sources := []source{
		{"flood", basillift.ClassNormal, 5000},
		{"patrol", basillift.ClassUrgent, 50},
		{"small", basillift.ClassNormal, 50},
		{"reports", basillift.ClassBulk, 50},
	}
	limited, free := simulate(1, true, sources...), simulate(1, false, sources...)
	for _, s := range sources {
		t.Logf("%s (%s, %.0f/s): served in time %.1f%%; without limits %.1f%%",
			s.customer, s.class, s.rate, 100*limited[s.customer].share(), 100*free[s.customer].share())
	}
	is.New(t).True(limited["patrol"].share() > 0.98)
	is.New(t).True(limited["small"].share() > 0.95)
}

// The hot path: one call through the Limiter and the Queue.
func BenchmarkCall(b *testing.B) {
	q, l := NewQueue(NewSettings(10, 130, 200)), NewLimiter()
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
