// Package bladmit decides which requests a target runs, which wait and which are
// refused, and keeps each customer within its plan's limits over the whole mesh.
// All functions that depend on the time take the present time as an argument. The
// types are not safe for concurrent use unless their documentation says so; their
// methods are then called under a lock.
//
// There are two queues. Each stands in front of one target and runs at most as many
// requests as the target has slots. A refused request did not run.
//
// A Queue admits the requests of customers with plans (package blproxy). It orders them by
// class, then by the service time that each customer has received (start-time fair
// queueing), then by deadline. It controls the queueing delay as CoDel does, but separately
// for each customer: once requests of a customer have been waiting without interruption for
// 100 ms, those that have waited longer than 5 ms are refused. A customer that sends few
// requests is therefore not refused because another one floods the target.
//
// A DeadlineQueue admits the requests of routes (package blforwarder). Each has a rank
// and a soft deadline, which follows from the latency objective of its route. The queue
// learns the service time of each route and lets a request wait only if it is expected to
// start early enough; it refuses all others on arrival, so that they can go to another
// target. Better ranks go first. Within a rank nested calls go first, then the requests
// that can meet their soft deadline, and among these the one with the earliest.
//
// What waits in either queue is a request. The word call has two other uses: a nested call
// is a request that a target makes while it runs another one, and a Limiter counts the
// calls of customers, each of which may lead to several requests, such as a hedge.
//
// A Limiter at each daemon keeps the calls of a customer within the daemon's share of the
// plan's rate and concurrency limits. The QuotaAllocator at one daemon of each failure
// domain, the customer's quota owner, divides the limits among the daemons by their
// demand.
//
// Estimators derive facts that no single request states. NestedCallDetector finds the
// routes that consist of nested calls, ParentEstimator the route whose request most likely
// made such a call, and ElapsedWaitEstimator the time that a retrying caller has already
// waited. ServedRatios averages the served ratios that callers report with their requests.
//
// # Usage
//
// A Queue returns a list of actions:
//
//	queue := bladmit.NewQueue(bladmit.NewQueueSettings(slots, connections, length))
//	for _, a := range queue.Arrive(now, bladmit.NewRequest(id, customer, class, deadline)) {
//		switch a.Kind() {
//		case bladmit.ActionRun:
//			send(a.ID())
//		case bladmit.ActionRefuse:
//			refuse(a.ID(), a.Reason(), a.RetryAfter())
//		}
//	}
//
// Call Finish for each request that ran, and Tick every few milliseconds while
// Queued is not 0. The returned slice is valid until the next method call.
//
// A DeadlineQueue answers each request on its own:
//
//	queue := bladmit.NewDeadlineQueue(slots)
//	request := bladmit.NewSlotRequest(id, route, rank, softDeadline, deadline)
//	switch a := queue.Arrive(now, request.WithLatencyObjective(objective)); a.Result() {
//	case bladmit.AdmissionRun:
//		send(id)
//	case bladmit.AdmissionWait:
//		withdrawAt(a.WaitUntil(), id)
//	case bladmit.AdmissionRefuse:
//		refuse(id, a.Reason(), a.RetryAfter())
//	}
//
// Finish and SetSlots return the ids of the waiting requests that start. Call
// Withdraw for a request that still waits at WaitUntil, and refuse it if Withdraw
// returns true.
package bladmit
