package main

import (
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/bltable"
)

// adopt adopts a routing table and reports whether the entry holds one. received is when its answer had arrived.
func (d *tableDaemon) adopt(received time.Time, entry basillift.RegistryEntry) bool {
	table, ok := entry.RoutingSpec()
	if !ok {
		if entry.Invalid() != nil && !isEvacuation(entry) {
			d.log.Event(bllog.VersionRefused()).Err(entry.Invalid()).Send()
		}
		return false
	}
	adopted, err := d.tables.Adopt(table)
	if err == nil && d.cache != nil {
		d.cacheTable(entry, table)
	}
	d.finishAdoption(received, table, adopted, err)
	return true
}

// adoptRelayed adopts a routing table of which another daemon has told while the registry does not answer. It is not passed on.
func (d *tableDaemon) adoptRelayed(received time.Time, table basillift.RoutingSpec) {
	adopted, err := d.tables.Adopt(table)
	d.finishAdoption(received, table, adopted, err)
}

// finishAdoption passes a table that is in force now on to the fleet. It logs that, or why the table is refused.
func (d *tableDaemon) finishAdoption(received time.Time, table basillift.RoutingSpec, adopted bool, err error) {
	switch {
	case err != nil:
		d.log.Event(bllog.VersionRefused()).Uint64("version", table.Version()).Err(err).Send()
	case adopted:
		d.passServices()
		d.log.Event(bllog.VersionApplied()).Uint64("version", table.Version()).Int("routes", len(table.Routes())).
			Int64("after_ms", time.Since(received).Milliseconds()).Send()
	}
}

// passServices tells the fleet the services of the table in force. The mutex keeps an older table from coming last.
func (d *tableDaemon) passServices() {
	d.servicesMutex.Lock()
	defer d.servicesMutex.Unlock()
	d.fleet.SetServices(d.tables.Current().RoutingSpec().Services())
}

// cacheTable passes a table of the registry on to followers. Other daemons may have told of it, or of a newer one, before.
func (d *tableDaemon) cacheTable(entry basillift.RegistryEntry, spec basillift.RoutingSpec) {
	table := d.tables.Current()
	if table.Version() != spec.Version() {
		var err error
		if table, err = bltable.Build(spec); err != nil {
			d.cache.Observe(entry)
			return
		}
	}
	d.cache.Adopt(entry, table)
}
