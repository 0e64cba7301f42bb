// Package blproxy is the HTTP request path. A caller sends its request to the
// daemon on its own VM (the caller side), which checks customer, plan and
// service, chooses a target and sends the request to that target's daemon (the
// mesh side), which admits it and forwards it to the target on its VM.
//
// Requests and responses are parsed and written by fasthttp; the connections to
// other daemons and to the target are pooled here, because fasthttp's client
// retries requests by itself and leaves a call running after its timeout.
// A connection carries one call at a time and returns to its pool only after
// the whole request was written and the whole response was read. A call that
// ends in any other way closes its connection. This also propagates cancellation
// to the target: each daemon in the chain detects that its caller disconnected.
//
// The outcome of a call without a response says whether the call may have run. It
// is "not-run" only if no byte of the request was written to the connection, or if
// the target or its daemon reported so; in all other cases it is "unknown".
//
// # Usage
//
//	proxy, err := blproxy.New(settings, source, directory, target, observer, recorder, peers)
//	err = proxy.Listen()
//	err = proxy.Run(ctx) // serves until ctx ends
//	canceled := proxy.Drain(ctx)
//
// Drain refuses new calls from other daemons as "not-run", waits for the calls
// in flight and returns how many it had to cancel because ctx ended first.
package blproxy

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -p blproxy -o ../basillift/blproxy/messages_gen.go ../schema/calls.json
