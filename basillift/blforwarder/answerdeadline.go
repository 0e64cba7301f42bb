package blforwarder

import "time"

// answerDeadline implements handler: the earlier of the route's timeout and what the caller waits. It is asked only for a
// request whose body is still arriving.
func (c *callerSide) answerDeadline(r *request) time.Time {
	routeTimeout := time.Duration(0)
	if table := c.forwarder.tables.Current(); table != nil {
		if route, found := table.Match(r.host, r.uri); found {
			routeTimeout = route.Timeout()
		}
	}
	timeout, _, _ := c.timeout(r, routeTimeout)
	return r.arrived.Add(timeout)
}

// timeout returns how long a request may take by the timeout of its route, 0 for none, and by what the caller waits, which is
// returned as well if the caller says it.
func (c *callerSide) timeout(r *request, routeTimeout time.Duration) (timeout, callerTimeout time.Duration, stated bool) {
	timeout = positiveOr(routeTimeout, defaultTimeout)
	if callerTimeout, stated = r.headerMillis(c.forwarder.settings.headerNames.Deadline()); stated {
		timeout = min(timeout, max(0, callerTimeout-callerMargin))
	}
	return timeout, callerTimeout, stated
}

// answerDeadline implements handler: the deadline that the caller's daemon has set. Messages between daemons have none.
func (t *targetSide) answerDeadline(r *request) time.Time {
	if meta, ok := parseMetadata(r.header(headerHop), r.arrived); ok {
		return meta.deadline
	}
	return r.arrived.Add(defaultTimeout)
}
