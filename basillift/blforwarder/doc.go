// Package blforwarder is the request proxy that routes by the routing table. A caller sends
// its request to the daemon on its own VM (the caller's daemon), which finds the route,
// chooses a target and forwards the request to the daemon on the VM of that target (the
// target's daemon). Only that daemon connects to the target. It therefore knows exactly how
// many of the target's slots are in use, runs, queues or refuses each request, and reports its
// outcome. Each daemon has both roles, which callerSide and targetSide implement.
//
// fasthttp parses headers, and blpool keeps connections. The requests of one connection run
// concurrently and are answered in their order. If a caller disconnects, its requests are
// canceled: each daemon on the path closes its connection to the next one. Only a request that
// must not run twice stays with the target once it was sent there.
//
// The outcome says whether a request without an answer may have run. It is "not-run" only if
// no byte of the request was sent to a target, or if the target or its daemon said so, and
// "unknown" otherwise. A request that must not run twice is answered with 503 or sent again
// only after "not-run".
//
// # Stop
//
// A daemon that stops needs all answers before the end of its grace period. It tells the daemons
// at which its callers' requests wait (answerDeadlines); each of them, and the daemon itself for
// its own target, refuses the requests that it can't answer in time (acceptedRequests). Requests
// that have arrived and are not read yet are refused as well.
//
// # Large bodies
//
// Before a large body is sent to a VM with a slow link or to another failure domain, the
// caller's daemon asks the target's daemon for a reservation. With a slow link the transfer
// over it is reserved, otherwise a slot of the target. That avoids transfers that end in a
// refusal, and concurrent transfers that fill the link.
//
// # Limits
//
// All that peers make a daemon hold shares a memory budget, and all connections share a
// connection budget (peerBudget; package blbudget decides). When one is used up, connections
// that make no progress give way, then new bodies and connections are refused. Answers are
// streamed, as large ones always are. A body that has not arrived when its request can no
// longer be answered is refused as not run.
//
// # Usage
//
//	forwarder := blforwarder.New(settings, holder, fleet, log, rnd)
//	err := forwarder.Listen()
//	err = forwarder.Run(ctx)  // serves until ctx ends
//	forwarder.Drain(ctx)      // fails readiness checks, answers all requests before the deadline of ctx, then returns
package blforwarder
