// Package blnode runs the control plane of one daemon. A Node connects the state machines
// of blmember, blrelay and blconfig, which do no I/O, to the network and the platform. A
// single control loop owns their state; other goroutines submit their observations to it
// through a bounded queue.
//
// The control loop never waits for the network. Probes, fetches, exchanges and reads of
// the platform run in separate goroutines, each with a deadline, and submit their results
// to the loop.
//
// # Usage
//
//	node, err := blnode.New(self, seeds, platform, recorder, blnode.WithSeed(seed))
//	node.Handle("claim", answerClaim)
//	go node.Run(ctx)
//	configuration, ok := node.Current()
//
// To stop, a daemon announces that its target is draining, waits for its calls to finish
// and leaves the mesh:
//
//	node.SetState(basillift.TargetDraining)
//	waitForCalls()
//	node.Leave(ctx)
//	cancel()
package blnode

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -t -p blnode -o ../basillift/blnode/status_gen.go ../schema/status.json
