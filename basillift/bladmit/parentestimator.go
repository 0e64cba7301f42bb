package bladmit

import "time"

const (
	// lineageMemory is how much run time is remembered before older observations count half: some minutes of a
	// busy target.
	lineageMemory = 2000 * time.Second
	// lineagePrior is how many calls in as many seconds of run time a lane is assumed to have made before any
	// was observed.
	lineagePrior = 1.0
)

// ParentEstimator tells which of the requests that a target runs has most likely made a call. A call says nothing of its
// parent, and several requests run at a time; but calls of a lane come often while requests of a parent's lane run, and
// as often as otherwise while others do. Each call is shared out over the lanes that run, by how many of each run and
// by how often they were found to call, which is one step of expectation maximization. It is not safe for concurrent use.
type ParentEstimator struct {
	lanes map[string]*parentLane
	// calls holds the calls of a lane that are put down to each lane of parents.
	calls map[string]map[string]float64
	held  time.Duration
}

// parentLane is a lane of which requests run.
type parentLane struct {
	running int
	rank    int
	// repeats is how many of those that run are repeats.
	repeats float64
	held    float64
}

// NewParentEstimator returns an estimator that knows nothing.
func NewParentEstimator() *ParentEstimator {
	return &ParentEstimator{lanes: make(map[string]*parentLane), calls: make(map[string]map[string]float64)}
}

// Parent is what is known of the request that has made a call.
type Parent struct {
	lane   string
	rank   int
	repeat float64
}

// Route is the route of the parent.
func (p Parent) Route() string { return p.lane }

// Rank is the rank of the parent.
func (p Parent) Rank() int { return p.rank }

// RetryProbability is how likely it is that the parent is a repeat, from 0 to 1.
func (p Parent) RetryProbability() float64 { return p.repeat }

// Started notes that the target runs a request of a lane with a rank. Repeat tells how likely it is that it is one.
func (l *ParentEstimator) Started(lane string, rank int, repeat float64) {
	p := l.lanes[lane]
	if p == nil {
		if len(l.lanes) >= lanesMost {
			l.prune()
		}
		p = &parentLane{}
		l.lanes[lane] = p
	}
	p.running++
	p.rank = rank
	p.repeats += repeat
}

// Ended notes that a request that was Started has run for a time.
func (l *ParentEstimator) Ended(lane string, repeat float64, held time.Duration) {
	p := l.lanes[lane]
	if p == nil {
		return
	}
	p.running = max(0, p.running-1)
	p.repeats = max(0, p.repeats-repeat)
	p.held += held.Seconds()
	if l.held += held; l.held > lineageMemory {
		l.forget()
	}
}

// RunTime is for how long requests of a lane ran, the older ones counted less, in seconds.
func (l *ParentEstimator) RunTime(lane string) float64 {
	if p := l.lanes[lane]; p != nil {
		return p.held
	}
	return 0
}

// Parent is the request that has most likely made a call of a lane; false if none runs.
func (l *ParentEstimator) Parent(call string) (parent Parent, known bool) {
	made := l.calls[call]
	total, most := 0.0, 0.0
	for lane, p := range l.lanes {
		w := p.weight(made[lane])
		total += w
		if w > most || w == most && w > 0 && lane < parent.lane {
			parent, most = Parent{lane: lane, rank: p.rank, repeat: min(1, p.repeats/float64(p.running))}, w
		}
	}
	if total == 0 {
		return Parent{}, false
	}
	if made == nil {
		if len(l.calls) >= lanesMost {
			clear(l.calls)
		}
		made = make(map[string]float64)
		l.calls[call] = made
	}
	for lane, p := range l.lanes {
		if w := p.weight(made[lane]); w > 0 {
			made[lane] += w / total
		}
	}
	return parent, true
}

// weight is how likely it is that a request of the lane has made a call, if so many calls are put down to the lane.
func (p *parentLane) weight(calls float64) float64 {
	return float64(p.running) * (calls + lineagePrior) / (p.held + lineagePrior)
}

// forget halves all observations.
func (l *ParentEstimator) forget() {
	l.held /= 2
	for _, p := range l.lanes {
		p.held /= 2
	}
	for _, made := range l.calls {
		for lane := range made {
			made[lane] /= 2
		}
	}
}

// prune drops the lanes of which nothing runs.
func (l *ParentEstimator) prune() {
	for lane, p := range l.lanes {
		if p.running == 0 {
			delete(l.lanes, lane)
		}
	}
}
