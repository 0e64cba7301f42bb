package labbench

import (
	"context"
	"sync"
	"time"

	"basillift.dev/basillift"
)

// adoption is a version that came into force on one daemon.
type adoption struct {
	version basillift.Version
	at      time.Time
}

// meter notes when each daemon has a version in force.
type meter struct {
	mutex     sync.Mutex
	adoptions [][]adoption
	changed   chan struct{}
}

func newMeter(daemons int) *meter {
	return &meter{adoptions: make([][]adoption, daemons), changed: make(chan struct{}, 1)}
}

// applied notes a version in force on the daemon with the given index.
func (m *meter) applied(daemon int, v basillift.Version, at time.Time) {
	m.mutex.Lock()
	m.adoptions[daemon] = append(m.adoptions[daemon], adoption{version: v, at: at})
	m.mutex.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// wait returns when the last daemon had the version, or a newer one, first in force. It
// keeps of each daemon only the newest adoption, so that waits are made in the order of versions.
func (m *meter) wait(ctx context.Context, v basillift.Version) (time.Time, bool) {
	for {
		if at, ok := m.last(v); ok {
			return at, true
		}
		select {
		case <-m.changed:
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}

func (m *meter) last(v basillift.Version) (time.Time, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var last time.Time
	for _, list := range m.adoptions {
		at, ok := first(list, v)
		if !ok {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	for i, list := range m.adoptions {
		m.adoptions[i] = append([]adoption{}, list[len(list)-1])
	}
	return last, true
}

func first(list []adoption, v basillift.Version) (time.Time, bool) {
	for _, a := range list {
		if a.version.Compare(v) >= 0 {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// recorder passes the versions in force of one daemon to the meter.
type recorder struct {
	meter  *meter
	daemon int
}

// Record takes an event.
func (r *recorder) Record(e basillift.Event) {
	if e.Kind() == basillift.EventVersionApplied {
		r.meter.applied(r.daemon, e.Version(), e.At())
	}
}
