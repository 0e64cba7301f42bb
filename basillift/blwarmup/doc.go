// Package blwarmup decides whether the VM's own target is cold, and so how many requests per second it may get. It opens no
// connection: observations go in, and the rate limit, its end and whether a health check is due come out.
//
// A target is cold for some time after each start, and may become so at any other moment. A daemon doesn't always notice a start,
// and its registry entries are seconds old. So the state can be unknown: after the start of the daemon, after a refused or a broken
// connection, after an entry of a new run and after an evacuation of the failure domain. While it is unknown, the limit of a cold
// target holds. It ends with the answer to a health check, which says exactly how long the target stays cold, or once the target
// was reachable for a whole warm-up: it had started before then.
//
// A broken connection alone is explained by another one from before that is still open: the target has not ended then.
//
// Health checks cost the target something. One is due only to resolve an unknown state, the next one after a delay that doubles with each
// failure, and only one within a warm-up if nothing but a broken connection made the state unknown.
//
// The decisions address: a daemon that starts beside a target which is warm, cold or down; a target that starts again beside a
// running daemon, also when nothing but a lost connection shows it; a registry that is late, silent or missing; a target that
// refuses health checks; a failure domain whose targets all come back at once.
//
// # Usage
//
//	state := blwarmup.New(now)                            // the daemon has started
//	state.ObserveService(now, limits)                     // the settings of the service in the routing table
//	state.ObserveEntry(now, endpoint)                     // the target's entry in the registry
//	state.ObserveRefused(now)                             // the target refused a connection
//	if openedBefore, due := state.OlderConnectionsDue(now); due {
//		state.ObserveOlderConnections(pool.AnyIdle(openedBefore))
//	}
//	if state.CheckDue(now) {
//		check := state.StartCheck(now)
//		state.EndCheck(now, check, blwarmup.NewHealthAnswer(instance, coldFor))
//	}
//	if limit := state.Limit(now); limit.Active() {
//		// The target may get limit.PerSecond() requests per second until limit.Until().
//	}
//	next, known := state.NextChange(now)                  // when Limit or CheckDue changes without an observation
//
// A State is not safe for concurrent use.
package blwarmup
