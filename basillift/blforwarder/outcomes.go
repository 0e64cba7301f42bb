package blforwarder

import "sync"

const (
	// outcomeWeight is the share of a new outcome in what is told of a route. Daemons beside targets hear from many
	// callers, so that what each tells may vary.
	outcomeWeight = 0.25
	// outcomesMost bounds how many routes are remembered.
	outcomesMost = 4096
)

// outcomes remembers how much of each route found room lately, of what this daemon's own callers sent, and which
// routes are calls of its target.
type outcomes struct {
	mutex  sync.Mutex
	routes map[string]*outcome
}

// outcome is what is known of a route.
type outcome struct {
	room   float64
	nested bool
}

func newOutcomes() *outcomes { return &outcomes{routes: make(map[string]*outcome)} }

// observe notes whether a request of a route found room, and whether a target's daemon takes it for a call.
func (o *outcomes) observe(route string, room, nested bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known := o.routes[route]
	if known == nil {
		if len(o.routes) >= outcomesMost {
			clear(o.routes)
		}
		known = &outcome{room: 1}
		o.routes[route] = known
	}
	found := 0.0
	if room {
		found = 1
	}
	known.room += (found - known.room) * outcomeWeight
	known.nested = nested
}

// of is what is known of a route.
func (o *outcomes) of(route string) outcome {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if known := o.routes[route]; known != nil {
		return *known
	}
	return outcome{room: 1}
}
