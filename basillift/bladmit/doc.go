// Package bladmit decides which calls a target runs, which wait and which are
// refused, and keeps each customer within its plan's limits over the whole mesh.
// Everything here is a deciding function: the present time is an argument, and the
// owner locks around a Queue, a Limiter or an Owner.
//
// A Queue stands in front of one target. It is ordered by class, then by the slot
// time that each customer had (start-time fair queueing), then by deadline. A call
// that it refuses did not run. The queueing delay is controlled in the manner of
// CoDel, for each customer on its own: once a customer's calls have been waiting
// without a break for 100 ms, its calls that waited longer than 5 ms are refused.
// A customer that sends little is therefore not refused because another one floods.
//
// # Usage
//
//	queue := bladmit.NewQueue(bladmit.NewSettings(slots, connections, length))
//	for _, a := range queue.Arrive(now, bladmit.NewRequest(id, customer, class, deadline)) {
//		switch a.Kind() {
//		case bladmit.ActionRun:
//			send(a.ID())
//		case bladmit.ActionRefuse:
//			refuse(a.ID(), a.Reason(), a.RetryAfter())
//		}
//	}
//
// Call Finish for each call that ran, and Tick every few milliseconds while
// Queued is not 0. The returned slice is valid until the next method call.
package bladmit
