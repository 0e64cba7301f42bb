// Package labdemo runs a mesh of real processes on loopback addresses, sends
// calls through it, edits the lists, drains one target, kills one daemon, stops
// another, and checks the promises of the design page from the callers' side.
//
// # Usage
//
//	mesh, err := labdemo.NewMesh("bindery", 20)
//	report, err := labdemo.New(labdemo.NewOptions(mesh, "bin")).Run(ctx)
//	fmt.Println(report.Table())
//	fmt.Println(report.Line())
//
// Run ends every process that it started, also when ctx ends early. The files
// of one run are in a temporary folder, which is removed unless it was named.
package labdemo

import (
	"time"
)

// Options are the settings of a demo.
type Options struct {
	mesh     Mesh
	programs string
	folder   string
	rate     float64
	upload   int
	seed     int64
}

// NewOptions returns the defaults for a mesh and the folder of the programs.
func NewOptions(m Mesh, programs string) Options {
	return Options{mesh: m, programs: programs, rate: 200, upload: 1 << 20, seed: 1}
}

// WithFolder returns a copy that keeps settings and logs in a folder.
func (o Options) WithFolder(folder string) Options {
	o.folder = folder
	return o
}

// WithLoad returns a copy with another rate in calls/s, size of uploads and seed.
func (o Options) WithLoad(rate float64, upload int, seed int64) Options {
	o.rate, o.upload, o.seed = rate, upload, seed
	return o
}

// The bounds that the demo checks, from the design page.
const (
	// convergenceBound is promise 9.
	convergenceBound = 3 * time.Second
	// drainBound is promise 7.
	drainBound = 2 * time.Second
)

// The times of the demo's course.
const (
	// readyTime bounds the start of all processes on a busy machine.
	readyTime = 60 * time.Second
	// keyTime is above the 30 s after its start in which a daemon grants no
	// idempotency key, because it cannot know what it has forgotten. Keyed calls
	// are refused as unknown until then, which would hide what the faults do to them.
	keyTime = 32 * time.Second
	// editTime is how long the demo waits for an edit before it goes on.
	editTime = 10 * time.Second
	// settleTime gives callers time to see the effect of an edit.
	settleTime = time.Second
	// faultTime lets the mesh notice a drain or a death: detection takes about 3 s.
	faultTime = 5 * time.Second
	// longWork and longLead make calls surely in flight at the moment of a fault.
	longWork = 500 * time.Millisecond
	longLead = 150 * time.Millisecond
)

// longCalls is how many calls are in flight through a daemon at its fault, and how
// many more to its service through the others; together they fit the slots of a service.
const longCalls = 8

// The edits of the lists. The last ones come after the faults.
const (
	edits       = 10
	earlyEdits  = 8
	leastServed = 0.95
)
