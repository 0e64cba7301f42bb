package blbalance

import (
	"math"
	"time"

	"basillift.dev/basillift/blfleet"
)

// Cost is the expected loss of sending a request to a target, as a share of the request's value, in parts.
type Cost struct {
	failure, utilization, transfer, late, response float64
	lateProbability, responseSeconds               float64
}

// Total is the sum of the parts. It is added up in one order, so that equal parts have equal totals.
func (c Cost) Total() float64 {
	return c.failure + c.utilization + c.transfer + c.late + c.response
}

// cost returns the cost of a request at a target with a state: from a late answer, from a failure, and from the price of bytes
// to another failure domain. Utilization and response time add utilizationCost.
func (b *Balancer) cost(now time.Time, t *blfleet.Target, state *targetState, request Request) Cost {
	e := t.Endpoint()
	pending := state.inFlight
	if now.Sub(state.reportedAt) < loadReportLifetime {
		pending = max(pending, state.load.Running()+state.load.Queued()+state.inFlight-state.inFlightAtReport)
	}
	serviceSeconds := state.serviceSeconds(now, t)
	slots := b.usableSlots(now, t, state, serviceSeconds)
	responseSeconds := serviceSeconds * b.routeFactor(request.route)
	responseSeconds += float64(serviceSeconds * max(0, float64(pending+1)-slots) / slots)
	if backlog, slow := state.load.SlowLink(); slow && request.bytes >= LargeBodyBytes {
		responseSeconds += max(0, backlog-now.Sub(state.reportedAt)).Seconds()
	}
	c := Cost{failure: state.failureRate, utilization: float64(utilizationCost * float64(pending) / slots)}
	if e.Domain() != b.domain {
		responseSeconds += remoteRoundTrip.Seconds()
		c.transfer = remoteByteCost * float64(request.bytes)
	}
	c.responseSeconds = responseSeconds
	c.lateProbability = lateProbability(responseSeconds, request.softDeadline.Sub(now).Seconds())
	c.late, c.response = float64(lateAnswerLoss*c.lateProbability), float64(utilizationCost*responseSeconds)
	return c
}

// usableSlots is how many requests a target runs at once: those for which it has slots, or fewer if it accepts too few per
// second to keep its slots busy, or gets too few because it is cold.
func (b *Balancer) usableSlots(now time.Time, t *blfleet.Target, state *targetState, serviceSeconds float64) float64 {
	e := t.Endpoint()
	slots := float64(defaultSlots)
	if e.Slots() > 0 {
		slots = float64(e.Slots())
	}
	if perSecond, limited := b.advisories.Limit(now, e); limited {
		slots = min(slots, max(minUsableSlots, perSecond*serviceSeconds))
	}
	if perSecond, limited := b.coldLimit(now, t, state); limited {
		slots = min(slots, max(minUsableSlots, perSecond*serviceSeconds))
	}
	return slots
}

// serviceSeconds returns the expected mean service time of a target.
func (s *targetState) serviceSeconds(now time.Time, t *blfleet.Target) float64 {
	serviceTime := defaultServiceTime
	if s.load.MeanServiceTime() > 0 {
		serviceTime = s.load.MeanServiceTime()
	}
	if now.Before(t.WarmupEnd()) {
		serviceTime *= warmupFactor
	}
	return serviceTime.Seconds()
}

// lateProbability returns the probability that a request with an expected response time takes longer than the time
// that remains. It approximates the tail of the normal distribution by a logistic function.
func lateProbability(expectedSeconds, remainingSeconds float64) float64 {
	z := (remainingSeconds - expectedSeconds) / (responseTimeVariation * expectedSeconds)
	return 1 / (1 + math.Exp(1.702*z))
}

func (b *Balancer) routeFactor(route string) float64 {
	if f, known := b.routeFactors[route]; known {
		return f
	}
	return 1
}

// observeRouteTime updates the moving average of a route's response time, relative to the mean of the target.
func (b *Balancer) observeRouteTime(route string, ratio float64) {
	f, known := b.routeFactors[route]
	if !known && len(b.routeFactors) >= maxRoutes {
		clear(b.routeFactors)
	}
	if !known {
		f = 1
	}
	b.routeFactors[route] = f + (ratio-f)*routeSmoothing
}
