package labtarget

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// FalseReport says how the health and load endpoints misreport the target.
type FalseReport string

// The false reports. FalseReportIdle reports a ready target without load;
// FalseReportFull reports a draining target whose slots are all in use.
const (
	FalseReportNone FalseReport = ""
	FalseReportIdle FalseReport = "idle"
	FalseReportFull FalseReport = "full"
)

// ErrInvalidValue means that a switch or a header has a value that is not allowed.
var ErrInvalidValue = eris.New("invalid value")

// maxSamples taken at sampleInterval cover the 10 s that reports can lag.
const (
	maxSamples     = 1000
	sampleInterval = 10 * time.Millisecond
)

// maxLagMs is the largest lag that the stored samples cover.
const maxLagMs = int(maxSamples * sampleInterval / time.Millisecond)

// switchBody is the body of POST /lab/switch. Each request replaces all switches; a
// switch whose field is missing is off.
type switchBody struct {
	LagMs       int         `json:"lag"`
	FalseReport FalseReport `json:"lie"`
	Drain       bool        `json:"drain"`
	ShedRatio   float64     `json:"shed"`
}

func (b switchBody) validate() error {
	switch {
	case b.LagMs < 0 || b.LagMs > maxLagMs:
		return fmt.Errorf("lag is %d ms, must be 0 to %d ms: %w", b.LagMs, maxLagMs, ErrInvalidValue)
	case b.FalseReport != FalseReportNone && b.FalseReport != FalseReportIdle && b.FalseReport != FalseReportFull:
		return fmt.Errorf("lie is %q, must be \"\", %q or %q: %w", b.FalseReport, FalseReportIdle, FalseReportFull, ErrInvalidValue)
	case b.ShedRatio < 0 || b.ShedRatio > 1:
		return fmt.Errorf("shed is %v, must be 0 to 1: %w", b.ShedRatio, ErrInvalidValue)
	}
	return nil
}

// sample is the actual load at a time.
type sample struct {
	at   time.Time
	load Load
}

// Reporter turns the actual load into the load that the endpoints report. It is not
// safe for concurrent use; its Target guards it with a mutex.
type Reporter struct {
	lag         time.Duration
	falseReport FalseReport
	samples     []sample
}

// SetSwitches sets the lag and the false report.
func (r *Reporter) SetSwitches(lag time.Duration, falseReport FalseReport) {
	r.lag, r.falseReport = lag, falseReport
}

// Sample stores the actual load l for reports that lag.
func (r *Reporter) Sample(now time.Time, l Load) {
	if len(r.samples) >= maxSamples {
		r.samples = append(r.samples[:0], r.samples[len(r.samples)-maxSamples+1:]...)
	}
	r.samples = append(r.samples, sample{at: now, load: l})
}

// Report returns the load that the endpoints report while the actual load is l.
func (r *Reporter) Report(now time.Time, l Load) Load {
	switch r.falseReport {
	case FalseReportIdle:
		return Load{slots: l.slots, state: StateReady}
	case FalseReportFull:
		return Load{slots: l.slots, used: l.slots, queued: l.slots, state: StateDraining}
	}
	if r.lag == 0 || len(r.samples) == 0 {
		return l
	}
	reported := r.samples[0].load
	for _, s := range r.samples {
		if s.at.After(now.Add(-r.lag)) {
			break
		}
		reported = s.load
	}
	return reported
}
