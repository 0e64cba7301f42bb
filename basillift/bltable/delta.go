package bltable

import (
	"encoding/json"
	"errors"
	"fmt"

	"basillift.dev/basillift"
)

// FileDelta is what turns one version of a table into another, as daemons send it to each other. Services
// and limits are those of the result; routes are the new and changed ones.
type FileDelta struct {
	// From is the version to which the delta applies; 0 if it holds the whole table.
	From uint64 `json:"from"`
	File
	// Removed names the routes that no longer exist.
	Removed []string `json:"removed,omitempty"`
}

// FormatDelta writes what turns one table into another. A nil table before gives the whole table.
func FormatDelta(before *Table, after basillift.RoutingSpec) ([]byte, error) {
	d := FileDelta{File: newFile(after)}
	current := byName(after)
	var old map[string]basillift.Route
	if before != nil {
		old = byName(before.RoutingSpec())
	}
	if before != nil && len(old) == len(before.RoutingSpec().Routes()) && len(current) == len(after.Routes()) {
		d.From = before.Version()
	} else {
		// Routes that share a name cannot be told apart in a delta.
		old = nil
	}
	for _, r := range after.Routes() {
		if was, known := old[r.Name()]; !known || len(changes(was, r)) > 0 {
			d.Routes = append(d.Routes, newFileRoute(r))
		}
	}
	for name := range old {
		if _, stays := current[name]; !stays {
			d.Removed = append(d.Removed, name)
		}
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return data, nil
}

// ParseDelta reads what FormatDelta wrote and applies it to a table, which may be nil
// for a whole one. The error wraps basillift.ErrRefused if it does not fit.
func ParseDelta(before *Table, data []byte) (basillift.RoutingSpec, error) {
	var d FileDelta
	if err := json.Unmarshal(data, &d); err != nil {
		return basillift.RoutingSpec{}, fmt.Errorf("decode delta: %w", errors.Join(basillift.ErrRefused, errFile, err))
	}
	news, err := d.routing()
	if err != nil || d.From == 0 {
		return news, err
	}
	if before == nil || before.Version() != d.From {
		return basillift.RoutingSpec{}, fmt.Errorf("delta from version %d: %w", d.From, basillift.ErrRefused)
	}
	return basillift.NewRoutingSpec(d.Version, d.merge(before.RoutingSpec().Routes(), news), news.Services(), news.Limits()), nil
}

// merge replaces and removes routes, and puts new ones behind the others.
func (d FileDelta) merge(before []basillift.Route, news basillift.RoutingSpec) []basillift.Route {
	removed := make(map[string]bool, len(d.Removed))
	for _, name := range d.Removed {
		removed[name] = true
	}
	changed := byName(news)
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
	for _, r := range news.Routes() {
		if _, isNew := changed[r.Name()]; isNew {
			merged = append(merged, r)
		}
	}
	return merged
}
