package blbalance

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

const (
	// farTime is the way to another failure domain and back.
	farTime = 2 * time.Millisecond
	// farByte is the price of a byte to another failure domain, as a share of a request's worth: the users'
	// price list makes 100 KB cost about as much as a request brings.
	farByte = 1e-5
	// lateLoss is the share of its worth that an answer after its goal loses.
	lateLoss = 0.7
	// spread is the deviation of the time at a target, as a share of that time.
	spread = 0.4
	// fullness is what a full target costs beside the wait, so that load is shared before anybody waits.
	fullness = 0.02
	// unknownHold is the assumed slot time of a target that no answer has described.
	unknownHold = 50 * time.Millisecond
	// unknownSlots is the assumed number of slots of a target that does not say.
	unknownSlots = 8
	// coldFactor is how much longer a target needs for a request just after its start.
	coldFactor = 2
	// newsLifetime is how long a load report counts; a few answers of any busy target come meanwhile.
	newsLifetime = time.Second
	// pauseFirst and pauseMost bound how long a target is left out after failures. The first is some
	// round trips, the last well below the time a restarted target may stay unused.
	pauseFirst = 150 * time.Millisecond
	pauseMost  = 2 * time.Second
	// probeTime is how long the result of one request after a pause is waited for before the next one.
	probeTime = 200 * time.Millisecond
	// failureWeight is the share of a new observation in the failure rate.
	failureWeight = 0.1
	// laneWeight is the share of a new observation in the relative time of a lane.
	laneWeight = 1.0 / 32
	// lanesMost bounds how many lanes are remembered.
	lanesMost = 4096
	// nearDraws and farDraws are how many targets are compared.
	nearDraws = 3
	farDraws  = 1
)

// LargeBodyBytes is the size from which a body waits for a thin link: 26 ms of 5 Mbit/s.
const LargeBodyBytes = 16 << 10

// Result says how an attempt at a target ended.
type Result string

// The results.
const (
	// ResultAnswered is an answer of the target that is not a failure.
	ResultAnswered Result = "answered"
	// ResultRefused means that the request did not run for lack of room.
	ResultRefused Result = "refused"
	// ResultFailed is a failure that the target answered.
	ResultFailed Result = "failed"
	// ResultBroken means that the connection broke or the answer was of no use.
	ResultBroken Result = "broken"
	// ResultSilent means that nothing at all came back in time.
	ResultSilent Result = "silent"
	// ResultUnreachable means that the daemon beside the target did not take the request.
	ResultUnreachable Result = "unreachable"
	// ResultCanceled means that the caller left or its time was over.
	ResultCanceled Result = "canceled"
)

// Request describes a request that needs a target. Requests of one lane take a similar time.
type Request struct {
	lane  string
	bytes int
	goal  time.Time
}

// NewRequest returns a request that has so many bytes with its answer and is to be answered by the goal.
func NewRequest(lane string, bytes int, goal time.Time) Request {
	return Request{lane: lane, bytes: bytes, goal: goal}
}

// Balancer chooses targets for the requests of one daemon. It is safe for concurrent use.
type Balancer struct {
	mutex  sync.Mutex
	domain basillift.FailureDomain
	rnd    *rand.Rand
	peers  map[string]*peer
	remote map[basillift.FailureDomain]*remote
	// lanes is how long requests of a lane take, relative to the mean of their target.
	lanes map[string]float64
}

// remote is what is known of the way to a failure domain.
type remote struct {
	// silent is the last target that did not answer, since any other did.
	silent     string
	pauses     int
	pauseUntil time.Time
}

// peer is what is known of one target.
type peer struct {
	inFlight   int
	load       basillift.Load
	reported   time.Time
	atReport   int
	failures   float64
	pauses     int
	pauseUntil time.Time
	seen       time.Time
}

// New returns a placer for a daemon in a failure domain.
func New(domain basillift.FailureDomain, rnd *rand.Rand) *Balancer {
	return &Balancer{domain: domain, rnd: rnd, peers: make(map[string]*peer), remote: make(map[basillift.FailureDomain]*remote), lanes: make(map[string]float64)}
}

// Choose picks a target that is not excluded; false if there is none.
func (p *Balancer) Choose(now time.Time, targets []*blfleet.Target, exclude []string, a Request) (*blfleet.Target, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var near, far, paused []*blfleet.Target
	sound := false
	for _, t := range targets {
		e := t.Endpoint()
		bad := p.paused(now, e)
		sound = sound || !bad
		switch {
		case slices.Contains(exclude, e.Instance()):
		case bad:
			paused = append(paused, t)
		case e.Domain() == p.domain:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	drawn := append(p.draw(near, nearDraws), p.draw(far, max(farDraws, nearDraws-len(near)))...)
	if len(drawn) == 0 && !sound {
		// When all targets look bad, the observation is more likely wrong than all of them are.
		drawn = p.draw(paused, nearDraws)
	}
	best, found := p.best(now, drawn, a)
	if found {
		p.probe(now, best.Endpoint())
	}
	return best, found
}

// probe keeps others from a target or a way that is tried again after a pause, until the result is known.
func (p *Balancer) probe(now time.Time, e basillift.Endpoint) {
	until := now.Add(probeTime)
	if n := p.peer(now, e.Instance()); n.pauses > 0 && n.pauseUntil.Before(until) {
		n.pauseUntil = until
	}
	if w := p.remote[e.Domain()]; w != nil && w.pauses > 0 && w.pauseUntil.Before(until) {
		w.pauseUntil = until
	}
}

// draw moves up to count targets that are drawn by lot to the front and returns them.
func (p *Balancer) draw(from []*blfleet.Target, count int) []*blfleet.Target {
	count = min(count, len(from))
	for i := range count {
		k := i + p.rnd.Intn(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:count:count]
}

func (p *Balancer) best(now time.Time, drawn []*blfleet.Target, a Request) (*blfleet.Target, bool) {
	var best *blfleet.Target
	var least float64
	for _, t := range drawn {
		cost := p.cost(now, t, a)
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best, best != nil
}

// cost is what a request is expected to lose at a target, as a share of its worth: by being late, by
// failing, and by the bytes to another failure domain.
func (p *Balancer) cost(now time.Time, t *blfleet.Target, a Request) float64 {
	e := t.Endpoint()
	n := p.peer(now, e.Instance())
	slots, load := unknownSlots, n.inFlight
	if e.Slots() > 0 {
		slots = e.Slots()
	}
	if now.Sub(n.reported) < newsLifetime {
		load = max(load, n.load.Running()+n.load.Queued()+n.inFlight-n.atReport)
	}
	hold := n.hold(now, t)
	expected := hold * p.laneFactor(a.lane)
	expected += hold * float64(max(0, load+1-slots)) / float64(slots)
	if backlog, thin := n.load.SlowLink(); thin && a.bytes >= LargeBodyBytes {
		expected += max(0, backlog-now.Sub(n.reported)).Seconds()
	}
	cost := n.failures + fullness*float64(load)/float64(slots)
	if e.Domain() != p.domain {
		expected += farTime.Seconds()
		cost += farByte * float64(a.bytes)
	}
	return cost + lateLoss*lateness(expected, a.goal.Sub(now).Seconds()) + fullness*expected
}

// hold is the mean slot time at a target in seconds.
func (n *peer) hold(now time.Time, t *blfleet.Target) float64 {
	hold := unknownHold
	if n.load.MeanServiceTime() > 0 {
		hold = n.load.MeanServiceTime()
	}
	if now.Before(t.WarmupEnd()) {
		hold *= coldFactor
	}
	return hold.Seconds()
}

// lateness is the probability that a request takes longer than what is left, if it
// is expected to take a time, both in seconds: the normal distribution's tail, by the logistic function.
func lateness(expected, left float64) float64 {
	z := (left - expected) / (spread * expected)
	return 1 / (1 + math.Exp(1.702*z))
}

func (p *Balancer) laneFactor(lane string) float64 {
	if f, known := p.lanes[lane]; known {
		return f
	}
	return 1
}

// observeLane notes how long a request took beside the mean of its target.
func (p *Balancer) observeLane(lane string, ratio float64) {
	f, known := p.lanes[lane]
	if !known && len(p.lanes) >= lanesMost {
		clear(p.lanes)
	}
	if !known {
		f = 1
	}
	p.lanes[lane] = f + (ratio-f)*laneWeight
}

// Started notes that a request is sent to a target.
func (p *Balancer) Started(now time.Time, t *blfleet.Target) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.peer(now, t.Endpoint().Instance()).inFlight++
}

// Ended notes how a request that was Started ended, and how long it took. The load is nil if none was told.
func (p *Balancer) Ended(now time.Time, t *blfleet.Target, a Request, r Result, took time.Duration, load *basillift.Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := p.peer(now, t.Endpoint().Instance())
	n.inFlight = max(0, n.inFlight-1)
	if load != nil {
		n.load, n.reported, n.atReport = *load, now, n.inFlight
		if r == ResultAnswered && load.Queued() == 0 && load.MeanServiceTime() > 0 {
			p.observeLane(a.lane, took.Seconds()/load.MeanServiceTime().Seconds())
		}
	}
	p.observeWay(now, t.Endpoint(), r)
	switch r {
	case ResultAnswered:
		n.failures -= n.failures * failureWeight
		n.pauses, n.pauseUntil = 0, time.Time{}
	case ResultRefused:
		n.pauses, n.pauseUntil = 0, time.Time{}
	case ResultFailed, ResultBroken:
		n.failures += (1 - n.failures) * failureWeight
	case ResultUnreachable, ResultSilent:
		n.pauses++
		n.pauseUntil = now.Add(pause(n.pauses))
	}
}

// pause is how long something is left out after its nth failure in a row.
func pause(n int) time.Duration { return min(pauseMost, pauseFirst<<min(n-1, 8)) }

// observeWay notes what a result says of the way to the target's failure domain:
// when two targets there are silent in a row, all of it is left out for a while.
func (p *Balancer) observeWay(now time.Time, e basillift.Endpoint, r Result) {
	if e.Domain() == p.domain {
		return
	}
	w := p.remote[e.Domain()]
	if w == nil {
		w = &remote{}
		p.remote[e.Domain()] = w
	}
	switch r {
	case ResultAnswered, ResultRefused, ResultFailed, ResultBroken, ResultUnreachable:
		*w = remote{}
	case ResultSilent:
		if w.silent != "" && (w.silent != e.Instance() || w.pauses > 0) {
			w.pauses++
			w.pauseUntil = now.Add(pause(w.pauses))
		}
		w.silent = e.Instance()
	}
}

// paused reports whether a target is left out.
func (p *Balancer) paused(now time.Time, e basillift.Endpoint) bool {
	if w := p.remote[e.Domain()]; w != nil && now.Before(w.pauseUntil) {
		return true
	}
	return now.Before(p.peer(now, e.Instance()).pauseUntil)
}

func (p *Balancer) peer(now time.Time, instance string) *peer {
	n := p.peers[instance]
	if n == nil {
		n = &peer{}
		p.peers[instance] = n
	}
	n.seen = now
	return n
}

// SlowLink reports whether large bodies may have to wait for the link of a target's VM: unless a load report says
// that it is fast.
func (p *Balancer) SlowLink(instance string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := p.peers[instance]
	if n == nil || n.reported.IsZero() {
		return true
	}
	_, thin := n.load.SlowLink()
	return thin
}

// ReportAge is the age of the load report of a target; 0 if there is none.
func (p *Balancer) ReportAge(now time.Time, instance string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := p.peers[instance]
	if n == nil || n.reported.IsZero() {
		return 0
	}
	return now.Sub(n.reported)
}

// Explain describes what is known of a target, and what it would cost a request.
func (p *Balancer) Explain(now time.Time, t *blfleet.Target, a Request) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := t.Endpoint()
	n := p.peer(now, e.Instance())
	state := "usable"
	if p.paused(now, e) {
		state = "left out"
	}
	news := "no report of its load"
	if !n.reported.IsZero() {
		news = fmt.Sprintf("%d run and %d wait on %d slots for %s each, as of %s ago", n.load.Running(), n.load.Queued(),
			n.load.Slots(), n.load.MeanServiceTime().Round(time.Millisecond), now.Sub(n.reported).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, in %s, %d of this daemon in flight, failure rate %.2f, %s, cost %.3f",
		state, e.Domain(), n.inFlight, n.failures, news, p.cost(now, t, a))
}

// Forget drops what is known of targets that were not looked at for a while.
func (p *Balancer) Forget(now time.Time, after time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for instance, n := range p.peers {
		if n.inFlight == 0 && now.Sub(n.seen) > after {
			delete(p.peers, instance)
		}
	}
}
