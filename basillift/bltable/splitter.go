package bltable

import (
	"math/rand"
	"sync"

	"basillift.dev/basillift"
)

// Splitter distributes the requests of split routes over their services by weight. It is safe for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	rnd    *rand.Rand
	routes map[string]*roundRobin
	// lastRetained is the table of the last call of Retain, which is also called with an unchanged table on each
	// change of a target.
	lastRetained *Table
}

// roundRobin is the state of the smooth weighted round robin of one route. currentWeights says how far each service
// is behind its share of the requests, in units of weight.
type roundRobin struct {
	services       []basillift.WeightedService
	currentWeights []int
	totalWeight    int
}

// NewSplitter returns a splitter. The random source sets a random starting point for each route, so that the requests
// of many daemons with few requests each still add up to the weights.
func NewSplitter(rnd *rand.Rand) *Splitter {
	return &Splitter{rnd: rnd, routes: make(map[string]*roundRobin)}
}

// Pick returns the service that runs the next request of a route.
func (s *Splitter) Pick(r *basillift.Route) string {
	services := r.Services()
	if len(services) == 1 {
		return services[0].Service()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rotation := s.routes[r.Name()]
	if rotation == nil || !rotation.hasServices(services) {
		rotation = s.newRoundRobin(services)
		s.routes[r.Name()] = rotation
	}
	return services[rotation.next()].Service()
}

// Retain removes the state of routes that are no longer split routes of the table.
func (s *Splitter) Retain(t *Table) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if t == s.lastRetained {
		return
	}
	s.lastRetained = t
	split := make(map[string]bool)
	for _, r := range t.RoutingSpec().Routes() {
		split[r.Name()] = len(r.Services()) > 1
	}
	for name := range s.routes {
		if !split[name] {
			delete(s.routes, name)
		}
	}
}

func (s *Splitter) newRoundRobin(services []basillift.WeightedService) *roundRobin {
	r := &roundRobin{services: services, currentWeights: make([]int, len(services))}
	for _, service := range services {
		r.totalWeight += service.Weight()
	}
	for range s.rnd.Intn(max(1, r.totalWeight)) {
		r.next()
	}
	return r
}

func (r *roundRobin) hasServices(services []basillift.WeightedService) bool {
	if len(r.services) != len(services) {
		return false
	}
	for i := range services {
		if r.services[i] != services[i] {
			return false
		}
	}
	return true
}

// next picks a service by smooth weighted round robin and returns its index. It adds the weight of each service to
// its current weight, picks the greatest one and subtracts the total weight from it. Services of weight 0 are never
// picked.
func (r *roundRobin) next() int {
	best := -1
	for i, s := range r.services {
		r.currentWeights[i] += s.Weight()
		if s.Weight() > 0 && (best < 0 || r.currentWeights[i] > r.currentWeights[best]) {
			best = i
		}
	}
	r.currentWeights[best] -= r.totalWeight
	return best
}
