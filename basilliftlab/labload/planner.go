package labload

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Planner decides which call comes next and when. All randomness comes from its
// seed. It is not safe for concurrent use; its Generator guards it with a mutex.
type Planner struct {
	random       *rand.Rand
	runID        string
	callCount    int
	addresses    []string
	services     []string
	customers    []string
	mix          Mix
	meanInterval time.Duration
	repeatRatio  float64
	nextAt       time.Time
}

// NewPlanner returns a planner whose intended times begin at now. The start time is
// part of the call ids, so that the targets do not count the calls of an earlier run
// as the same calls.
func NewPlanner(now time.Time, o Options) *Planner {
	return &Planner{
		random: rand.New(rand.NewSource(o.seed)), runID: fmt.Sprintf("%x", now.UnixMilli()),
		addresses: slices.Clone(o.addresses), services: o.services, customers: o.customers,
		mix: o.mix, meanInterval: time.Duration(float64(time.Second) / o.callsPerSecond), repeatRatio: o.repeatRatio, nextAt: now,
	}
}

// Remove excludes a daemon's address from later calls.
func (p *Planner) Remove(address string) {
	p.addresses = slices.DeleteFunc(p.addresses, func(a string) bool { return a == address })
}

// Next returns the next call. The intervals between intended times are exponentially
// distributed.
func (p *Planner) Next() Call {
	p.nextAt = p.nextAt.Add(time.Duration(float64(p.meanInterval) * p.random.ExpFloat64()))
	address := p.RandomAddress()
	service, customer := p.services[p.random.Intn(len(p.services))], p.customers[p.random.Intn(len(p.customers))]
	return p.newCall(p.nextAt, address, customer, service)
}

// LongCall returns a call outside the schedule that requests an extra work time.
func (p *Planner) LongCall(now time.Time, address, customer, service string, extraWork time.Duration) Call {
	c := p.newCall(now, address, customer, service)
	c.extraWork = extraWork
	return c
}

func (p *Planner) newCall(intended time.Time, address, customer, service string) Call {
	p.callCount++
	c := NewCall(fmt.Sprintf("%s-%d", p.runID, p.callCount), p.mix.Draw(p.random), address, customer, service)
	c.uploadVariant = p.random.Intn(uploadVariantCount)
	c.intended = intended
	if c.kind == KindKeyed {
		c.key = NewKey(intended, p.random)
	}
	return c
}

// RandomAddress returns the address of a random daemon, or "" if all were removed.
func (p *Planner) RandomAddress() string {
	if len(p.addresses) == 0 {
		return ""
	}
	return p.addresses[p.random.Intn(len(p.addresses))]
}

// ShouldRepeat decides at random whether a keyed call is repeated.
func (p *Planner) ShouldRepeat(c Call) bool {
	return c.kind == KindKeyed && !c.isRepeat && p.random.Float64() < p.repeatRatio
}
