package blforwarder

import "time"

// answerDeadline implements handler: the earlier of the route's timeout and what the caller waits. It is asked only for a
// request whose body is still arriving.
func (c *callerSide) answerDeadline(r *request) time.Time {
	timeout := defaultTimeout
	if table := c.forwarder.tables.Current(); table != nil {
		if route, found := table.Match(r.host, r.uri); found {
			timeout = positiveOr(route.Timeout(), timeout)
		}
	}
	if callerTimeout, ok := r.headerMillis(c.forwarder.settings.headerNames.Deadline()); ok {
		timeout = min(timeout, max(0, callerTimeout-callerMargin))
	}
	return r.arrived.Add(timeout)
}

// answerDeadline implements handler: the deadline that the caller's daemon has set. Messages between daemons have none.
func (t *targetSide) answerDeadline(r *request) time.Time {
	if meta, ok := parseMetadata(r.header(headerHop), r.arrived); ok {
		return meta.deadline
	}
	return r.arrived.Add(defaultTimeout)
}
