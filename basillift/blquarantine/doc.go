// Package blquarantine detects requests that crash targets and quarantines them
// before they crash more targets. The package has no clock and no locks: the current
// time is an argument, and the owner of a SuspicionTable serializes access to it.
//
// When a target crashes, each request in flight there becomes a suspect with one
// crash. A suspect may run only on a target where no other suspect is in flight, so
// that a further crash can be attributed to exactly one request. Requests that are
// not suspects may run at the same time. A suspect that succeeds three times is
// cleared. After 2 crashes a request is quarantined for 10 min and refused as
// "not run".
//
// Two rules protect harmless requests. A crash with one suspect in flight is
// attributed to that suspect only; the other requests do not become suspects. A
// crash with several suspects in flight, which is possible until a suspicion has
// reached all daemons, renews their suspicions but does not count as a second crash.
//
// # Usage
//
//	fp := blquarantine.NewFingerprint(customer, service, method, path, body)
//	switch table.Check(now, fp) {
//	case blquarantine.DecisionAllow: // run it
//	case blquarantine.DecisionRunAlone: // run it where MayRunAlone(now, inFlight) holds
//	case blquarantine.DecisionQuarantine: // refuse it as not run
//	}
//	table.RecordBrokenCall(now, fp)   // at the caller's daemon; RetryDelay delays the next attempt
//	table.RecordCrash(now, inFlight)  // at the target's daemon; then send the result to all daemons
//	table.RecordSuccess(now, fp)      // a suspect succeeded
//	table.Merge(now, remote)
package blquarantine
