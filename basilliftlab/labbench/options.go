package labbench

import "time"

const (
	// watchWait is how long the platform holds a watch in the bench, so that the time at
	// rest sees each watch end once. The client's default is watchDefault; reads and bytes
	// of the platform at rest are scaled to it.
	watchWait    = 5 * time.Second
	watchDefault = 30 * time.Second
)

// Options are the settings of a run.
type Options struct {
	folder  string
	only    string
	seed    int64
	network int
	large   bool
	command string
	changes map[kind]int
	settle  time.Duration
	rest    time.Duration
}

// NewOptions returns the default run, whose results go to a folder.
func NewOptions(folder string) Options {
	return Options{
		folder: folder, seed: 1, network: 40, command: "make bench",
		changes: map[kind]int{changeOne: 30, changePlan: 15, changeTenth: 4, changeBurst: 2},
		settle:  time.Second, rest: watchWait,
	}
}

// WithOnly returns a copy that runs one experiment; an empty name means all.
func (o Options) WithOnly(name string) Options {
	o.only = name
	return o
}

// WithSeed returns a copy with another seed of lists, changes and daemons.
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

// WithCommand returns a copy that names the command under which results are recorded.
func (o Options) WithCommand(command string) Options {
	o.command = command
	return o
}

// WithTimes returns a copy with other waits before and during the time at rest, and one
// change of each kind for tests.
func (o Options) WithTimes(settle, rest time.Duration) Options {
	o.settle, o.rest = settle, rest
	o.changes = map[kind]int{changeOne: 2, changePlan: 1, changeTenth: 1, changeBurst: 1}
	return o
}

// withFewerChanges is for the experiments that do not vary the number of daemons, so that
// a whole run takes about five minutes.
func (o Options) withFewerChanges() Options {
	o.changes = map[kind]int{changeOne: 15, changePlan: 8, changeTenth: 2, changeBurst: 1}
	return o
}

// withFewChanges is for baselines, of which one takes a second for each change.
func (o Options) withFewChanges() Options {
	o.changes = map[kind]int{changeOne: 10, changePlan: 2, changeTenth: 2, changeBurst: 1}
	return o
}
