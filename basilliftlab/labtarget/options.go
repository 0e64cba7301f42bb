package labtarget

import (
	"time"

	"github.com/rs/zerolog"
)

// Options are the settings of a target.
type Options struct {
	name           string
	listen         string
	slots          int
	connections    int
	connectionCost time.Duration
	cold           time.Duration
	work           time.Duration
	spread         float64
	queue          int
	seed           int64
	log            zerolog.Logger
	crash          func()
}

// NewOptions returns the defaults of a bindery target: 10 slots, 130
// connections at 1 ms each, and work of 2 ms in the middle.
func NewOptions(name, listen string) Options {
	return Options{
		name: name, listen: listen, slots: 10, connections: 130,
		connectionCost: time.Millisecond, work: 2 * time.Millisecond, spread: 0.5,
		queue: 20, seed: 1, log: zerolog.Nop(), crash: func() {},
	}
}

// WithLimits returns a copy with other limits: calls at once, connections at
// once, and calls that wait for a slot.
func (o Options) WithLimits(slots, connections, queue int) Options {
	o.slots, o.connections, o.queue = slots, connections, queue
	return o
}

// WithCosts returns a copy with another cost of a connection and of a cold start.
func (o Options) WithCosts(connection, cold time.Duration) Options {
	o.connectionCost, o.cold = connection, cold
	return o
}

// WithWork returns a copy with another distribution of the work time: log-normal
// with the given median, where spread is the standard deviation of the logarithm.
func (o Options) WithWork(median time.Duration, spread float64, seed int64) Options {
	o.work, o.spread, o.seed = median, spread, seed
	return o
}

// WithLog returns a copy that logs.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.log = log
	return o
}

// WithCrash returns a copy that calls crash for a request that asks for it.
func (o Options) WithCrash(crash func()) Options {
	o.crash = crash
	return o
}
