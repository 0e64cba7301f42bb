package bladmit

import (
	"math"
	"time"
)

const (
	// movingMeanSmoothing is the smoothing factor of the mean service time of a route.
	movingMeanSmoothing = 1.0 / 16
	// serviceTimeBoundDeviations is the number of mean deviations between the mean service time and its upper
	// bound. Service times are skewed towards long ones, so the bound is this far above the mean. It is meant to
	// let 19 of 20 admitted requests meet their soft deadline.
	serviceTimeBoundDeviations = 2.5
	// defaultServiceTimeFraction is the service time that is assumed for a route without observations, as a
	// fraction of its latency objective. After a start no route has observations, and targets are usually slow.
	defaultServiceTimeFraction = 0.5
)

// movingMean is an exponential moving average in seconds, with its mean deviation.
type movingMean struct {
	value     float64
	deviation float64
	count     int
}

func (m *movingMean) known() bool { return m != nil && m.count > 0 }

func (m *movingMean) add(v float64) {
	m.count++
	if m.count == 1 {
		m.value, m.deviation = v, v/2
		return
	}
	// The first observations are averaged with equal weights, so that the first one does not dominate.
	smoothing := max(movingMeanSmoothing, 1/float64(m.count))
	m.deviation += (math.Abs(v-m.value) - m.deviation) * smoothing
	m.value += (v - m.value) * smoothing
}

// ServiceTimeBound is an estimated upper bound of the request's service time; single requests may exceed it.
func (q *DeadlineQueue) ServiceTimeBound(r SlotRequest) time.Duration {
	return seconds(q.serviceTimeBoundSeconds(r))
}

// serviceTimeBoundSeconds is an estimated upper bound of the request's service time.
func (q *DeadlineQueue) serviceTimeBoundSeconds(r SlotRequest) float64 {
	if m := q.routes[r.route]; m.known() {
		return m.value + serviceTimeBoundDeviations*m.deviation
	}
	return defaultServiceTimeFraction * r.latencyObjective.Seconds()
}

// meanServiceSeconds is the mean service time of a route. Without observations of the route it is the mean of all
// routes, and without any observation a fraction of the request's latency objective.
func (q *DeadlineQueue) meanServiceSeconds(route string, r SlotRequest) float64 {
	switch m := q.routes[route]; {
	case m.known():
		return m.value
	case q.overall.known():
		return q.overall.value
	default:
		return defaultServiceTimeFraction * r.latencyObjective.Seconds()
	}
}

func (q *DeadlineQueue) observe(route string, serviceSeconds float64) {
	q.overall.add(serviceSeconds)
	m := q.routes[route]
	if m == nil {
		if len(q.routes) >= maxRoutes {
			clear(q.routes)
		}
		m = &movingMean{}
		q.routes[route] = m
	}
	m.add(serviceSeconds)
}
