package blroute

import (
	"time"
)

const (
	// hedgeShare is the part of calls that may be hedged.
	hedgeShare = 0.05
	// hedgeBurst bounds the unused tokens.
	hedgeBurst = 5
	// hedgeQuantile is the part of calls that end before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeSamples is the number of calls before the quantile is trusted.
	hedgeSamples = 100
	// quantileStep is the relative step of the quantile estimate for each call.
	quantileStep = 0.05
)

// Hedger decides when a second copy of a slow call is sent. Keep one for each
// service. It is not safe for concurrent use.
type Hedger struct {
	tokens   float64
	quantile float64 // seconds
	samples  int
}

// NewHedger returns a hedger that knows no latencies yet.
func NewHedger() *Hedger { return &Hedger{} }

// Started adds the share of one call to the budget. Hedges add nothing.
func (h *Hedger) Started(time.Time) { h.tokens = min(hedgeBurst, h.tokens+hedgeShare) }

// Finished notes the latency of a call that was not hedged. The estimate moves up
// by 19 steps for each slower call and down by 1 for each faster one, so that it
// rests where 5% of calls are slower.
func (h *Hedger) Finished(_ time.Time, elapsed time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.quantile = elapsed.Seconds()
		return
	}
	if elapsed.Seconds() > h.quantile {
		h.quantile *= 1 + quantileStep*hedgeQuantile
	} else {
		h.quantile *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// Delay is how long after its start an idempotent call is hedged, or false while
// too few calls have ended.
func (h *Hedger) Delay() (time.Duration, bool) {
	return time.Duration(h.quantile * float64(time.Second)), h.samples >= hedgeSamples
}

// Hedge decides whether to send a second copy of a call that has run for the given
// time, and takes its token. A keyed or non-idempotent call is never hedged: both
// copies may run.
func (h *Hedger) Hedge(_ time.Time, elapsed time.Duration, idempotent, keyed bool) bool {
	delay, known := h.Delay()
	if !known || elapsed < delay || !idempotent || keyed || h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
