package bladmit

import "time"

// maxReturnSpread bounds by how much the return of a refused request is delayed behind those refused before it.
const maxReturnSpread = time.Second

// returnOrder spreads the returns of refused requests over the capacity of a target that has no request limit. Those of
// each rank come back one after the other, in the order of their refusals. Without it, all that are refused in a burst
// would come back together, and most of them would be refused again.
type returnOrder struct{ next map[int]time.Time }

// after is when a refused request of a rank should come back: after the wait, but not before those of its rank that were
// refused earlier. The interval is the mean time between two slots that become free for the rank.
func (o *returnOrder) after(now time.Time, rank int, wait, interval time.Duration) time.Duration {
	wait, next := spreadReturn(now, o.next[rank], wait, interval)
	if o.next == nil || len(o.next) >= maxRoutes {
		o.next = make(map[int]time.Time)
	}
	o.next[rank] = next
	return wait
}

// spreadReturn returns when a refused request should come back after a wait, if the one refused before it made others come back at
// next, and when that is for the one refused after it.
func spreadReturn(now, next time.Time, wait, interval time.Duration) (time.Duration, time.Time) {
	if behind := next.Sub(now); behind > wait {
		wait = min(behind, wait+maxReturnSpread)
	}
	return wait, now.Add(wait + interval)
}
