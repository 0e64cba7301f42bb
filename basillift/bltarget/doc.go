// Package bltarget tracks whether the VM's own target can accept calls and announces
// the target's state to the mesh.
//
// The state is derived from three sources: the health endpoint, the load endpoint and
// the results of calls. The endpoints lag behind and are sometimes wrong, so the
// results of calls have priority: a target that answers calls stays ready although its
// health endpoint fails, and a target whose calls break is suspended although its
// health endpoint returns 200. The load endpoint can only lower the state, to shedding,
// draining or starting. A requested drain is never reverted.
//
// HealthTracker decides on the state, without I/O. Poller polls the endpoints, passes
// the results to the tracker and sets each new state on a basillift.LocalTarget.
//
// # Usage
//
//	poller := bltarget.New(bltarget.NewSettings("10.0.0.7:8080"), local)
//	proxy.SetCallObserver(poller) // passes the results of calls to poller.ObserveCall
//	go poller.Run(ctx)
//	poller.Drain() // on SIGTERM
//
// The target must serve GET /health with status 200 or 503, and should serve GET /load
// with JSON such as {"slots":10,"used":3,"queue":0,"state":"ready"}.
package bltarget
