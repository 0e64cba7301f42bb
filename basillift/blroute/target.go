package blroute

import (
	"math"
	"time"
)

const (
	// evidenceDecay is the time constant after which old observations count 1/e.
	evidenceDecay = 5 * time.Second
	// failureLoad is the in-flight time that a failure adds. It is far above a
	// usual latency, so that a target that fails fast looks busy.
	failureLoad = time.Second
	// refusalPause is how long a target that refused a call counts as full. The
	// daemon sees only its own calls, and a refusal shows the load of all others.
	refusalPause = 100 * time.Millisecond
	// failuresToEject and failureShare bound ejection by errors: one error in a
	// quiet period, or a few percent under load, ejects nothing.
	failuresToEject = 3
	failureShare    = 0.5
	// rampFloor is the share of a new target at the start of its ramp; at zero it
	// would never be measured.
	rampFloor = 0.1
	// priorWeight is how many observations the mean over all targets counts for.
	priorWeight = 1
)

// target is what the daemon observed of one target.
type target struct {
	incarnation  uint64
	since        time.Time
	inFlight     int
	updated      time.Time
	area         float64 // in-flight seconds, decayed
	completions  float64 // decayed
	failures     float64 // decayed
	fullUntil    time.Time
	ejectedUntil time.Time
	ejections    int
	lastEjection time.Duration
}

// advance accounts for the time since the last observation.
func (t *target) advance(now time.Time) {
	elapsed := now.Sub(t.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	if now.After(t.ejectedUntil) && !t.updated.After(t.ejectedUntil) && t.ejections > 0 {
		// The failures led to the ejection that has ended; the ramp limits what the
		// target gets from here on.
		t.area, t.completions, t.failures = 0, 0, 0
	}
	decay := math.Exp(-elapsed / evidenceDecay.Seconds())
	t.area = t.area*decay + float64(t.inFlight)*elapsed
	t.completions *= decay
	t.failures *= decay
	t.updated = now
}

// latency estimates the latency in seconds; prior is the mean over all targets.
func (t *target) latency(prior float64) float64 {
	return (t.area + priorWeight*prior) / (t.completions + priorWeight)
}

// ramp is the share of its load that a target gets: rampFloor at first, 1 after the slow start.
func (t *target) ramp(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(t.since)
	if age >= slowStart {
		return 1
	}
	return max(rampFloor, age.Seconds()/slowStart.Seconds())
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// full reports whether the target is above the given use of its slots or just refused a call.
func (t *target) full(now time.Time, slots int, spill float64) bool {
	if now.Before(t.fullUntil) {
		return true
	}
	return slots > 0 && float64(t.inFlight) >= spill*float64(slots)
}

// fail counts a failure and ejects the target when the evidence suffices. A
// broken or refused connection is evidence enough on its own.
func (t *target) fail(now time.Time, s Settings, certain bool) {
	t.failures++
	t.area += failureLoad.Seconds()
	if t.ejected(now) {
		return
	}
	if !certain && (t.failures < failuresToEject || t.failures < failureShare*t.completions) {
		return
	}
	t.eject(now, s)
}

// eject doubles the time with each ejection. A target that stayed healthy for
// as long as its last ejection after coming back starts over.
func (t *target) eject(now time.Time, s Settings) {
	if t.ejections > 0 && now.Sub(t.ejectedUntil) > max(t.lastEjection, s.slowStart) {
		t.ejections = 0
	}
	t.ejections++
	t.lastEjection = min(s.ejectMin<<min(t.ejections-1, 10), s.ejectMax)
	t.ejectedUntil = now.Add(t.lastEjection)
	t.since = t.ejectedUntil
	t.failures = 0
}
