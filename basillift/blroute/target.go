package blroute

import (
	"math"
	"time"
)

const (
	// decayTimeConstant is the time constant of the exponential decay: observations
	// of that age count 1/e.
	decayTimeConstant = 5 * time.Second
	// failurePenalty is the in-flight time that a failure adds. It is far above the
	// usual latency, so that a target that fails fast looks busy.
	failurePenalty = time.Second
	// refusalBackoff is how long a target that refused a call counts as saturated.
	// The daemon sees only its own calls; a refusal is its sign of the load that
	// other daemons put on the target.
	refusalBackoff = 100 * time.Millisecond
	// minFailuresToEject and minFailureRatio, the ratio of failures to completions, must
	// both be reached before errors eject a target. One error in a quiet period, or a
	// few percent under load, is not enough.
	minFailuresToEject = 3
	minFailureRatio    = 0.5
	// minSlowStartFactor is the factor at the beginning of the slow start. At zero the
	// target would get no calls and never be measured.
	minSlowStartFactor = 0.1
	// priorObservations is the number of observations that the mean latency over all
	// targets counts for in the estimate of one target.
	priorObservations = 1
)

// target holds what this daemon observed about one target. The slow start begins
// when the target is first seen, restarts or returns from an ejection.
type target struct {
	incarnation     uint64
	slowStartAt     time.Time
	inFlight        int
	updated         time.Time
	inFlightSeconds float64 // decayed
	completions     float64 // decayed
	failures        float64 // decayed
	saturatedUntil  time.Time
	ejectedUntil    time.Time
	ejections       int
	lastEjection    time.Duration
}

// advance decays the statistics and adds the in-flight time since the last update.
func (t *target) advance(now time.Time) {
	elapsed := now.Sub(t.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	if now.After(t.ejectedUntil) && !t.updated.After(t.ejectedUntil) && t.ejections > 0 {
		// The failures caused the ejection that has now ended. From here on the slow
		// start limits the calls that the target gets.
		t.inFlightSeconds, t.completions, t.failures = 0, 0, 0
	}
	decay := math.Exp(-elapsed / decayTimeConstant.Seconds())
	t.inFlightSeconds = t.inFlightSeconds*decay + float64(t.inFlight)*elapsed
	t.completions *= decay
	t.failures *= decay
	t.updated = now
}

// estimatedLatency returns the estimated latency in seconds; prior is the mean over
// all targets.
func (t *target) estimatedLatency(prior float64) float64 {
	return (t.inFlightSeconds + priorObservations*prior) / (t.completions + priorObservations)
}

// slowStartFactor is the fraction of its full share that a target gets. It rises
// from minSlowStartFactor to 1 during the slow start.
func (t *target) slowStartFactor(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(t.slowStartAt)
	if age >= slowStart {
		return 1
	}
	return max(minSlowStartFactor, age.Seconds()/slowStart.Seconds())
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// saturated reports whether this daemon's calls use the given fraction of the
// target's slots, or whether the target refused a call within refusalBackoff.
func (t *target) saturated(now time.Time, slots int, spillThreshold float64) bool {
	if now.Before(t.saturatedUntil) {
		return true
	}
	return slots > 0 && float64(t.inFlight) >= spillThreshold*float64(slots)
}

// recordFailure counts a failure and ejects the target if there were enough. One
// conclusive failure, a broken or refused connection, is enough.
func (t *target) recordFailure(now time.Time, s Settings, conclusive bool) {
	t.failures++
	t.inFlightSeconds += failurePenalty.Seconds()
	if t.ejected(now) {
		return
	}
	if !conclusive && (t.failures < minFailuresToEject || t.failures < minFailureRatio*t.completions) {
		return
	}
	t.eject(now, s)
}

// eject ejects the target for a time that doubles with each ejection. It starts again
// at the minimum if the target, since its last ejection ended, stayed healthy for
// longer than that ejection and the slow start.
func (t *target) eject(now time.Time, s Settings) {
	if t.ejections > 0 && now.Sub(t.ejectedUntil) > max(t.lastEjection, s.slowStart) {
		t.ejections = 0
	}
	t.ejections++
	t.lastEjection = min(s.minEjection<<min(t.ejections-1, 10), s.maxEjection)
	t.ejectedUntil = now.Add(t.lastEjection)
	t.slowStartAt = t.ejectedUntil
	t.failures = 0
}
