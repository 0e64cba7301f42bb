// Package labload is an open-loop load generator: it sends calls at their intended
// times regardless of how earlier calls end, measures latency from these times, and
// verifies that each response is complete and belongs to its own request.
//
// # Usage
//
//	options := labload.NewOptions(addresses, services, customers).WithRate(500)
//	g := labload.NewGenerator(options, tally, time.Now())
//	g.Run(ctx) // sends until ctx ends, then waits for the calls in flight
//
// The observer receives one Result for each call and each repeat. A configured ratio
// of the keyed calls is repeated with the same key, possibly through another daemon.
package labload

import (
	"time"
)

// Options are the settings of a load generator.
type Options struct {
	addresses      []string
	services       []string
	customers      []string
	callsPerSecond float64
	mix            Mix
	repeatRatio    float64
	timeout        time.Duration
	uploadBytes    int
	seed           int64
}

// NewOptions returns options with defaults: 100 calls/s of the default mix, a timeout
// of 10 s, uploads of 1 MiB, and one of ten keyed calls repeated. Addresses are caller
// addresses of daemons. None of the lists may be empty.
func NewOptions(addresses, services, customers []string) Options {
	mix, _ := ParseMix(DefaultMix)
	return Options{
		addresses: addresses, services: services, customers: customers,
		callsPerSecond: 100, mix: mix, repeatRatio: 0.1, timeout: 10 * time.Second, uploadBytes: 1 << 20, seed: 1,
	}
}

// WithRate returns a copy with another rate in calls/s.
func (o Options) WithRate(callsPerSecond float64) Options {
	o.callsPerSecond = callsPerSecond
	return o
}

// WithMix returns a copy with another mix of kinds, and the ratio of keyed calls that
// are repeated.
func (o Options) WithMix(mix Mix, repeatRatio float64) Options {
	o.mix, o.repeatRatio = mix, repeatRatio
	return o
}

// WithTimeout returns a copy with another timeout for each call.
func (o Options) WithTimeout(timeout time.Duration) Options {
	o.timeout = timeout
	return o
}

// WithUpload returns a copy with another size of uploads in bytes.
func (o Options) WithUpload(sizeBytes int) Options {
	o.uploadBytes = sizeBytes
	return o
}

// WithSeed returns a copy with another seed for the random numbers of the calls.
func (o Options) WithSeed(seed int64) Options {
	o.seed = seed
	return o
}
