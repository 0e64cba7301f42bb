// Package blnode runs the control side of one daemon. A Node joins the deciding
// packages blmember, blrelay and blconfig to the network and the platform: one control
// loop owns all their state, and everything else reaches it through a bounded ring.
//
// The control loop never waits for the network. Probes, fetches, exchanges and reads of
// the platform run in goroutines of their own with a deadline each, and hand their results
// to the loop.
//
// # Usage
//
//	node, err := blnode.New(self, seeds, platform, recorder, blnode.WithSeed(seed))
//	node.Handle("claim", answerClaim)
//	go node.Run(ctx)
//	configuration, ok := node.Current()
//
// A daemon stops by announcing that its target drains, waiting for its calls, and leaving:
//
//	node.SetState(basillift.TargetDraining)
//	waitForCalls()
//	node.Leave(ctx)
//	cancel()
package blnode

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -t -p blnode -o ../basillift/blnode/status_gen.go ../schema/status.json
