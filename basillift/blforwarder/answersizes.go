package blforwarder

import "sync"

const (
	// sizeSmoothingDivisor is the inverse of the smoothing factor of a route's mean answer size.
	sizeSmoothingDivisor = 8
	// maxAnswerSizes bounds how many routes are kept. A further route replaces all of them.
	maxAnswerSizes = 4096
	// headersBytes is the approximate size of the headers of a request and its answer between daemons.
	headersBytes = 700
)

// answerSizes keeps the mean answer size of each route, in bytes.
type answerSizes struct {
	mutex     sync.Mutex
	meanBytes map[string]int
}

func newAnswerSizes() *answerSizes { return &answerSizes{meanBytes: make(map[string]int)} }

func (as *answerSizes) observe(route string, bytes int) {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	mean, known := as.meanBytes[route]
	switch {
	case !known && len(as.meanBytes) >= maxAnswerSizes:
		clear(as.meanBytes)
		as.meanBytes[route] = bytes
	case !known:
		as.meanBytes[route] = bytes
	default:
		as.meanBytes[route] = mean + (bytes-mean)/sizeSmoothingDivisor
	}
}

// expectedBytes returns the expected size of an answer, plus the headers of the request and the answer.
func (as *answerSizes) expectedBytes(route string) int {
	as.mutex.Lock()
	defer as.mutex.Unlock()
	return as.meanBytes[route] + headersBytes
}
