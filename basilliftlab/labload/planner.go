package labload

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Planner decides which call comes next and when. All randomness comes from its
// seed. It is not safe for concurrent use; its Generator guards it.
type Planner struct {
	random    *rand.Rand
	run       string
	count     int
	addresses []string
	services  []string
	customers []string
	mix       Mix
	interval  time.Duration
	repeat    float64
	next      time.Time
}

// NewPlanner returns a planner that starts now. The start time is part of the
// ids, so that counts of an earlier run at the same targets do not interfere.
func NewPlanner(now time.Time, o Options) *Planner {
	return &Planner{
		random: rand.New(rand.NewSource(o.seed)), run: fmt.Sprintf("%x", now.UnixMilli()),
		addresses: slices.Clone(o.addresses), services: o.services, customers: o.customers,
		mix: o.mix, interval: time.Duration(float64(time.Second) / o.rate), repeat: o.repeat, next: now,
	}
}

// Remove takes a daemon's address away from later calls.
func (p *Planner) Remove(address string) {
	p.addresses = slices.DeleteFunc(p.addresses, func(a string) bool { return a == address })
}

// Next returns the next call; its intended time follows the previous one by an
// exponentially distributed interval.
func (p *Planner) Next() Call {
	p.next = p.next.Add(time.Duration(float64(p.interval) * p.random.ExpFloat64()))
	address := p.Address()
	service, customer := p.services[p.random.Intn(len(p.services))], p.customers[p.random.Intn(len(p.customers))]
	return p.call(p.next, address, customer, service)
}

// Long returns a call outside the usual course that takes a certain work time.
func (p *Planner) Long(now time.Time, address, customer, service string, work time.Duration) Call {
	c := p.call(now, address, customer, service)
	c.work = work
	return c
}

func (p *Planner) call(intended time.Time, address, customer, service string) Call {
	p.count++
	c := NewCall(fmt.Sprintf("%s-%d", p.run, p.count), p.mix.Draw(p.random), address, customer, service)
	c.variant = p.random.Intn(uploadVariants)
	c.intended = intended
	if c.kind == KindKeyed {
		c.key = NewKey(intended, p.random)
	}
	return c
}

// Address picks a daemon; it returns "" when none is left.
func (p *Planner) Address() string {
	if len(p.addresses) == 0 {
		return ""
	}
	return p.addresses[p.random.Intn(len(p.addresses))]
}

// Repeats decides whether a keyed call is sent again after its first answer.
func (p *Planner) Repeats(c Call) bool {
	return c.kind == KindKeyed && !c.repeat && p.random.Float64() < p.repeat
}
