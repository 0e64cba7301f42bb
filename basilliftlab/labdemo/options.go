// Package labdemo runs a mesh of real processes on loopback addresses, sends calls through
// it, edits the lists, drains one target, kills one daemon, stops another, and checks the
// promises of the design page as the callers experience them. A Recorder instead records
// the timelines of a mesh under one fault.
//
// # Usage
//
//	mesh, err := labdemo.NewMesh("bindery", 20)
//	report, err := labdemo.New(labdemo.NewOptions(mesh, "bin")).Run(ctx)
//	fmt.Println(report.Table())
//	fmt.Println(report.Line())
//
// Run ends all processes that it started, even if ctx ends early. The files of a run are
// in a temporary folder, which is removed afterwards; a folder set with WithFolder is kept.
package labdemo

import (
	"time"
)

// Options are the settings of a demo.
type Options struct {
	mesh           Mesh
	programFolder  string
	runFolder      string
	callsPerSecond float64
	uploadBytes    int
	seed           int64
}

// NewOptions returns the default options for a mesh. programFolder contains basilliftd and
// basilliftlab. The default load is 200 calls/s with uploads of 1 MB and seed 1.
func NewOptions(m Mesh, programFolder string) Options {
	return Options{mesh: m, programFolder: programFolder, callsPerSecond: 200, uploadBytes: 1 << 20, seed: 1}
}

// WithFolder returns a copy that writes settings and logs to a folder and keeps it.
func (o Options) WithFolder(folder string) Options {
	o.runFolder = folder
	return o
}

// WithLoad returns a copy with another call rate, upload size and seed.
func (o Options) WithLoad(callsPerSecond float64, uploadBytes int, seed int64) Options {
	o.callsPerSecond, o.uploadBytes, o.seed = callsPerSecond, uploadBytes, seed
	return o
}

// The limits from the design page that the demo checks.
const (
	// maxConvergence is how long an edit may take until it is in force at a daemon (promise 9).
	maxConvergence = 3 * time.Second
	// maxDrainDelay is how long after a drain the target may still get new calls (promise 7).
	maxDrainDelay = 2 * time.Second
)

// Timeouts and delays of the steps.
const (
	// readyTimeout bounds the wait for a process to become ready, also on a busy machine.
	readyTimeout = 60 * time.Second
	// keyGrantWait is longer than the 30 s after its start in which a daemon grants no
	// idempotency keys, because it cannot know which claims it lost. Until then it refuses
	// keyed calls as unknown, which would hide the effects of the faults.
	keyGrantWait = 32 * time.Second
	// editTimeout is how long the demo waits for an edit to be in force before it goes on.
	editTimeout = 10 * time.Second
	// settleDelay gives callers time to experience the effect of an edit.
	settleDelay = time.Second
	// faultDetectionWait gives the mesh time to detect a drained target or a dead daemon,
	// which takes about 3 s.
	faultDetectionWait = 5 * time.Second
	// longCallWork is the work time of a long call, and longCallLead the time from sending
	// it until the fault, so that it is in flight when the fault occurs.
	longCallWork = 500 * time.Millisecond
	longCallLead = 150 * time.Millisecond
)

// longCallCount is the number of long calls that are in flight through a VM's daemon when
// its fault occurs. Up to as many more are sent to its service through other daemons. All
// of them together fit into the slots of a service.
const longCallCount = 8

const (
	// totalEdits is the number of edits of the lists.
	totalEdits = 10
	// editsBeforeFaults is how many edits come before the faults; the others come after.
	editsBeforeFaults = 8
	// minAnsweredRatio is the lowest accepted ratio of answered calls to allowed calls.
	minAnsweredRatio = 0.95
)
