package blforwarder

import "sync"

const (
	// sizeWeight is the share of a new observation in the mean size of a route's answers.
	sizeWeight = 8
	// sizesMost bounds how many routes are remembered.
	sizesMost = 4096
	// headBytes is about what two headers of a request and its answer take between daemons.
	headBytes = 700
)

// sizes remembers how large the answers of a route are.
type sizes struct {
	mutex sync.Mutex
	means map[string]int
}

func newSizes() *sizes { return &sizes{means: make(map[string]int)} }

func (s *sizes) observe(route string, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean, known := s.means[route]
	switch {
	case !known && len(s.means) >= sizesMost:
		clear(s.means)
		s.means[route] = bytes
	case !known:
		s.means[route] = bytes
	default:
		s.means[route] = mean + (bytes-mean)/sizeWeight
	}
}

// expected is the size of an answer with the headers on both ways.
func (s *sizes) expected(route string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.means[route] + headBytes
}
