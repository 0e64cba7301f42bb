package labbench

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
)

// appliedVersion is a version that one daemon applied, and when.
type appliedVersion struct {
	version basillift.Version
	at      time.Time
}

// convergenceMeter records when each daemon applies a version.
type convergenceMeter struct {
	mutex   sync.Mutex
	applied [][]appliedVersion
	changed chan struct{}
}

func newConvergenceMeter(daemons int) *convergenceMeter {
	return &convergenceMeter{applied: make([][]appliedVersion, daemons), changed: make(chan struct{}, 1)}
}

// recordApplied records that the daemon with the given index applied a version.
func (m *convergenceMeter) recordApplied(daemon int, v basillift.Version, at time.Time) {
	m.mutex.Lock()
	m.applied[daemon] = append(m.applied[daemon], appliedVersion{version: v, at: at})
	m.mutex.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// waitApplied waits until every daemon has applied the version or a newer one, and returns the
// time at which the last daemon did so. It then keeps only the newest applied version of each
// daemon, so callers must wait for versions in ascending order.
func (m *convergenceMeter) waitApplied(ctx context.Context, v basillift.Version) (time.Time, bool) {
	for {
		if at, ok := m.lastApplied(v); ok {
			return at, true
		}
		select {
		case <-m.changed:
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}

// lastApplied is waitApplied without the wait. It returns false if a daemon has not yet
// applied the version.
func (m *convergenceMeter) lastApplied(v basillift.Version) (time.Time, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var last time.Time
	for _, list := range m.applied {
		at, ok := firstApplied(list, v)
		if !ok {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	for i, list := range m.applied {
		m.applied[i] = append([]appliedVersion{}, list[len(list)-1])
	}
	return last, true
}

// firstApplied returns when the first version that is v or newer was applied.
func firstApplied(list []appliedVersion, v basillift.Version) (time.Time, bool) {
	for _, a := range list {
		if a.version.Compare(v) >= 0 {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// recorder passes the applied versions of one daemon to the meter.
type recorder struct {
	meter  *convergenceMeter
	daemon int
}

// Record passes an event version.applied to the meter and ignores all others.
func (r *recorder) Record(e basillift.Event) {
	if e.Kind() == basillift.EventVersionApplied {
		r.meter.recordApplied(r.daemon, e.Version(), e.At())
	}
}
