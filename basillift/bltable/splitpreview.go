package bltable

import (
	"slices"

	"basillift.dev/basillift"
)

// Preview returns the service that Pick would return, and changes nothing. It is false for a split route that has not been used
// yet: Pick starts such a route at random.
func (s *Splitter) Preview(r *basillift.Route) (service string, known bool) {
	services := r.Services()
	if len(services) == 1 {
		return services[0].Service(), true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rotation := s.routes[r.Name()]
	if rotation == nil || !rotation.hasServices(services) {
		return "", false
	}
	next := roundRobin{services: rotation.services, currentWeights: slices.Clone(rotation.currentWeights), totalWeight: rotation.totalWeight}
	return services[next.next()].Service(), true
}
