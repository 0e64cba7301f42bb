package blforwarder

import "time"

const (
	// refusalMarginFraction and defaultMaxRefusalMargin set how long before its deadline a request that has not been sent to the
	// target is refused, as a fraction of the time that is left at its arrival. The refusal, which says that the request has not
	// run, must reach the caller's daemon before that gives up: its caller then gets 503 and may repeat the request, instead of
	// 504. Without it, refusals of requests that wait until the end had only answerMargin, which busy daemons exceed.
	refusalMarginFraction   = 1.0 / 16
	defaultMaxRefusalMargin = 100 * time.Millisecond
)

// sendBy is when a request with a deadline must have been sent to the target, given the time from which its margin counts.
func (s Settings) sendBy(now, deadline time.Time) time.Time {
	margin := time.Duration(refusalMarginFraction * float64(deadline.Sub(now)))
	return deadline.Add(-max(0, min(s.maxRefusalMargin, margin)))
}
