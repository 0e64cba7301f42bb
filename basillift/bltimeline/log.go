package bltimeline

import (
	"sync"

	"basillift.dev/basillift"
)

// DefaultSize is the number of events that a daemon keeps.
const DefaultSize = 4096

// Log is a bounded ring of the newest events of one daemon. A full log drops
// its oldest event and counts it. It implements basillift.Recorder.
type Log struct {
	mutex       sync.Mutex
	vm          basillift.VMID
	incarnation uint64
	sequence    uint64
	events      []basillift.Event
	next        int
	dropped     uint64
}

// NewLog returns an empty log for one daemon.
func NewLog(vm basillift.VMID, incarnation uint64, size int) *Log {
	return &Log{vm: vm, incarnation: incarnation, events: make([]basillift.Event, 0, size)}
}

// Record numbers the event and keeps it.
func (l *Log) Record(e basillift.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	e = e.WithOrigin(l.vm, l.incarnation, l.sequence)
	if len(l.events) < cap(l.events) {
		l.events = append(l.events, e)
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
	l.dropped++
}

// Events returns the kept events, oldest first, and the number of dropped ones.
func (l *Log) Events() ([]basillift.Event, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make([]basillift.Event, 0, len(l.events))
	kept = append(kept, l.events[l.next:]...)
	kept = append(kept, l.events[:l.next]...)
	return kept, l.dropped
}
