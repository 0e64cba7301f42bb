package bladmit

import (
	"container/heap"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// loadKind is a kind of request of the table in docs/design/requirements.md. Times are in ms, rates per target and second.
type loadKind struct {
	name                                string
	rank                                int
	rate, work                          float64
	objective, timeout, callersDeadline int
	value, lateValue                    float64
	retries                             int
	nested                              bool
}

// The kinds with their usual rates. A nested call has no retries, and 600 ms.
var (
	balanceLookup = loadKind{"balance", 1, 30, 180, 500, 1500, 3000, 1, 0.52, 2, false}
	correction    = loadKind{"correction", 1, 16.3, 240, 600, 2000, 4000, 2.1, 1, 2, false}
	archiveFetch  = loadKind{"archive", 2, 12.4, 460, 2500, 4000, 8000, 0.52, 0.39, 2, false}
	payout        = loadKind{"payout", 0, 21.2, 150, 400, 1200, 2500, 2, 0.4, 2, false}
	gateLookup    = loadKind{"gate", 2, 26.3, 190, 600, 1500, 1500, 1, 0.3, 1, false}
	renewal       = loadKind{"renewal", 1, 13.9, 250, 800, 1200, 2000, 2, 0.6, 1, false}
	history       = loadKind{"history", 2, 11.9, 470, 1500, 2500, 4000, 1, 0.3, 1, false}
	nestedCall    = loadKind{"call", 1, 30, 50, 200, 600, 600, 0, 0, 0, true}
)

func (k loadKind) at(rate float64) loadKind { k.rate = rate; return k }

// loadDuration is for how long callers send requests.
const loadDuration = 30 * time.Second

// loadScenario is what a number of targets get for half a minute: two bursts of 4 s, and a slow phase if slow is set.
type loadScenario struct {
	name  string
	burst float64
	slow  bool
	kinds []loadKind
}

var loadScenarios = []loadScenario{
	{"balance", 2.5, false, []loadKind{balanceLookup}},
	{"corrections at balance targets", 2, false, []loadKind{balanceLookup, correction.at(11.2)}},
	{"renewals at gate targets", 2.2, true, []loadKind{gateLookup, renewal.at(8.2), nestedCall.at(8)}},
	{"corrections and calls", 2.5, true, []loadKind{correction, nestedCall}},
	{"three ranks", 1.7, false, []loadKind{payout.at(15), balanceLookup.at(15), archiveFetch}},
	{"sustained", 1, false, []loadKind{payout.at(25), balanceLookup.at(50), archiveFetch}},
	{"history", 2.5, true, []loadKind{history}},
}

// loadCounts is what the callers of one kind got.
type loadCounts struct {
	sent, onTime, late, refused, failed int
	worth                               float64
	waits                               []float64
	attempts                            int
}

func (c *loadCounts) served() float64 { return float64(c.onTime+c.late) / float64(max(1, c.sent)) }

// loadRequest is one caller's request over all its attempts.
type loadRequest struct {
	kind            int
	work            time.Duration
	sent, arrived   time.Time
	callersDeadline time.Time
	deadline        time.Time
	returns         int
	tried           []int
	bestTarget      int
	retryAfter      time.Duration
	lateAsked       bool
}

type loadEvent struct {
	at    time.Time
	order int
	run   func(time.Time)
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].order < e[k].order
}
func (e loadEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadPlay plays a scenario in simulated time: targets with a DeadlineQueue each, callers' daemons that try up to four
// of them, and callers that come back.
type loadPlay struct {
	scenario loadScenario
	rnd      *rand.Rand
	// arrivals holds a generator for each kind, so that the callers do the same whatever the queues decide.
	arrivals []*rand.Rand
	queues   []*DeadlineQueue
	requests map[uint64]*loadRequest
	events   loadEvents
	order    int
	lastID   uint64
	counts   []*loadCounts
	// servedRatio is what callers' daemons report for each kind.
	servedRatio []float64
}

func playLoad(seed int64, targets int, s loadScenario) []*loadCounts {
	p := &loadPlay{scenario: s, rnd: rand.New(rand.NewSource(seed)), requests: make(map[uint64]*loadRequest)}
	for range targets {
		p.queues = append(p.queues, NewDeadlineQueue(12))
	}
	for i := range s.kinds {
		p.arrivals = append(p.arrivals, rand.New(rand.NewSource(seed*100+int64(i))))
		p.counts, p.servedRatio = append(p.counts, &loadCounts{}), append(p.servedRatio, 1)
		p.sendNext(baseTime, i)
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(loadEvent)
		e.run(e.at)
	}
	return p.counts
}

func (p *loadPlay) schedule(at time.Time, run func(time.Time)) {
	p.order++
	heap.Push(&p.events, loadEvent{at, p.order, run})
}

// burst is the factor of the rate: 1 or the scenario's.
func (p *loadPlay) burst(now time.Time) float64 {
	if second := int(now.Sub(baseTime).Seconds()) % 15; second >= 6 && second < 10 {
		return p.scenario.burst
	}
	return 1
}

// sendNext schedules the next request of a kind, until loadDuration has passed.
func (p *loadPlay) sendNext(now time.Time, kind int) {
	k, rnd := p.scenario.kinds[kind], p.arrivals[kind]
	gap := rnd.ExpFloat64() / (k.rate * float64(len(p.queues)) * p.burst(now))
	p.schedule(now.Add(seconds(gap)), func(at time.Time) {
		if at.Sub(baseTime) > loadDuration {
			return
		}
		p.counts[kind].sent++
		work := k.work * (0.5 + rnd.Float64())
		if rnd.Float64() < 0.02 {
			work *= 3 + 4*rnd.Float64()
		}
		r := &loadRequest{kind: kind, work: seconds(work / 1000), sent: at, callersDeadline: at.Add(milliseconds(k.callersDeadline))}
		p.begin(at, r)
		p.sendNext(at, kind)
	})
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// begin starts a caller's first or later attempt.
func (p *loadPlay) begin(now time.Time, r *loadRequest) {
	k := p.scenario.kinds[r.kind]
	r.arrived, r.deadline, r.tried, r.retryAfter, r.lateAsked = now, now.Add(milliseconds(k.timeout)), nil, 0, false
	if r.callersDeadline.Before(r.deadline) {
		r.deadline = r.callersDeadline
	}
	p.try(now, r)
}

// try sends a request to the target with the least load of three, like a caller's daemon.
func (p *loadPlay) try(now time.Time, r *loadRequest) {
	target := -1
	if len(r.tried) < 4 {
		for range 3 {
			i := p.rnd.Intn(len(p.queues))
			if !slices.Contains(r.tried, i) && (target < 0 || p.pending(i) < p.pending(target)) {
				target = i
			}
		}
	}
	if target < 0 && !r.lateAsked && !p.scenario.kinds[r.kind].nested {
		target, r.lateAsked = r.bestTarget, true
	}
	if target < 0 {
		p.refused(now, r)
		return
	}
	r.tried = append(r.tried, target)
	p.ask(now, r, target)
}

func (p *loadPlay) pending(target int) int {
	l := p.queues[target].Load()
	return l.Running() + l.Queued()
}

func (p *loadPlay) ask(now time.Time, r *loadRequest, target int) {
	k := p.scenario.kinds[r.kind]
	q := p.queues[target]
	p.lastID++
	id := p.lastID
	p.requests[id] = r
	p.counts[r.kind].attempts++
	rank := k.rank
	if k.nested {
		rank = BestRank
	}
	s := NewSlotRequest(id, k.name, rank, r.sent.Add(milliseconds(k.objective)), r.deadline).WithLatencyObjective(milliseconds(k.objective)).WithNested(k.nested).WithLateAllowed(r.lateAsked).WithServedRatio(p.servedRatio[r.kind])
	switch d := q.Arrive(now, s); d.Result() {
	case AdmissionRun:
		p.start(now, target, id)
	case AdmissionRefuse:
		p.refusedBy(now, r, target, d.RetryAfter())
	case AdmissionWait:
		p.schedule(d.WaitUntil(), func(at time.Time) {
			p.expire(at, id, target)
		})
	}
	p.removeUnservable(now, target)
}

func (p *loadPlay) expire(now time.Time, id uint64, target int) {
	waitUntil, removed := p.queues[target].Expire(now, id)
	if removed {
		p.refusedBy(now, p.requests[id], target, p.queues[target].RetryAfter(now, SlotRequest{}))
	} else if waitUntil.After(now) {
		p.schedule(waitUntil, func(at time.Time) { p.expire(at, id, target) })
	}
}

func (p *loadPlay) removeUnservable(now time.Time, target int) {
	for _, id := range p.queues[target].RemoveUnservable(now) {
		p.refusedBy(now, p.requests[id], target, p.queues[target].RetryAfter(now, SlotRequest{}))
	}
}

// refusedBy records the refusal of one target; the request arrives at the next one 2 ms later.
func (p *loadPlay) refusedBy(now time.Time, r *loadRequest, target int, retryAfter time.Duration) {
	if r.retryAfter == 0 || retryAfter < r.retryAfter {
		r.retryAfter, r.bestTarget = retryAfter, target
	}
	p.schedule(now.Add(2*time.Millisecond), func(at time.Time) { p.try(at, r) })
}

// refused is the final refusal of a caller's attempt.
func (p *loadPlay) refused(now time.Time, r *loadRequest) {
	k := p.scenario.kinds[r.kind]
	p.servedRatio[r.kind] -= p.servedRatio[r.kind] / 16
	wait := min(r.retryAfter, r.callersDeadline.Sub(now)/3)
	if r.returns >= k.retries || r.callersDeadline.Sub(now.Add(wait)) < r.work {
		p.counts[r.kind].refused++
		return
	}
	r.returns++
	p.schedule(now.Add(wait), func(at time.Time) { p.begin(at, r) })
}

func (p *loadPlay) start(now time.Time, target int, id uint64) {
	r := p.requests[id]
	work := r.work
	if p.scenario.slow && target%2 == 0 && now.Sub(baseTime)%(8*time.Second) < 600*time.Millisecond {
		work = work * 5 / 2
	}
	started := now
	p.schedule(now.Add(work), func(at time.Time) {
		p.finish(at, r, started)
		for _, next := range p.queues[target].Finish(at, id, true) {
			p.start(at, target, next)
		}
		p.removeUnservable(at, target)
	})
}

func (p *loadPlay) finish(now time.Time, r *loadRequest, started time.Time) {
	k, c := p.scenario.kinds[r.kind], p.counts[r.kind]
	c.waits = append(c.waits, started.Sub(r.sent).Seconds())
	p.servedRatio[r.kind] += (1 - p.servedRatio[r.kind]) / 16
	switch took := now.Sub(r.sent); {
	case now.After(r.deadline):
		c.failed++
	case took <= milliseconds(k.objective):
		c.onTime++
		c.worth += k.value
	default:
		c.late++
		c.worth += k.lateValue
	}
}

// playTwice plays a scenario with two seeds, and returns the counts by kind, and those of all requests with callers.
func playTwice(t *testing.T, s loadScenario) (counts map[string]*loadCounts, all *loadCounts) {
	t.Helper()
	counts, all = map[string]*loadCounts{}, &loadCounts{}
	first, second := playLoad(1, 8, s), playLoad(2, 8, s)
	for i, k := range s.kinds {
		c := first[i]
		c.add(second[i])
		counts[k.name] = c
		if !k.nested {
			all.add(c)
		}
		slices.Sort(c.waits)
		percent := func(n int) float64 { return 100 * float64(n) / float64(c.sent) }
		t.Logf("%-10s %6d: on time %5.1f%%, late %4.1f%%, refused %4.1f%%, failed %4.1f%%, median wait %4.0f ms, attempts %.2f, worth %.3f",
			k.name, c.sent, percent(c.onTime), percent(c.late), percent(c.refused), percent(c.failed), 1000*c.waits[len(c.waits)/2],
			float64(c.attempts)/float64(c.sent), c.worth/float64(c.sent))
	}
	t.Logf("worth in all: %.0f", all.worth)
	return counts, all
}

func (c *loadCounts) add(other *loadCounts) {
	c.sent, c.onTime, c.late = c.sent+other.sent, c.onTime+other.onTime, c.late+other.late
	c.refused, c.failed, c.attempts = c.refused+other.refused, c.failed+other.failed, c.attempts+other.attempts
	c.worth += other.worth
	c.waits = append(c.waits, other.waits...)
}

// Guards against what callers lose under overload: a worse rank that starves, a better rank that is served less often than a
// worse one, requests that are held until their deadline, and callers that come back without getting a slot. docs/design/overload.md
// has the figures of the queue before it weighed work and gave late places.
func TestOverloadLoad(t *testing.T) {
	// minServed is the least fraction of the callers that get an answer, where it was lower before: 0.926, 0.889, 0.883 and 0.910.
	minServed := map[string]float64{"balance": 0.955, "corrections at balance targets": 0.905, "corrections and calls": 0.92, "history": 0.93}
	for _, s := range loadScenarios {
		t.Run(s.name, func(t *testing.T) {
			counts, all := playTwice(t, s)
			if all.served() < minServed[s.name] {
				t.Errorf("%.3f of the callers served, want %.3f", all.served(), minServed[s.name])
			}
			for _, k := range s.kinds {
				c := counts[k.name]
				if failed := float64(c.failed) / float64(c.sent); failed > 0.015 {
					t.Errorf("%s: %.3f failed", k.name, failed)
				}
				if !k.nested && c.served() < 0.25*all.served() {
					t.Errorf("%s: %.3f served, of all %.3f", k.name, c.served(), all.served())
				}
				for _, worse := range s.kinds {
					if !k.nested && !worse.nested && k.rank < worse.rank && c.served() < counts[worse.name].served()-0.05 {
						t.Errorf("%s: %.3f served, %s has %.3f", k.name, c.served(), worse.name, counts[worse.name].served())
					}
				}
			}
		})
	}
}
