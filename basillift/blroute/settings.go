package blroute

import "time"

// Result is the result of one attempt at a target, as the caller's daemon saw it.
type Result string

// The results of an attempt. Refused means that the target answered "not run"; slow
// means that it did not answer in time; crashed means that the connection broke
// while the call was running.
const (
	ResultOK            Result = "ok"
	ResultSlow          Result = "slow"
	ResultError         Result = "error"
	ResultRefused       Result = "refused"
	ResultConnectFailed Result = "connect-failed"
	ResultCrashed       Result = "crashed"
)

// Settings are the parameters of a Chooser.
type Settings struct {
	subset         int
	slowStart      time.Duration
	minEjection    time.Duration
	maxEjection    time.Duration
	spillThreshold float64
}

// DefaultSettings returns the values of the design page: 16 targets, a slow start of
// 10 s, ejection for 1 s to 30 s, and a spill threshold of 80% of the slots.
func DefaultSettings() Settings {
	return Settings{
		subset: 16, slowStart: 10 * time.Second,
		minEjection: time.Second, maxEjection: 30 * time.Second, spillThreshold: 0.8,
	}
}

// WithSubset returns a copy that uses at most the given number of targets of a service.
func (s Settings) WithSubset(count int) Settings {
	s.subset = max(1, count)
	return s
}

// WithSlowStart returns a copy with another duration of the slow start.
func (s Settings) WithSlowStart(d time.Duration) Settings {
	s.slowStart = d
	return s
}

// Subset is the maximum number of targets of a service that one daemon uses.
func (s Settings) Subset() int { return s.subset }

// SlowStart is how long a new target gets less than its full share of calls.
func (s Settings) SlowStart() time.Duration { return s.slowStart }

// SpillThreshold is the fraction of a target's slots that this daemon's calls in
// flight may use. At or above it, calls go to other targets.
func (s Settings) SpillThreshold() float64 { return s.spillThreshold }
