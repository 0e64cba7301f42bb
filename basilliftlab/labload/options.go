// Package labload is an open-loop load client: it sends calls at their intended
// times whatever the answers do, measures latency from these times, and verifies
// that each answer is the whole answer to its own request.
//
// # Usage
//
//	options := labload.NewOptions(addresses, services, customers).WithRate(500)
//	g := labload.NewGenerator(options, tally, time.Now())
//	g.Run(ctx) // sends until ctx ends, then waits for the calls in flight
//
// The observer gets one Result for each attempt. A share of the keyed calls is
// sent a second time with the same key, possibly through another daemon.
package labload

import (
	"time"
)

// Options are the settings of a load client.
type Options struct {
	addresses []string
	services  []string
	customers []string
	rate      float64
	mix       Mix
	repeat    float64
	timeout   time.Duration
	upload    int
	seed      int64
}

// NewOptions returns the defaults for daemons, services and customers, none of
// which may be empty: 100 calls/s of the default mix, 10 s time limit, uploads of
// 1 MB, and one of ten keyed calls repeated.
func NewOptions(addresses, services, customers []string) Options {
	mix, _ := ParseMix(DefaultMix)
	return Options{
		addresses: addresses, services: services, customers: customers,
		rate: 100, mix: mix, repeat: 0.1, timeout: 10 * time.Second, upload: 1 << 20, seed: 1,
	}
}

// WithRate returns a copy with another rate in calls/s.
func (o Options) WithRate(rate float64) Options {
	o.rate = rate
	return o
}

// WithMix returns a copy with other shares of kinds, and the share of keyed
// calls that are repeated.
func (o Options) WithMix(mix Mix, repeat float64) Options {
	o.mix, o.repeat = mix, repeat
	return o
}

// WithTimeout returns a copy with another time limit for each call.
func (o Options) WithTimeout(timeout time.Duration) Options {
	o.timeout = timeout
	return o
}

// WithUpload returns a copy with another size of uploads in bytes.
func (o Options) WithUpload(size int) Options {
	o.upload = size
	return o
}

// WithSeed returns a copy with another seed.
func (o Options) WithSeed(seed int64) Options {
	o.seed = seed
	return o
}
