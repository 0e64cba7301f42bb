package bladmit

import "time"

const (
	// halvingRunTime is the total run time after which all observations are halved, so that older ones count less.
	// It corresponds to some minutes of a busy target.
	halvingRunTime = 2000 * time.Second
	// parentPrior is the prior of a route's call rate: this many calls in as many seconds of run time are assumed
	// before any call is observed.
	parentPrior = 1.0
)

// ParentEstimator estimates which of the routes whose requests a target runs has made a nested call. In this file, a
// call is always a nested call. A call carries no reference to its parent, and several requests run at a time. But
// calls of a route are frequent while requests of the parent's route run, and no more frequent than otherwise while
// requests of other routes run. Each call is divided among the routes that run, in proportion to the number of their
// running requests and to the call rate attributed to them so far. This is one step of expectation maximization. It is
// not safe for concurrent use.
type ParentEstimator struct {
	routes map[string]*parentRoute
	// callCounts holds the calls attributed to each parent route, by route of the call.
	callCounts   map[string]map[string]float64
	totalRunTime time.Duration
}

// parentRoute holds the statistics of a route whose requests run at the target.
type parentRoute struct {
	running int
	rank    int
	// retries is the expected number of retries among the running requests.
	retries    float64
	runSeconds float64
}

// NewParentEstimator returns an estimator without observations.
func NewParentEstimator() *ParentEstimator {
	return &ParentEstimator{routes: make(map[string]*parentRoute), callCounts: make(map[string]map[string]float64)}
}

// Parent describes the route whose requests have most likely made a call.
type Parent struct {
	route            string
	rank             int
	retryProbability float64
}

// Route is the name of the parent's route.
func (p Parent) Route() string { return p.route }

// Rank is the rank of the route's last request that started; a lower rank goes first.
func (p Parent) Rank() int { return p.rank }

// RetryProbability is the mean probability that a running request of the route is a retry, from 0 to 1.
func (p Parent) RetryProbability() float64 { return p.retryProbability }

// Started records that the target runs a request of a route. RetryProbability is the probability that the request
// is a retry, from 0 to 1.
func (e *ParentEstimator) Started(route string, rank int, retryProbability float64) {
	p := e.routes[route]
	if p == nil {
		if len(e.routes) >= maxRoutes {
			e.pruneIdle()
		}
		p = &parentRoute{}
		e.routes[route] = p
	}
	p.running++
	p.rank = rank
	p.retries += retryProbability
}

// Ended records the end of a request that was passed to Started with the same route and retryProbability.
func (e *ParentEstimator) Ended(route string, retryProbability float64, runTime time.Duration) {
	p := e.routes[route]
	if p == nil {
		return
	}
	p.running = max(0, p.running-1)
	p.retries = max(0, p.retries-retryProbability)
	p.runSeconds += runTime.Seconds()
	if e.totalRunTime += runTime; e.totalRunTime > halvingRunTime {
		e.halve()
	}
}

// RunSeconds is the total run time of a route's requests in seconds; older requests count less.
func (e *ParentEstimator) RunSeconds(route string) float64 {
	if p := e.routes[route]; p != nil {
		return p.runSeconds
	}
	return 0
}

// AttributeCall records a call of callRoute: it attributes a fraction of the call to each route with running requests, and
// returns the route that has most likely made it. Use it once for each call. Found is false if no request runs.
func (e *ParentEstimator) AttributeCall(callRoute string) (parent Parent, found bool) {
	parent, total := e.likelyParent(callRoute)
	if total == 0 {
		return Parent{}, false
	}
	counts := e.callCounts[callRoute]
	if counts == nil {
		if len(e.callCounts) >= maxRoutes {
			clear(e.callCounts)
		}
		counts = make(map[string]float64)
		e.callCounts[callRoute] = counts
	}
	for route, p := range e.routes {
		if w := p.likelihood(counts[route]); w > 0 {
			counts[route] += w / total
		}
	}
	return parent, true
}

// likelihood is the relative likelihood that a running request of the route has made a call, given the number of such
// calls attributed to the route so far.
func (p *parentRoute) likelihood(calls float64) float64 {
	return float64(p.running) * (calls + parentPrior) / (p.runSeconds + parentPrior)
}

// halve halves the run times and the attributed calls of all routes.
func (e *ParentEstimator) halve() {
	e.totalRunTime /= 2
	for _, p := range e.routes {
		p.runSeconds /= 2
	}
	for _, counts := range e.callCounts {
		for route := range counts {
			counts[route] /= 2
		}
	}
}

// pruneIdle removes the routes without running requests.
func (e *ParentEstimator) pruneIdle() {
	for route, p := range e.routes {
		if p.running == 0 {
			delete(e.routes, route)
		}
	}
}
