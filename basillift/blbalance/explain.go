package blbalance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
)

// Status says whether a target can get a request.
type Status string

// The states of a target.
const (
	StatusUsable  Status = "usable"
	StatusPaused  Status = "paused"
	StatusLeaving Status = "leaving"
	StatusTried   Status = "tried"
)

// Candidate is what the balancer knows of a target, and the target's cost for a request.
type Candidate struct {
	target       *blfleet.Target
	status       Status
	domainPaused bool
	cost         Cost
	state        targetState
	now          time.Time
	requestLimit float64
	coldLimit    float64
	limited      bool
	cold         bool
}

// Explanation describes the choice that Choose would make.
type Explanation struct {
	candidates              []Candidate
	leftOut                 []Candidate
	comparedLocal, local    int
	comparedRemote, remote  int
	pausedOnly, comparesAll bool
}

// Explain describes the choice that Choose would make now. It changes no state.
func (b *Balancer) Explain(now time.Time, targets []*blfleet.Target, exclude []string, request Request) Explanation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	g := b.group(now, targets, exclude)
	usable := slices.Concat(g.local, g.remote)
	e := Explanation{pausedOnly: comparesPaused(len(usable), g.anyUsable), local: len(g.local), remote: len(g.remote)}
	e.comparedLocal, e.comparedRemote = comparedCounts(e.local, e.remote)
	e.comparesAll = e.comparedLocal == e.local && e.comparedRemote == e.remote
	if e.pausedOnly {
		usable = g.paused
		e.comparesAll = len(g.paused) <= localCandidates
	}
	for _, t := range targets {
		c := b.candidate(now, t, exclude, request)
		if slices.Contains(usable, t) {
			e.candidates = append(e.candidates, c)
		} else {
			e.leftOut = append(e.leftOut, c)
		}
	}
	slices.SortStableFunc(e.candidates, func(a, b Candidate) int { return cmp.Compare(a.cost.Total(), b.cost.Total()) })
	return e
}

func (b *Balancer) candidate(now time.Time, t *blfleet.Target, exclude []string, request Request) Candidate {
	e := t.Endpoint()
	state := b.peek(e.Instance())
	c := Candidate{target: t, status: StatusUsable, domainPaused: b.domainPaused(now, e.Domain()), cost: b.cost(now, t, state, request), state: *state, now: now}
	if b.paused(now, e, state) {
		c.status = StatusPaused
	}
	if slices.Contains(exclude, e.Instance()) {
		c.status = StatusTried
	}
	if _, leaving := b.advisories.Leaving(e); leaving {
		c.status = StatusLeaving
	}
	c.requestLimit, c.limited = b.advisories.Limit(now, e)
	c.coldLimit, c.cold = b.coldLimit(now, t, state)
	return c
}

// Candidates returns the targets that the request may be sent to, the cheapest first.
func (e Explanation) Candidates() []Candidate { return e.candidates }

// LeftOut returns the targets that the request is not sent to.
func (e Explanation) LeftOut() []Candidate { return e.leftOut }

// Random reports whether only a few random candidates are compared, so that the cheapest of all may not be among them.
func (e Explanation) Random() bool { return !e.comparesAll }

// String describes which of the candidates are compared.
func (e Explanation) String() string {
	random := ""
	if e.Random() {
		random = ", at random"
	}
	switch {
	case len(e.candidates) == 0:
		return "no target is left to compare"
	case e.pausedOnly:
		return fmt.Sprintf("all targets are paused; %d of %d are compared%s; the cheapest gets the request",
			min(localCandidates, len(e.candidates)), len(e.candidates), random)
	default:
		return fmt.Sprintf("%d of %d local and %d of %d remote targets are compared%s; the cheapest gets the request",
			e.comparedLocal, e.local, e.comparedRemote, e.remote, random)
	}
}

// Target returns the target.
func (c Candidate) Target() *blfleet.Target { return c.target }

// Status says whether the target can get a request.
func (c Candidate) Status() Status { return c.status }

// Cost returns the cost of the request at the target.
func (c Candidate) Cost() Cost { return c.cost }

// ColdLimit returns how many requests per second the target gets because it is cold; false if it is not.
func (c Candidate) ColdLimit() (perSecond float64, cold bool) { return c.coldLimit, c.cold }

// RequestLimit returns how many requests per second the target accepts; false without a limit.
func (c Candidate) RequestLimit() (perSecond float64, limited bool) { return c.requestLimit, c.limited }

// Report returns the last load report of the target and its age; false without one.
func (c Candidate) Report() (load basillift.Load, age time.Duration, known bool) {
	if c.state.reportedAt.IsZero() {
		return basillift.Load{}, 0, false
	}
	return c.state.load, c.now.Sub(c.state.reportedAt), true
}

// String describes the observed state of the target and its cost, in one line for operators.
func (c Candidate) String() string {
	return fmt.Sprintf("%s, in %s, %d in flight from this daemon, failure rate %.2f, %s, cost %s",
		c.describeStatus(), c.target.Endpoint().Domain(), c.state.inFlight, c.state.failureRate, c.describeReport(), c.cost)
}

func (c Candidate) describeStatus() string {
	text := string(c.status)
	if c.status == StatusPaused && c.domainPaused {
		text += " with its failure domain"
	}
	if c.limited {
		text += fmt.Sprintf(", accepts %.3g requests per second", c.requestLimit)
	}
	if c.cold {
		text += fmt.Sprintf(", cold, gets %.3g requests per second", c.coldLimit)
	}
	return text
}

func (c Candidate) describeReport() string {
	load, age, known := c.Report()
	if !known {
		return "no load report"
	}
	return fmt.Sprintf("%d running and %d queued on %d slots, mean service time %s, reported %s ago", load.Running(), load.Queued(),
		load.Slots(), load.MeanServiceTime().Round(time.Millisecond), age.Round(time.Millisecond))
}

// DescribeQueue says what the last load report suggests about a request that arrives at the target now. Its own daemon decides.
func (c Candidate) DescribeQueue() string {
	load, age, known := c.Report()
	switch {
	case !known:
		return "not known here, no load report"
	case age >= loadReportLifetime:
		return fmt.Sprintf("not known here, the load report of %s ago is too old", age.Round(time.Millisecond))
	case load.Running() < load.Slots() && load.Queued() == 0:
		return fmt.Sprintf("not known here, a slot was free %s ago", age.Round(time.Millisecond))
	default:
		return fmt.Sprintf("not known here, %d requests waited and no slot was free %s ago", load.Queued(), age.Round(time.Millisecond))
	}
}

// String lists the parts of a cost.
func (c Cost) String() string {
	return fmt.Sprintf("%.3f (failures %.3f, utilization %.3f, bytes %.3f, late %.3f with probability %.2f, response %.3f for %s)", c.Total(),
		c.failure, c.utilization, c.transfer, c.late, c.lateProbability, c.response, c.ResponseTime().Round(100*time.Microsecond))
}

// Failure is the failure rate of the target.
func (c Cost) Failure() float64 { return c.failure }

// Utilization is the cost of the slots that are in use.
func (c Cost) Utilization() float64 { return c.utilization }

// Transfer is the cost of the bytes to another failure domain.
func (c Cost) Transfer() float64 { return c.transfer }

// Late is the cost of an answer after the soft deadline, and its probability.
func (c Cost) Late() (cost, probability float64) { return c.late, c.lateProbability }

// Response is the cost of the expected response time.
func (c Cost) Response() float64 { return c.response }

// ResponseTime is the expected response time.
func (c Cost) ResponseTime() time.Duration {
	return time.Duration(c.responseSeconds * float64(time.Second))
}
