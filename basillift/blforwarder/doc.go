// Package blforwarder is the request path by routing table. A caller sends its
// request to the daemon on its own VM (the caller side), which finds the route,
// chooses a target and sends the request to the daemon beside it (the target
// side). Only that daemon talks to the target: it knows the target's slots exactly,
// lets a request run, wait or go elsewhere, and says how it ended.
//
// fasthttp parses headers; connections are kept by blpool. Requests of one
// connection run at the same time and are answered in their order. A caller that
// hangs up cancels its requests: each daemon on the way closes its connection to the next one.
//
// What is known about a request without an answer is its outcome: "not-run" only if no
// byte of it was sent to a target, or if the target or the daemon beside it said so;
// "unknown" otherwise. Only "not-run" may be answered with 503 and tried again for requests
// that must not run twice.
//
// # Usage
//
//	forwarder := blforwarder.New(settings, holder, fleet, log, rnd)
//	err := forwarder.Listen()
//	err = forwarder.Run(ctx)  // serves until ctx ends
//	forwarder.Drain(ctx)      // not ready, answers what is in flight, then closes
package blforwarder
