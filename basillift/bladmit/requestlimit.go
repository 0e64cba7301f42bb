package bladmit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitBurstTime is the time for which an idle target's unused requests are kept, so that requests which arrive
	// together do not all have to wait. It is well below the second for which the target names its limit.
	limitBurstTime = 250 * time.Millisecond
	// minRequestLimit keeps a request going to a target from time to time, since only an answer can end a limit.
	minRequestLimit = 0.1
	// maxReturnSpread bounds by how much the return of a refused request is delayed behind those refused before it.
	maxReturnSpread = time.Second
)

// requestLimit paces the requests to a target that accepts only some per second. The zero value allows all requests.
type requestLimit struct {
	limiter *rate.Limiter
	// nextReturn is when the next refused request should come back.
	nextReturn time.Time
}

// set changes the limit, in requests per second.
func (l *requestLimit) set(now time.Time, perSecond float64, limited bool) {
	if !limited {
		*l = requestLimit{}
		return
	}
	perSecond = max(minRequestLimit, perSecond)
	burst := max(1, int(perSecond*limitBurstTime.Seconds()))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(perSecond))
	l.limiter.SetBurstAt(now, burst)
}

func (l *requestLimit) active() bool { return l.limiter != nil }

// take reports whether a request may start now, and counts it.
func (l *requestLimit) take(now time.Time) bool { return l.limiter == nil || l.limiter.AllowN(now, 1) }

// wait is the minimum time until a request may start that has the given number of others ahead.
func (l *requestLimit) wait(now time.Time, ahead int) time.Duration {
	if l.limiter == nil {
		return 0
	}
	return seconds(max(0, float64(ahead)+1-l.limiter.TokensAt(now)) / float64(l.limiter.Limit()))
}

// slots is how many of a target's slots the limit can keep busy.
func (l *requestLimit) slots(slots int, serviceSeconds float64) float64 {
	if l.limiter == nil {
		return float64(slots)
	}
	return min(float64(slots), float64(l.limiter.Limit())*serviceSeconds)
}

// returnAfter is when a refused request should come back: after the wait, and one after the other in the order of their
// refusals at the pace of the limit.
func (l *requestLimit) returnAfter(now time.Time, wait time.Duration) time.Duration {
	if l.limiter == nil {
		return wait
	}
	if behind := l.nextReturn.Sub(now); behind > wait {
		wait = min(behind, wait+maxReturnSpread)
	}
	l.nextReturn = now.Add(wait + seconds(1/float64(l.limiter.Limit())))
	return wait
}
