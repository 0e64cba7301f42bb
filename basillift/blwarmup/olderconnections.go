package blwarmup

import "time"

// olderConnectionsDelay is how long after a broken connection other connections are asked whether they are still open. A process that ends
// closes its sockets one after the other.
const olderConnectionsDelay = 2 * time.Millisecond

// A broken connection alone does not mean that the target has ended: targets also break off single requests. All connections of a
// process end with it, so one that was open before and outlives the broken one shows that the target has not started again. Without
// this, a target that breaks off requests for some seconds would be limited all the time, and asked for its health.

// OlderConnectionsDue reports whether it is time to find out whether a connection that was opened before the returned time is still open.
func (s *State) OlderConnectionsDue(now time.Time) (openedBefore time.Time, due bool) {
	return s.brokenSince, s.AwaitsOlderConnections() && !now.Before(s.unknownSince.Add(olderConnectionsDelay))
}

// ObserveOlderConnections records whether there is such a connection.
func (s *State) ObserveOlderConnections(outlived bool) {
	s.olderConnectionsAsked = true
	if outlived && s.cause == CauseBroken {
		s.endBroken()
	}
}

// AwaitsOlderConnections reports whether a broken connection is the only cause and it was not found out yet whether another one has
// outlived it.
func (s *State) AwaitsOlderConnections() bool {
	return s.cause == CauseBroken && !s.olderConnectionsAsked
}

// endBroken ends an unknown state whose only cause were broken connections: what was known before holds.
func (s *State) endBroken() { s.cause, s.restartExpected = CauseNone, false }
