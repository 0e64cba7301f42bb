package blnotice

import (
	"time"

	"basillift.dev/basillift"
)

// VersionLag measures how long a daemon has held an older version than a peer. The zero value is ready to use.
type VersionLag struct {
	since time.Time
}

// Observe records the version in force and the newest version of any peer. It returns how long the daemon has
// been behind; 0 if it is not.
func (l *VersionLag) Observe(now time.Time, inForce, newest basillift.Version) time.Duration {
	if !newest.NewerThan(inForce) {
		l.since = time.Time{}
		return 0
	}
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since)
}
