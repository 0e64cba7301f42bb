package bltable

import (
	"math/rand"
	"sync"

	"basillift.dev/basillift"
)

// Splitter divides the requests of split routes among their services. It is safe for concurrent use.
type Splitter struct {
	mutex sync.Mutex
	rnd   *rand.Rand
	decks map[string]*deck
	// retained is the table of the last Retain, since the same one is told with each change of a target.
	retained *Table
}

// deck is the state of one route: how much each share is owed, in units of weight.
type deck struct {
	shares []basillift.WeightedService
	owed   []int
	total  int
}

// NewSplitter returns a splitter. The random source spreads the starting points of
// daemons, so that few requests at each of many still add up to the weights.
func NewSplitter(rnd *rand.Rand) *Splitter {
	return &Splitter{rnd: rnd, decks: make(map[string]*deck)}
}

// Pick returns the service that runs the next request of a route.
func (d *Splitter) Pick(r *basillift.Route) string {
	shares := r.Services()
	if len(shares) == 1 {
		return shares[0].Service()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	k := d.decks[r.Name()]
	if k == nil || !k.deals(shares) {
		k = d.shuffle(shares)
		d.decks[r.Name()] = k
	}
	return shares[k.next()].Service()
}

// Retain forgets the routes that a table no longer has.
func (d *Splitter) Retain(t *Table) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if t == d.retained {
		return
	}
	d.retained = t
	split := make(map[string]bool)
	for _, r := range t.RoutingSpec().Routes() {
		split[r.Name()] = len(r.Services()) > 1
	}
	for name := range d.decks {
		if !split[name] {
			delete(d.decks, name)
		}
	}
}

func (d *Splitter) shuffle(shares []basillift.WeightedService) *deck {
	k := &deck{shares: shares, owed: make([]int, len(shares))}
	for _, s := range shares {
		k.total += s.Weight()
	}
	for range d.rnd.Intn(max(1, k.total)) {
		k.next()
	}
	return k
}

func (k *deck) deals(shares []basillift.WeightedService) bool {
	if len(k.shares) != len(shares) {
		return false
	}
	for i := range shares {
		if k.shares[i] != shares[i] {
			return false
		}
	}
	return true
}

// next is a smooth weighted round robin: each share is owed its weight, and the one that is owed most
// pays the total. Shares without weight are never dealt.
func (k *deck) next() int {
	best := -1
	for i, s := range k.shares {
		k.owed[i] += s.Weight()
		if s.Weight() > 0 && (best < 0 || k.owed[i] > k.owed[best]) {
			best = i
		}
	}
	k.owed[best] -= k.total
	return best
}
