package blroute

import "time"

// Result is how one attempt at a target ended, as the caller's daemon saw it.
type Result string

// The results of an attempt. Refused means that the target said "not run"; slow
// means that it did not answer in time; crashed means that the connection broke
// while the call ran.
const (
	ResultOK            Result = "ok"
	ResultSlow          Result = "slow"
	ResultError         Result = "error"
	ResultRefused       Result = "refused"
	ResultConnectFailed Result = "connect-failed"
	ResultCrashed       Result = "crashed"
)

// Settings tunes a Chooser.
type Settings struct {
	subset    int
	slowStart time.Duration
	ejectMin  time.Duration
	ejectMax  time.Duration
	spill     float64
}

// DefaultSettings returns the figures of the design page: 16 targets, a slow
// start of 10 s, ejection for 1 s to 30 s, and spill above 80% in-flight use.
func DefaultSettings() Settings {
	return Settings{
		subset: 16, slowStart: 10 * time.Second,
		ejectMin: time.Second, ejectMax: 30 * time.Second, spill: 0.8,
	}
}

// WithSubset returns a copy that uses at most the given number of targets of a service.
func (s Settings) WithSubset(count int) Settings {
	s.subset = max(1, count)
	return s
}

// WithSlowStart returns a copy with another ramp for new targets.
func (s Settings) WithSlowStart(d time.Duration) Settings {
	s.slowStart = d
	return s
}

// Subset is the most targets of a service that one daemon uses.
func (s Settings) Subset() int { return s.subset }

// SlowStart is how long a new target gets less than its share.
func (s Settings) SlowStart() time.Duration { return s.slowStart }

// Spill is the in-flight use of a target's slots above which calls go elsewhere.
func (s Settings) Spill() float64 { return s.spill }
