// Package blproxy is the HTTP request path. A caller sends its request to the
// daemon on its own VM (the caller side), which checks customer, plan and
// service, chooses a target and sends the request to that target's daemon (the
// mesh side), which admits it and passes it to the target on its VM.
//
// Requests and responses are parsed and written by fasthttp; the connections to
// other daemons and to the target are pooled here, because fasthttp's client
// sends requests again by itself and leaves a call running after its timeout.
// A connection carries one call at a time and returns to its pool only after
// the whole request was written and the whole response was read. A call that
// ends in any other way closes its connection, which is also how a cancellation
// reaches the target: each daemon on the way sees its caller hang up.
//
// What is known about a call that got no answer is its outcome. It is "not-run"
// only if no byte of the request was written to the connection, or if the
// target or its daemon said so; in all other cases it is "unknown".
//
// # Usage
//
//	proxy, err := blproxy.New(settings, source, directory, target, observer, recorder, peers)
//	err = proxy.Listen()
//	err = proxy.Run(ctx) // serves until ctx ends
//	cut := proxy.Drain(ctx)
//
// Drain refuses new calls from other daemons as "not-run", waits for the calls
// in flight and reports how many it had to cut when ctx ended first.
package blproxy

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -p blproxy -o ../basillift/blproxy/messages_gen.go ../schema/calls.json
