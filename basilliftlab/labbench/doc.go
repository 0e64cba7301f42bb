// Package labbench measures the control side of the daemon: convergence time, control
// bytes, reads of the platform, CPU time and memory, over several sizes of the mesh.
//
// A run starts real control sides (blnode.Node with blplatform.Client) in this process,
// each on an address 127.x.y.z of its own, against the platform's stand-in over HTTP.
// Everything is measured at one mesh at a time: from its start, which is a full restart,
// over a time at rest, to a number of changes of each kind. A figure that was measured at
// four or more sizes becomes a slope: a least-squares line with its residual.
//
// # Usage
//
//	options := labbench.NewOptions("out/bench").WithSeed(1)
//	report, err := labbench.New(options).Run(ctx)
//	fmt.Println(report.Table())
//	err = report.Save()
//
// All daemons of a mesh share this process, its garbage collector and the machine's
// cores, so that times at large sizes are upper bounds. No delays between failure domains
// are injected: the control streams dial by themselves, and the accepting side cannot tell
// the failure domain of a connection before its first message.
package labbench
