package labtarget

import (
	"time"

	"github.com/rs/zerolog"
)

// Options are the settings of a target.
type Options struct {
	name            string
	listen          string
	slots           int
	maxConnections  int
	connectionDelay time.Duration
	coldStart       time.Duration
	medianWork      time.Duration
	workSigma       float64
	maxQueue        int
	seed            int64
	log             zerolog.Logger
	crash           func()
}

// NewOptions returns the defaults of a target in the bindery mesh: 10 slots, 130
// connections, 1 ms to open one, and a median work time of 2 ms.
func NewOptions(name, listen string) Options {
	return Options{
		name: name, listen: listen, slots: 10, maxConnections: 130,
		connectionDelay: time.Millisecond, medianWork: 2 * time.Millisecond, workSigma: 0.5,
		maxQueue: 20, seed: 1, log: zerolog.Nop(), crash: func() {},
	}
}

// WithLimits returns a copy with other limits: concurrent calls, open connections,
// and calls that wait for a slot.
func (o Options) WithLimits(slots, maxConnections, maxQueue int) Options {
	o.slots, o.maxConnections, o.maxQueue = slots, maxConnections, maxQueue
	return o
}

// WithDelays returns a copy with other delays: the time that opening a connection
// takes, and the time after the start during which calls are refused.
func (o Options) WithDelays(connection, coldStart time.Duration) Options {
	o.connectionDelay, o.coldStart = connection, coldStart
	return o
}

// WithWork returns a copy with another distribution of the work time: log-normal
// with the given median, where sigma is the standard deviation of the logarithm.
func (o Options) WithWork(median time.Duration, sigma float64, seed int64) Options {
	o.medianWork, o.workSigma, o.seed = median, sigma, seed
	return o
}

// WithLog returns a copy that writes to a log.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.log = log
	return o
}

// WithCrash returns a copy that calls crash for a request with the header Lab-Crash: true.
func (o Options) WithCrash(crash func()) Options {
	o.crash = crash
	return o
}
