package blnotice

import (
	"time"

	"basillift.dev/basillift"
)

// Lag measures for how long a daemon has held an older version than a peer.
type Lag struct {
	since time.Time
}

// Observe takes the version in force and the newest that a peer holds, and returns how long the
// daemon has been behind.
func (l *Lag) Observe(now time.Time, held, newest basillift.Version) time.Duration {
	if !newest.NewerThan(held) {
		l.since = time.Time{}
		return 0
	}
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since)
}
