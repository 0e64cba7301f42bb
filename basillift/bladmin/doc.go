// Package bladmin contains the HTTP server on the admin address of a daemon, which
// answers operators in JSON, and the client that basilliftctl uses.
//
// # Usage
//
//	server := bladmin.NewServer(source)
//	go server.Run(listener)
//	status, err := bladmin.NewClient("10.0.0.1:7103").Status()
//
// The paths are:
//
//	GET  /status    schema/status.json
//	GET  /timeline  JSON lines, schema/timeline.json
//	GET  /notices   JSON array, schema/notice.json
//	GET  /explain   query customer, service and method (GET if missing); JSON array of steps
//	POST /drain     begins to drain the VM's target; the daemon keeps running
//	GET  /metrics   Prometheus text
//	GET  /health    200 as long as the process responds
//	GET  /ready     200 when the daemon serves calls, 503 otherwise
//
// A daemon that routes by table has NewTableServer instead, with /metrics, /health, /ready and
//
//	GET  /table     the routing table in force, in the form of bltable.Parse
//	GET  /explain   query host, path, bytes and deadline in ms (0 if missing); JSON array of steps, the decision first
//	GET  /explain/parts  the same as a blexplain.Explanation
package bladmin
