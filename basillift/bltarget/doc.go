// Package bltarget finds out whether the VM's own target can take calls and
// announces its state to the mesh.
//
// Three things tell about the target: its health endpoint, its load endpoint, and
// how its calls end. The endpoints lag and are sometimes wrong, so calls count
// for more: a target that answers calls stays ready although its health endpoint
// fails, and a target whose calls break is held back although its health endpoint
// reports 200. The load endpoint can only lower the state: to shedding, draining
// or starting. A drain that was asked for is never taken back.
//
// HealthTracker is the deciding function. Poller asks the endpoints, feeds the tracker and
// hands each new state to a basillift.LocalTarget.
//
// # Usage
//
//	poller := bltarget.New(bltarget.NewSettings("10.0.0.7:8080"), local)
//	proxy.ObserveCalls(poller) // results of calls, from the request path
//	go poller.Run(ctx)
//	poller.Drain() // on SIGTERM
//
// The target must serve GET /health, which answers 200 or 503, and should serve
// GET /load with JSON such as {"slots":10,"used":3,"queue":0,"state":"ready"}.
package bltarget
