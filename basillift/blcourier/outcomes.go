package blcourier

import "sync"

const (
	// outcomeWeight is the share of a new outcome in what is told of a route. Daemons beside targets hear from many
	// callers, so that what each tells may vary.
	outcomeWeight = 0.25
	// outcomesMost bounds how many routes are remembered.
	outcomesMost = 4096
)

// outcomes remembers how much of each route found room lately, of what this daemon's own callers sent.
type outcomes struct {
	mutex  sync.Mutex
	shares map[string]float64
}

func newOutcomes() *outcomes { return &outcomes{shares: make(map[string]float64)} }

func (o *outcomes) observe(route string, room bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	share, known := o.shares[route]
	if !known && len(o.shares) >= outcomesMost {
		clear(o.shares)
	}
	if !known {
		share = 1
	}
	outcome := 0.0
	if room {
		outcome = 1
	}
	o.shares[route] = share + (outcome-share)*outcomeWeight
}

// share is the share of a route that found room, from 0 to 1.
func (o *outcomes) share(route string) float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if share, known := o.shares[route]; known {
		return share
	}
	return 1
}
