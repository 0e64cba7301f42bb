// Package blrelay decides who reads the platform and how a configuration version
// travels between daemons. Nothing here does I/O, reads a clock or starts a goroutine.
//
// The members of a failure domain are ordered by the xxhash64 of their VM id. Every
// daemon derives the same order from its membership, so readers, heads and tree
// neighbours need no election: the first two members read the platform, the first one
// is the head, and the order read as a heap with fan-out 8 is the distribution tree.
//
// # Usage
//
// A control loop keeps one State, feeds it what it observes and carries out the actions:
//
//	order := blrelay.NewOrder(members)
//	for _, a := range state.Apply(now, blrelay.Arranged(order, self)) {
//		perform(a)
//	}
//	for _, a := range state.Apply(now, blrelay.Heard(peer, version, blrelay.CauseProbe)) {
//		perform(a)
//	}
//
// Join decides when a restarted daemon may adopt a version that it read from the
// platform and when it may serve calls. Transfers bounds full transfers.
package blrelay
