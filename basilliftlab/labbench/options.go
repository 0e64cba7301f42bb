package labbench

import "time"

const (
	// watchWait is how long the platform holds a watch in the bench. It equals the default
	// time at rest, in which each watch therefore ends once. Calls and bytes of the platform
	// at rest are scaled to the default of the platform client, defaultWatchWait.
	watchWait        = 5 * time.Second
	defaultWatchWait = 30 * time.Second
)

// Options are the settings of a run.
type Options struct {
	folder       string
	experiment   string
	seed         int64
	network      int
	large        bool
	command      string
	changeCounts map[changeKind]int
	settleTime   time.Duration
	restTime     time.Duration
}

// NewOptions returns the default options of a run that writes its results to a folder.
func NewOptions(folder string) Options {
	return Options{
		folder: folder, seed: 1, network: 40, command: "make bench",
		changeCounts: map[changeKind]int{changeOne: 30, changePlan: 15, changeTenth: 4, changeBurst: 2},
		settleTime:   time.Second, restTime: watchWait,
	}
}

// WithOnly returns a copy that runs one experiment. An empty name means all.
func (o Options) WithOnly(name string) Options {
	o.experiment = name
	return o
}

// WithSeed returns a copy with another seed for lists, changes and daemons.
func (o Options) WithSeed(seed int64) Options {
	o.seed = seed
	return o
}

// WithNetwork returns a copy whose addresses are 127.network.y.z.
func (o Options) WithNetwork(network int) Options {
	o.network = network
	return o
}

// WithLarge returns a copy that also measures 256 daemons.
func (o Options) WithLarge(large bool) Options {
	o.large = large
	return o
}

// WithCommand returns a copy with the command that is recorded with the slopes.
func (o Options) WithCommand(command string) Options {
	o.command = command
	return o
}

// WithTimes returns a copy for tests, with other waits before and during the time at rest,
// two one-customer changes and one change of each other kind.
func (o Options) WithTimes(settleTime, restTime time.Duration) Options {
	o.settleTime, o.restTime = settleTime, restTime
	o.changeCounts = map[changeKind]int{changeOne: 2, changePlan: 1, changeTenth: 1, changeBurst: 1}
	return o
}

// withReducedChanges returns a copy for the experiments that do not vary the number of
// daemons. It has about half of the changes, so that a whole run takes about five minutes.
func (o Options) withReducedChanges() Options {
	o.changeCounts = map[changeKind]int{changeOne: 15, changePlan: 8, changeTenth: 2, changeBurst: 1}
	return o
}

// withBaselineChanges returns a copy for the baselines. It has about a third of the changes,
// because the polling baseline takes about a second for each.
func (o Options) withBaselineChanges() Options {
	o.changeCounts = map[changeKind]int{changeOne: 10, changePlan: 2, changeTenth: 2, changeBurst: 1}
	return o
}
