// Package bladmin serves operators on the admin address of a daemon, over HTTP
// with JSON answers, and holds the client that the operators' program uses.
//
// # Usage
//
//	server := bladmin.NewServer(source)
//	go server.Run(listener)
//	report, err := bladmin.NewClient("10.0.0.1:7103").Status()
//
// The paths are:
//
//	GET  /status    schema/status.json
//	GET  /timeline  JSON lines, schema/timeline.json
//	GET  /notices   JSON array, schema/notice.json
//	GET  /explain   query customer, service, method and domain; JSON array of steps
//	POST /drain     begins to drain the VM's target; the daemon goes on
//	GET  /metrics   Prometheus text
//	GET  /health    200 while the process answers
//	GET  /ready     200 when the daemon serves calls, 503 otherwise
//
// A daemon that routes by table has NewTableServer instead, with /metrics, /health, /ready and
//
//	GET  /table     the routing table in force, in the form of bltable.Parse
//	GET  /explain   query host and path; JSON array of steps
package bladmin
