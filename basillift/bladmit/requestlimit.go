package bladmit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitBurstTime is the time for which an idle target's unused requests are kept, so that requests which arrive
	// together do not all have to wait. It is well below the second for which the target names its limit.
	limitBurstTime = 250 * time.Millisecond
	// coldBurst is the number of unused requests that are kept for a cold target. In any second it may get half of its rate and 8
	// requests more than its rate, and a request may reach it 300 ms after it was counted, when its slot was reserved for a large
	// body. So the sum of both stays below that, whatever the rate is.
	coldBurst = 4
	// coldGrace is for how long after the beginning of a cold limit no waiting request is refused because of it. After a broken
	// connection or a start of the daemon a warm target is usually recognized within 2 to 5 ms, and would lose all waiting requests.
	coldGrace = 10 * time.Millisecond
	// minRequestLimit keeps a request going to a target from time to time, since only an answer can end a limit.
	minRequestLimit = 0.1
)

// requestLimit paces the requests to a target that accepts only some per second, for either of two reasons: the target names a
// limit of its own, or it is cold. The lower limit holds. The zero value allows all requests.
type requestLimit struct {
	limiter *rate.Limiter
	// own and cold are the limits by reason, in requests per second.
	own, cold reasonLimit
	// coldSince is when the cold limit began.
	coldSince time.Time
	// nextReturn is when the next refused request should come back.
	nextReturn time.Time
}

// reasonLimit is the limit for one reason. The zero value is no limit.
type reasonLimit struct {
	perSecond float64
	limited   bool
}

func (r reasonLimit) burst(unused time.Duration) int {
	return max(1, int(max(minRequestLimit, r.perSecond)*unused.Seconds()))
}

// setOwn changes the limit that the target names, in requests per second.
func (l *requestLimit) setOwn(now time.Time, perSecond float64, limited bool) {
	l.own = reasonLimit{perSecond, limited}
	l.apply(now)
}

// setCold changes the limit of a cold target, in requests per second. When it begins, no requests are kept from before: others
// may have sent some to the target within the same second.
func (l *requestLimit) setCold(now time.Time, perSecond float64, limited bool) {
	begins := limited && !l.cold.limited
	l.cold = reasonLimit{perSecond, limited}
	if begins {
		l.limiter, l.coldSince = nil, now
	}
	l.apply(now)
	if begins {
		// A new limiter is full.
		l.limiter.AllowN(now, l.limiter.Burst())
	}
}

// apply makes the lower limit hold.
func (l *requestLimit) apply(now time.Time) {
	perSecond, burst := l.lower()
	if burst == 0 {
		*l = requestLimit{}
		return
	}
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(perSecond))
	l.limiter.SetBurstAt(now, burst)
}

// lower returns the lower limit, and how many unused requests are kept; 0 without a limit.
func (l *requestLimit) lower() (perSecond float64, burst int) {
	own, cold := l.own.burst(limitBurstTime), coldBurst
	switch {
	case l.own.limited && l.cold.limited:
		perSecond, burst = min(l.own.perSecond, l.cold.perSecond), min(own, cold)
	case l.own.limited:
		perSecond, burst = l.own.perSecond, own
	case l.cold.limited:
		perSecond, burst = l.cold.perSecond, cold
	}
	return max(minRequestLimit, perSecond), burst
}

func (l *requestLimit) active() bool { return l.limiter != nil }

// graceLeft is how long no waiting request is refused because of a cold limit that has just begun.
func (l *requestLimit) graceLeft(now time.Time) time.Duration {
	if !l.cold.limited {
		return 0
	}
	return max(0, l.coldSince.Add(coldGrace).Sub(now))
}

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
	wait, l.nextReturn = spreadReturn(now, l.nextReturn, wait, seconds(1/float64(l.limiter.Limit())))
	return wait
}
