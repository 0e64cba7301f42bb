package blroute

import (
	"time"
)

const (
	// hedgeBudgetRatio is the fraction of calls that may be hedged.
	hedgeBudgetRatio = 0.05
	// maxHedgeTokens limits the unused tokens, and so a burst of hedges.
	maxHedgeTokens = 5
	// hedgeQuantile is the latency quantile after which a hedge is sent.
	hedgeQuantile = 0.95
	// minHedgeSamples is the number of finished calls that the estimate of the
	// quantile needs before it is used.
	minHedgeSamples = 100
	// quantileStep is the relative step by which a call changes the estimate of the
	// quantile.
	quantileStep = 0.05
)

// Hedger decides when to send a second copy of a slow call. Use one for each
// service. It is not safe for concurrent use.
type Hedger struct {
	tokens          float64
	quantileSeconds float64
	samples         int
}

// NewHedger returns a hedger without latency samples and without budget.
func NewHedger() *Hedger { return &Hedger{} }

// Started adds the share of one call to the hedging budget. Don't call it for hedges.
func (h *Hedger) Started(time.Time) { h.tokens = min(maxHedgeTokens, h.tokens+hedgeBudgetRatio) }

// Finished records the latency of a call that was not hedged. A slower call raises
// the estimate by 19 times the amount by which a faster call lowers it, so that the
// estimate converges to the latency that 5% of calls exceed.
func (h *Hedger) Finished(_ time.Time, elapsed time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.quantileSeconds = elapsed.Seconds()
		return
	}
	if elapsed.Seconds() > h.quantileSeconds {
		h.quantileSeconds *= 1 + quantileStep*hedgeQuantile
	} else {
		h.quantileSeconds *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// Delay returns the time after the start of an idempotent call at which it is
// hedged. It returns false while too few calls have finished.
func (h *Hedger) Delay() (time.Duration, bool) {
	return time.Duration(h.quantileSeconds * float64(time.Second)), h.samples >= minHedgeSamples
}

// Hedge decides whether to send a second copy of a call that has run for the elapsed
// time, and takes a token if so. A call that is not idempotent or has an idempotency
// key is never hedged, since both copies may run.
func (h *Hedger) Hedge(_ time.Time, elapsed time.Duration, idempotent, keyed bool) bool {
	delay, known := h.Delay()
	if !known || elapsed < delay || !idempotent || keyed || h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
