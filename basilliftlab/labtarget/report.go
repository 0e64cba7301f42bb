package labtarget

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Lie is how the health and load endpoints mislead.
type Lie string

// The lies. LieIdle reports a ready target without load; LieFull reports a
// draining target whose slots are all in use.
const (
	LieNone Lie = ""
	LieIdle Lie = "idle"
	LieFull Lie = "full"
)

// ErrSwitch means that a switch holds a value that is not allowed.
var ErrSwitch = eris.New("switch out of range")

// maximumSamples at samplePause hold the 10 s that reports can lag.
const (
	maximumSamples = 1000
	samplePause    = 10 * time.Millisecond
)

// maximumLag is the largest lag in ms that the kept samples cover.
const maximumLag = int(maximumSamples * samplePause / time.Millisecond)

// switchBody is the JSON form of the switches. Each POST replaces all of them; a
// field that is absent is off.
type switchBody struct {
	Lag   int     `json:"lag"`
	Lie   Lie     `json:"lie"`
	Drain bool    `json:"drain"`
	Shed  float64 `json:"shed"`
}

func (b switchBody) check() error {
	switch {
	case b.Lag < 0 || b.Lag > maximumLag:
		return fmt.Errorf("lag is %d, allowed are 0 to %d ms: %w", b.Lag, maximumLag, ErrSwitch)
	case b.Lie != LieNone && b.Lie != LieIdle && b.Lie != LieFull:
		return fmt.Errorf("lie is %q, allowed are \"\", %q and %q: %w", b.Lie, LieIdle, LieFull, ErrSwitch)
	case b.Shed < 0 || b.Shed > 1:
		return fmt.Errorf("shed is %v, allowed are 0 to 1: %w", b.Shed, ErrSwitch)
	}
	return nil
}

// sample is the true load at one time.
type sample struct {
	at   time.Time
	load Load
}

// Reporter turns true loads into what the endpoints say. It is not safe for
// concurrent use; its Target guards it.
type Reporter struct {
	lag     time.Duration
	lie     Lie
	samples []sample
}

// Switch sets the lag and the lie.
func (r *Reporter) Switch(lag time.Duration, lie Lie) { r.lag, r.lie = lag, lie }

// Sample keeps the true load for later reports.
func (r *Reporter) Sample(now time.Time, l Load) {
	if len(r.samples) >= maximumSamples {
		r.samples = append(r.samples[:0], r.samples[len(r.samples)-maximumSamples+1:]...)
	}
	r.samples = append(r.samples, sample{at: now, load: l})
}

// Report returns what the endpoints say while the truth is l.
func (r *Reporter) Report(now time.Time, l Load) Load {
	switch r.lie {
	case LieIdle:
		return Load{slots: l.slots, state: StateReady}
	case LieFull:
		return Load{slots: l.slots, used: l.slots, queue: l.slots, state: StateDraining}
	}
	if r.lag == 0 || len(r.samples) == 0 {
		return l
	}
	seen := r.samples[0].load
	for _, s := range r.samples {
		if s.at.After(now.Add(-r.lag)) {
			break
		}
		seen = s.load
	}
	return seen
}
