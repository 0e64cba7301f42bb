package bltimeline

import (
	"sync"

	"basillift.dev/basillift"
)

// DefaultSize is the capacity of a daemon's log, in events.
const DefaultSize = 4096

// Log is a ring buffer of the newest events of one daemon. A full log drops its
// oldest event and counts the dropped events. It implements basillift.Recorder and
// is safe for concurrent use.
type Log struct {
	mutex       sync.Mutex
	vm          basillift.VMID
	incarnation uint64
	sequence    uint64
	events      []basillift.Event
	oldest      int
	dropped     uint64
}

// NewLog returns an empty log for one daemon that keeps up to size events.
func NewLog(vm basillift.VMID, incarnation uint64, size int) *Log {
	return &Log{vm: vm, incarnation: incarnation, events: make([]basillift.Event, 0, size)}
}

// Record assigns the next sequence number to the event and stores it.
func (l *Log) Record(e basillift.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	e = e.WithOrigin(l.vm, l.incarnation, l.sequence)
	if len(l.events) < cap(l.events) {
		l.events = append(l.events, e)
		return
	}
	l.events[l.oldest] = e
	l.oldest = (l.oldest + 1) % len(l.events)
	l.dropped++
}

// Events returns the stored events, oldest first, and the number of dropped events.
func (l *Log) Events() ([]basillift.Event, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make([]basillift.Event, 0, len(l.events))
	kept = append(kept, l.events[l.oldest:]...)
	kept = append(kept, l.events[:l.oldest]...)
	return kept, l.dropped
}
