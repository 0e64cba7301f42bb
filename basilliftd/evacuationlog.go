package main

import (
	"slices"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blfleet"
	"basillift.dev/basillift/bllog"
)

// isEvacuation reports whether an entry begins or ends an evacuation.
func isEvacuation(entry basillift.RegistryEntry) bool {
	_, begins := entry.Evacuation()
	_, ends := entry.EvacuationEnd()
	return begins || ends
}

// logUnreadableEvacuation logs the key of an evacuation whose value can't be read. It evacuates nevertheless.
func (d *tableDaemon) logUnreadableEvacuation(entry basillift.RegistryEntry) {
	if isEvacuation(entry) && entry.Invalid() != nil {
		d.log.Event(bllog.EvacuationUnreadable()).Str("key", entry.Key()).Err(entry.Invalid()).Send()
	}
}

// evacuationLog holds the evacuations that were logged last.
type evacuationLog struct {
	mutex  sync.Mutex
	logged []blfleet.Evacuation
}

// logEvacuations logs the evacuations that have begun or ended since its last call.
func (d *tableDaemon) logEvacuations() {
	d.evacuations.mutex.Lock()
	defer d.evacuations.mutex.Unlock()
	present := d.fleet.Evacuations()
	for _, e := range d.evacuations.logged {
		if !containsEvacuation(present, e) {
			ended, known := d.fleet.EvacuationEnded(e.Domain())
			if !known {
				ended = time.Now()
			}
			d.log.Event(bllog.EvacuationEnded()).Str("domain", string(e.Domain())).Int("targets", e.TargetCount()).
				Int64("took_ms", ended.Sub(e.Since()).Milliseconds()).Send()
		}
	}
	for _, e := range present {
		if !containsEvacuation(d.evacuations.logged, e) {
			d.log.Event(bllog.EvacuationBegun()).Str("domain", string(e.Domain())).Int("targets", e.TargetCount()).Send()
		}
	}
	d.evacuations.logged = present
}

// containsEvacuation reports whether a list has the same evacuation: one that began again is another one.
func containsEvacuation(list []blfleet.Evacuation, e blfleet.Evacuation) bool {
	return slices.ContainsFunc(list, func(o blfleet.Evacuation) bool { return o.Domain() == e.Domain() && o.Since().Equal(e.Since()) })
}
