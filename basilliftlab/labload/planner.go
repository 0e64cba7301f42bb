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
	p.count++
	kind, address := p.mix.Draw(p.random), p.Address()
	service, customer := p.services[p.random.Intn(len(p.services))], p.customers[p.random.Intn(len(p.customers))]
	c := NewCall(fmt.Sprintf("%s-%d", p.run, p.count), kind, address, customer, service)
	c.variant = p.random.Intn(uploadVariants)
	c.intended = p.next
	if c.kind == KindKeyed {
		c.key = NewKey(p.next, p.random)
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
