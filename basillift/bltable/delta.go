package bltable

import (
	"encoding/json"
	"errors"
	"fmt"

	"basillift.dev/basillift"
)

// FileDelta is the difference between two versions of a table, in the form in which daemons send it to each other.
// Services and Limits are those of the whole new table; Routes holds only new and changed routes.
type FileDelta struct {
	// From is the version to which the delta applies; 0 if it holds a whole table.
	From uint64 `json:"from"`
	File
	// Removed lists the names of the removed routes.
	Removed []string `json:"removed,omitempty"`
}

// FormatDelta encodes the difference between two tables as JSON. It holds the whole table if before is nil, or if
// routes of either table share a name.
func FormatDelta(before *Table, after basillift.RoutingSpec) ([]byte, error) {
	d := FileDelta{File: newFile(after)}
	current := routesByName(after)
	var old map[string]basillift.Route
	if before != nil {
		old = routesByName(before.RoutingSpec())
	}
	if before != nil && len(old) == len(before.RoutingSpec().Routes()) && len(current) == len(after.Routes()) {
		d.From = before.Version()
	} else {
		// A delta identifies routes by name, so it cannot express routes that share one.
		old = nil
	}
	for _, r := range after.Routes() {
		if previous, existed := old[r.Name()]; !existed || len(changedFields(previous, r)) > 0 {
			d.Routes = append(d.Routes, newFileRoute(r))
		}
	}
	for name := range old {
		if _, kept := current[name]; !kept {
			d.Removed = append(d.Removed, name)
		}
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return data, nil
}

// ParseDelta decodes the output of FormatDelta and applies it to a table, which may be nil if the delta holds a whole
// table. The error wraps basillift.ErrRefused if the data is invalid or the delta is for another version.
func ParseDelta(before *Table, data []byte) (basillift.RoutingSpec, error) {
	var d FileDelta
	if err := json.Unmarshal(data, &d); err != nil {
		return basillift.RoutingSpec{}, fmt.Errorf("decode delta: %w", errors.Join(basillift.ErrRefused, errNotTable, err))
	}
	update, err := d.routing()
	if err != nil || d.From == 0 {
		return update, err
	}
	if before == nil || before.Version() != d.From {
		return basillift.RoutingSpec{}, fmt.Errorf("delta from version %d: %w", d.From, basillift.ErrRefused)
	}
	return basillift.NewRoutingSpec(d.Version, d.merge(before.RoutingSpec().Routes(), update), update.Services(), update.Limits()), nil
}

// merge returns the routes before the delta with changed routes replaced, removed ones omitted and new ones appended.
func (d FileDelta) merge(before []basillift.Route, update basillift.RoutingSpec) []basillift.Route {
	removed := make(map[string]bool, len(d.Removed))
	for _, name := range d.Removed {
		removed[name] = true
	}
	changed := routesByName(update)
	merged := make([]basillift.Route, 0, len(before)+len(changed))
	for _, r := range before {
		if c, ok := changed[r.Name()]; ok {
			r = c
			delete(changed, r.Name())
		}
		if !removed[r.Name()] {
			merged = append(merged, r)
		}
	}
	for _, r := range update.Routes() {
		if _, isNew := changed[r.Name()]; isNew {
			merged = append(merged, r)
		}
	}
	return merged
}
