// Package labbench measures the control plane of the daemon: convergence time, control
// bytes, calls of the platform, CPU time and memory, over several sizes of the mesh.
//
// A run starts real control planes (blnode.Node with blplatform.Client) in this process,
// each on an address 127.x.y.z of its own, against the platform's stand-in over HTTP.
// Meshes run one at a time. Each is measured during its start, which is a full restart,
// then at rest, then during a number of changes of each kind. A figure that is measured at
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
// cores, so times at large sizes are upper bounds. No latency between failure domains is
// injected: the control streams open their connections themselves, and the accepting side
// does not know the failure domain of a connection before its first message.
package labbench
