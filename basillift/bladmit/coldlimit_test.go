package bladmit

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// coldQueue returns a warmed queue with 11 slots and the limit of a cold target.
func coldQueue(perSecond float64) *DeadlineQueue {
	q := warmedQueue(11, "a", 60*time.Millisecond)
	q.SetColdLimit(baseTime, perSecond, true)
	return q
}

// coldTraffic sends requests of many senders to a cold target, in steps of 1 ms: a new request every other step of every other
// second, refused ones twice more at the times that they were told, some nested and some of the best rank. A tenth are reservations for large bodies,
// which arrive up to 300 ms after their start.
type coldTraffic struct {
	rnd    *rand.Rand
	queue  *DeadlineQueue
	lastID uint64
	ends   map[time.Time][]uint64
	// returns holds how often the requests that come back at a time were refused.
	returns  map[time.Time][]int
	arrivals []time.Time
}

func newColdTraffic(seed int64, q *DeadlineQueue) *coldTraffic {
	return &coldTraffic{rnd: rand.New(rand.NewSource(seed)), queue: q, ends: map[time.Time][]uint64{}, returns: map[time.Time][]int{}}
}

func (c *coldTraffic) step(now time.Time) {
	c.begin(now, c.queue.Dispatch(now))
	for _, ended := range c.ends[now] {
		c.begin(now, c.queue.Finish(now, ended, true))
	}
	if pausing := now.Unix()%2 == 0; !pausing && now.UnixMilli()%2 == 0 {
		c.send(now, 0)
	}
	for _, refusals := range c.returns[now] {
		c.send(now, refusals)
	}
	c.queue.RemoveUnservable(now)
}

func (c *coldTraffic) send(now time.Time, refusals int) {
	c.lastID++
	r := slotRequest(now, c.lastID, "a", c.rnd.Intn(3)-1, 300*time.Millisecond).WithNested(c.rnd.Intn(4) == 0)
	switch d := c.queue.Arrive(now, r); d.Result() {
	case AdmissionRun:
		c.begin(now, []uint64{c.lastID})
	case AdmissionRefuse:
		if refusals < 2 {
			back := now.Add(d.RetryAfter().Truncate(time.Millisecond) + time.Millisecond)
			c.returns[back] = append(c.returns[back], refusals+1)
		}
	case AdmissionWait:
	}
}

func (c *coldTraffic) begin(now time.Time, started []uint64) {
	for _, id := range started {
		arrival := now
		if c.rnd.Intn(10) == 0 {
			arrival = now.Add(time.Duration(c.rnd.Intn(300)) * time.Millisecond)
		}
		c.arrivals = append(c.arrivals, arrival)
		end := now.Add(60 * time.Millisecond)
		c.ends[end] = append(c.ends[end], id)
	}
}

// assertColdArrivals checks that no sliding second has more arrivals than a cold target accepts.
func assertColdArrivals(t *testing.T, arrivals []time.Time, perSecond float64) {
	t.Helper()
	sorted := slices.SortedFunc(slices.Values(arrivals), time.Time.Compare)
	if most, accepted := mostInWindow(sorted, time.Second), 1.5*perSecond+8; float64(most) > accepted {
		t.Errorf("%d requests in a second, want at most %.1f", most, accepted)
	}
}

// Guards against a cold target that gets more requests than it accepts, from many senders and their retries, and against a
// limit that is not used up.
func TestColdLimitHoldsInAnySecond(t *testing.T) {
	for _, perSecond := range []float64{0.5, 11, 150} {
		for seed := int64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprintf("%g per second, seed %d", perSecond, seed), func(t *testing.T) {
				c := newColdTraffic(seed, coldQueue(perSecond))
				for now := baseTime; now.Before(baseTime.Add(8 * time.Second)); now = now.Add(time.Millisecond) {
					c.step(now)
				}
				assertColdArrivals(t, c.arrivals, perSecond)
				// Senders pause for half of the time, and the first request has to wait for its turn.
				if used := float64(len(c.arrivals)+1) / 4; used < 0.9*perSecond {
					t.Errorf("%.2f requests per second, want nearly %g", used, perSecond)
				}
			})
		}
	}
}

// Guards against a daemon that starts again and sends a cold target as many requests as its predecessor has just sent.
func TestColdLimitHoldsAcrossRestartOfDaemon(t *testing.T) {
	for seed := int64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newColdTraffic(seed, coldQueue(11))
			for now := baseTime; now.Before(baseTime.Add(6 * time.Second)); now = now.Add(time.Millisecond) {
				if now.Sub(baseTime)%(700*time.Millisecond) == 0 {
					q := warmedQueue(11, "a", 60*time.Millisecond)
					q.SetColdLimit(now, 11, true)
					c.queue, c.ends = q, map[time.Time][]uint64{}
				}
				c.step(now)
			}
			assertColdArrivals(t, c.arrivals, 11)
		})
	}
}

func TestTwoReasonsForARequestLimit(t *testing.T) {
	perSecond := func(q *DeadlineQueue) float64 { return float64(q.limit.limiter.Limit()) }
	t.Run("the lower one holds", func(t *testing.T) {
		is := is.New(t)
		q := limitedQueue(40)
		q.SetColdLimit(baseTime, 11, true)
		is.Equal(perSecond(q), 11.0)
		q.SetRequestLimit(baseTime, 4, true)
		is.Equal(perSecond(q), 4.0)
		q.SetRequestLimit(baseTime, 0, false)
		is.Equal(perSecond(q), 11.0)
		q.SetRequestLimit(baseTime, 40, true)
		q.SetColdLimit(baseTime, 0, false)
		is.Equal(perSecond(q), 40.0)
		q.SetRequestLimit(baseTime, 0, false)
		is.True(!q.limit.active())
	})
	t.Run("no request is saved up before a cold limit begins", func(t *testing.T) {
		q := limitedQueue(40)
		q.SetColdLimit(baseTime, 10, true)
		assertResult(t, q.Arrive(baseTime, slotRequest(baseTime, 1, "a", BestRank, 2*time.Second)), AdmissionWait)
		assertStarted(t, q.Dispatch(baseTime.Add(99*time.Millisecond)))
		assertStarted(t, q.Dispatch(baseTime.Add(100*time.Millisecond)), 1)
	})
	t.Run("a cold limit that is set again keeps its pace", func(t *testing.T) {
		q := coldQueue(10)
		q.Arrive(baseTime, slotRequest(baseTime, 1, "a", 0, 2*time.Second))
		for elapsed := time.Millisecond; elapsed < 100*time.Millisecond; elapsed += time.Millisecond {
			assertStarted(t, q.SetColdLimit(baseTime.Add(elapsed), 10, true))
		}
		assertStarted(t, q.SetColdLimit(baseTime.Add(101*time.Millisecond), 10, true), 1)
	})
}
