// Package blquarantine finds the request that crashes targets and stops it before
// it takes down more of them. Everything here is a deciding function: the present
// time is an argument, and the owner locks around a SuspicionTable.
//
// A crash gives each request in flight at the target one suspicion. A suspect runs
// only alone, which means beside no other suspect, so that its next crash accuses
// exactly one request. Calls without a suspicion may run beside it: a crash then
// suspects them too, but only the second crash of a suspect condemns. A suspect
// that ends well three times loses its suspicion. After 2 crashes a request is
// quarantined for 10 min and refused as "not run".
//
// Innocent requests are protected in two ways. A crash in which a suspect ran
// alone is put down to that suspect; the others in flight get no suspicion. A crash
// with several suspects in flight, which the spreading of suspicions allows for a
// moment, renews the suspicions but adds no second one.
//
// # Usage
//
//	fp := blquarantine.NewFingerprint(customer, service, method, path, body)
//	switch table.Check(now, fp) {
//	case blquarantine.DecisionAllow: // run it
//	case blquarantine.DecisionRunAlone: // run it where Alone(now, inFlight) holds
//	case blquarantine.DecisionQuarantine: // refuse it as not run
//	}
//	table.Broken(now, fp)       // at the caller's daemon; Hold delays the next try
//	table.Crash(now, inFlight)  // at the target's daemon; then spread table.Snapshot(now)
//	table.Cleared(now, fp)      // a suspect that ended well
//	table.Merge(now, remote)
package blquarantine
