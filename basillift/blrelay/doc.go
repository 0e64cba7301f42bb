// Package blrelay decides which daemons read the platform and how a configuration version
// is distributed between daemons. The package does no I/O, reads no clock and starts no
// goroutine.
//
// The members of a failure domain are ordered by the xxhash64 of their VM id. Every daemon
// derives the same order from its membership, so that readers, heads and tree neighbors
// need no election. The first two members are the readers, the first one is the head. The
// order, laid out as a heap with a fan-out of 8, is the distribution tree.
//
// # Usage
//
// A control loop owns one State, passes events to it and performs the returned actions:
//
//	order := blrelay.NewOrder(members)
//	for _, a := range state.Apply(now, blrelay.OrderChanged(order, self)) {
//		perform(a)
//	}
//	for _, a := range state.Apply(now, blrelay.VersionObserved(peer, version, blrelay.CauseProbe)) {
//		perform(a)
//	}
//
// Join decides when a restarted daemon may adopt a version that it read from the platform
// and when it may serve requests. Transfers limits concurrent full transfers.
package blrelay
