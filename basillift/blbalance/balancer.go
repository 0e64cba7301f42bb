package blbalance

import (
	"math/rand"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladvisory"
	"basillift.dev/basillift/blfleet"
)

const (
	// remoteRoundTrip is the round-trip time to another failure domain.
	remoteRoundTrip = 2 * time.Millisecond
	// remoteByteCost is the price of one byte of traffic to another failure domain, as a share of the value of a
	// request. In the users' price list, 100 KB cost about as much as one request earns.
	remoteByteCost = 1e-5
	// lateAnswerLoss is the share of its value that an answer loses when it arrives after the soft deadline.
	lateAnswerLoss = 0.7
	// responseTimeVariation is the standard deviation of the response time of a target, as a share of its mean.
	responseTimeVariation = 0.4
	// utilizationCost is the cost of a fully used target in addition to the wait, so that load is spread before
	// requests have to queue. It is also the cost of each second of the expected response time.
	utilizationCost = 0.02
	// defaultServiceTime is assumed for a target without a load report.
	defaultServiceTime = 50 * time.Millisecond
	// defaultSlots is assumed for a target that does not declare its number of slots.
	defaultSlots = 8
	// minUsableSlots bounds the expected wait for a target that accepts almost no requests.
	minUsableSlots = 0.01
	// warmupFactor multiplies the service time of a target that has just started.
	warmupFactor = 2
	// loadReportLifetime is how long a load report is used. A busy target sends a few answers in this time, each
	// with a new report.
	loadReportLifetime = time.Second
	// minPause and maxPause bound how long a target gets no requests after failures. The minimum is a few round
	// trips. The maximum is well below the time for which a restarted target may stay unused.
	minPause = 150 * time.Millisecond
	maxPause = 2 * time.Second
	// probeTimeout is how long to wait for the result of the first request after a pause before the next one is sent.
	probeTimeout = 200 * time.Millisecond
	// failureSmoothing is the smoothing factor of the failure rate.
	failureSmoothing = 0.1
	// routeSmoothing is the smoothing factor of the relative response time of a route.
	routeSmoothing = 1.0 / 32
	// maxRoutes bounds the number of routes whose response time is tracked.
	maxRoutes = 4096
	// localCandidates and minRemoteCandidates are the numbers of targets compared for a request. Additional remote
	// candidates replace missing local ones.
	localCandidates     = 3
	minRemoteCandidates = 1
)

// LargeBodyBytes is the size from which a body waits for its turn on a slow link. Its transfer takes 26 ms at 5 Mbit/s.
const LargeBodyBytes = 16 << 10

// Result is the result of an attempt at a target, as far as it concerns the target.
type Result string

// Results of an attempt.
const (
	// ResultAnswered means that the target sent an answer that is not a failure.
	ResultAnswered Result = "answered"
	// ResultRefused means that the request was refused for lack of capacity and did not run.
	ResultRefused Result = "refused"
	// ResultFailed means that the target answered with a failure.
	ResultFailed Result = "failed"
	// ResultBroken means that the connection broke or the answer was not usable.
	ResultBroken Result = "broken"
	// ResultSilent means that no bytes came back before the timeout.
	ResultSilent Result = "silent"
	// ResultUnreachable means that the daemon beside the target did not accept the request.
	ResultUnreachable Result = "unreachable"
	// ResultCanceled means that the caller disconnected or its deadline passed.
	ResultCanceled Result = "canceled"
)

// Request describes a request that needs a target. Requests of one route are expected to have similar service times.
type Request struct {
	route        string
	bytes        int
	softDeadline time.Time
}

// NewRequest describes a request by its route, the total size of request and answer in bytes, and its soft deadline.
func NewRequest(route string, bytes int, softDeadline time.Time) Request {
	return Request{route: route, bytes: bytes, softDeadline: softDeadline}
}

// Balancer chooses targets for the requests of one daemon and tracks their load and failures. It is safe for
// concurrent use.
type Balancer struct {
	mutex  sync.Mutex
	domain basillift.FailureDomain
	// advisories is what the targets say about themselves.
	advisories *bladvisory.Tracker
	rnd        *rand.Rand
	targets    map[string]*targetState
	domains    map[basillift.FailureDomain]*domainState
	// coldStart and evacuationEnded are set by SetColdStarts.
	coldStart       func(service string) (warmup time.Duration, perSecond float64, limited bool)
	evacuationEnded func(basillift.FailureDomain) (at time.Time, known bool)
	// routeFactors holds the response time of each route, relative to the mean service time of its targets.
	routeFactors map[string]float64
}

// domainState is the observed state of the network to a failure domain.
type domainState struct {
	// lastSilent is the last target that stayed silent; empty after a response from any target of the domain.
	lastSilent string
	pauses     int
	pauseUntil time.Time
}

// targetState is the observed state of one target.
type targetState struct {
	inFlight   int
	load       basillift.Load
	reportedAt time.Time
	// reportedRun is the start of the run of the target that the report is about.
	reportedRun      time.Time
	inFlightAtReport int
	failureRate      float64
	pauses           int
	pauseUntil       time.Time
	lastConsidered   time.Time
}

// New returns a balancer for a daemon in the given failure domain, which asks the advisories what targets say about themselves.
func New(domain basillift.FailureDomain, advisories *bladvisory.Tracker, rnd *rand.Rand) *Balancer {
	return &Balancer{domain: domain, advisories: advisories, rnd: rnd, targets: make(map[string]*targetState), domains: make(map[basillift.FailureDomain]*domainState), routeFactors: make(map[string]float64)}
}

// Choose returns the cheapest of a few random targets that are neither excluded nor leaving, or false if none can be used.
func (b *Balancer) Choose(now time.Time, targets []*blfleet.Target, exclude []string, request Request) (*blfleet.Target, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var local, remote, paused []*blfleet.Target
	anyUsable := false
	for _, t := range targets {
		e := t.Endpoint()
		if _, leaving := b.advisories.Leaving(e); leaving {
			continue
		}
		p, usable := b.place(now, e, exclude, b.state(now, e.Instance()))
		anyUsable = anyUsable || usable
		switch p {
		case placementPaused:
			paused = append(paused, t)
		case placementLocal:
			local = append(local, t)
		case placementRemote:
			remote = append(remote, t)
		}
	}
	localCount, remoteCount := comparedCounts(len(local), len(remote))
	candidates := append(b.sample(local, localCount), b.sample(remote, remoteCount)...)
	if comparesPaused(len(candidates), anyUsable) {
		candidates = b.sample(paused, localCandidates)
	}
	best, found := b.cheapest(now, candidates, request)
	if found {
		b.startProbe(now, best.Endpoint())
	}
	return best, found
}

// startProbe extends the pause of a target or failure domain that gets its first request after a pause, so that no
// other request follows until the result is known or probeTimeout has passed.
func (b *Balancer) startProbe(now time.Time, e basillift.Endpoint) {
	until := now.Add(probeTimeout)
	if target := b.state(now, e.Instance()); target.pauses > 0 && target.pauseUntil.Before(until) {
		target.pauseUntil = until
	}
	if domain := b.domains[e.Domain()]; domain != nil && domain.pauses > 0 && domain.pauseUntil.Before(until) {
		domain.pauseUntil = until
	}
}

// sample moves up to count random targets to the front of from and returns them.
func (b *Balancer) sample(from []*blfleet.Target, count int) []*blfleet.Target {
	count = min(count, len(from))
	for i := range count {
		k := i + b.rnd.Intn(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:count:count]
}

func (b *Balancer) cheapest(now time.Time, candidates []*blfleet.Target, request Request) (*blfleet.Target, bool) {
	var best *blfleet.Target
	var leastCost float64
	for _, t := range candidates {
		cost := b.cost(now, t, b.state(now, t.Endpoint().Instance()), request).Total()
		if best == nil || cost < leastCost {
			best, leastCost = t, cost
		}
	}
	return best, best != nil
}

// Started records that a request is sent to a target. Each call must be followed by a call of Ended.
func (b *Balancer) Started(now time.Time, t *blfleet.Target) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.state(now, t.Endpoint().Instance()).inFlight++
}

// Ended records the result and the duration of a request that was passed to Started. The load is nil if the target
// reported none.
func (b *Balancer) Ended(now time.Time, t *blfleet.Target, request Request, result Result, took time.Duration, load *basillift.Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.state(now, t.Endpoint().Instance())
	state.inFlight = max(0, state.inFlight-1)
	if load != nil {
		state.load, state.reportedAt, state.inFlightAtReport = *load, now, state.inFlight
		state.reportedRun = t.Endpoint().StartedAt()
		if result == ResultAnswered && load.Queued() == 0 && load.MeanServiceTime() > 0 {
			b.observeRouteTime(request.route, took.Seconds()/load.MeanServiceTime().Seconds())
		}
	}
	b.observeDomain(now, t.Endpoint(), result)
	switch result {
	case ResultAnswered:
		state.failureRate -= state.failureRate * failureSmoothing
		state.pauses, state.pauseUntil = 0, time.Time{}
	case ResultRefused:
		state.pauses, state.pauseUntil = 0, time.Time{}
	case ResultFailed, ResultBroken:
		state.failureRate += (1 - state.failureRate) * failureSmoothing
	case ResultUnreachable, ResultSilent:
		state.pauses++
		state.pauseUntil = now.Add(pause(state.pauses))
	}
}

// pause returns how long a target or failure domain gets no requests after a number of consecutive failures.
func pause(failures int) time.Duration { return min(maxPause, minPause<<min(failures-1, 8)) }

// observeDomain updates the state of the target's failure domain. When two targets of another domain stay silent in
// a row, the whole domain is paused. Any response, also a refused connection, resets its state.
func (b *Balancer) observeDomain(now time.Time, e basillift.Endpoint, result Result) {
	if e.Domain() == b.domain {
		return
	}
	domain := b.domains[e.Domain()]
	if domain == nil {
		domain = &domainState{}
		b.domains[e.Domain()] = domain
	}
	switch result {
	case ResultAnswered, ResultRefused, ResultFailed, ResultBroken, ResultUnreachable:
		*domain = domainState{}
	case ResultSilent:
		if domain.lastSilent != "" && (domain.lastSilent != e.Instance() || domain.pauses > 0) {
			domain.pauses++
			domain.pauseUntil = now.Add(pause(domain.pauses))
		}
		domain.lastSilent = e.Instance()
	}
}

// paused reports whether a target with a state, or its failure domain, is paused.
func (b *Balancer) paused(now time.Time, e basillift.Endpoint, state *targetState) bool {
	return b.domainPaused(now, e.Domain()) || now.Before(state.pauseUntil)
}

func (b *Balancer) state(now time.Time, instance string) *targetState {
	state := b.targets[instance]
	if state == nil {
		state = &targetState{}
		b.targets[instance] = state
	}
	state.lastConsidered = now
	return state
}

// SlowLink reports whether large bodies may have to wait for the link of a target's VM. It is true until a load
// report says that the link is fast.
func (b *Balancer) SlowLink(instance string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.targets[instance]
	if state == nil || state.reportedAt.IsZero() {
		return true
	}
	_, slow := state.load.SlowLink()
	return slow
}

// ReportAge returns the age of the last load report of a target, or 0 if there is none.
func (b *Balancer) ReportAge(now time.Time, instance string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := b.targets[instance]
	if state == nil || state.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(state.reportedAt)
}

// Forget removes the state of targets that were not considered for the given time and have no requests in flight.
func (b *Balancer) Forget(now time.Time, after time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for instance, state := range b.targets {
		if state.inFlight == 0 && now.Sub(state.lastConsidered) > after {
			delete(b.targets, instance)
		}
	}
}
