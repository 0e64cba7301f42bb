package blfeed

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

// feedBody is the body of a response from a reader to a follower.
type feedBody struct {
	// Table is the difference between the follower's table and the newest one, or the whole newest table if the reader
	// no longer has the follower's. It is missing if the follower has the newest one.
	Table json.RawMessage `json:"table,omitempty"`
	// TableKey and TableRevision are the key and revision of the newest table in the registry.
	TableKey      string             `json:"tableKey,omitempty"`
	TableRevision basillift.Revision `json:"tableRevision,omitempty"`
	Targets       []feedTarget       `json:"targets,omitempty"`
}

// feedTarget is the entry of a target, that of an evacuation, or only its key and revision if there is no usable entry.
type feedTarget struct {
	Key      string             `json:"key"`
	Revision basillift.Revision `json:"revision"`
	// Unusable is set if the key has no usable entry: the entry was removed or its content is invalid.
	Unusable bool                    `json:"gone,omitempty"`
	Instance string                  `json:"instance,omitempty"`
	Service  string                  `json:"service,omitempty"`
	Address  string                  `json:"address,omitempty"`
	Daemon   string                  `json:"daemon,omitempty"`
	Domain   basillift.FailureDomain `json:"domain,omitempty"`
	Slots    int                     `json:"slots,omitempty"`
	State    basillift.TargetState   `json:"state,omitempty"`
	// WarmupMillis is the remaining warm-up time of the target in ms.
	WarmupMillis int64 `json:"warmup,omitempty"`
	// StartedAtMillis is the start of the target in Unix milliseconds.
	StartedAtMillis int64  `json:"born,omitempty"`
	Sequence        uint64 `json:"sequence,omitempty"`
	// Evacuation is the failure domain that the key evacuates, and EvacuationEnd the one that it no longer does. Unusable is set as
	// well: a daemon that does not know these fields takes the entry for the removal of an unknown target, which changes nothing,
	// and still learns its revision.
	Evacuation    basillift.FailureDomain `json:"evacuation,omitempty"`
	EvacuationEnd basillift.FailureDomain `json:"evacuationEnd,omitempty"`
}

// newFeedTarget converts an entry that this daemon received some time ago. The remaining warm-up time is reduced by
// that age.
func newFeedTarget(entry basillift.RegistryEntry, age time.Duration) feedTarget {
	e, usable := entry.Endpoint()
	if !usable {
		begun, _ := entry.Evacuation()
		ended, _ := entry.EvacuationEnd()
		return feedTarget{Key: entry.Key(), Revision: entry.Revision(), Unusable: true, Evacuation: begun, EvacuationEnd: ended}
	}
	return feedTarget{
		Key: entry.Key(), Revision: entry.Revision(), Instance: e.Instance(), Service: e.Service(), Address: e.Address(),
		Daemon: e.Daemon(), Domain: e.Domain(), Slots: e.Slots(), State: e.State(), StartedAtMillis: e.StartedAt().UnixMilli(),
		WarmupMillis: max(0, e.WarmupRemaining()-age).Milliseconds(), Sequence: e.Sequence(),
	}
}

func (t feedTarget) registryEntry() basillift.RegistryEntry {
	entry := basillift.NewRegistryEntry(t.Key, t.Revision)
	switch {
	case t.Evacuation != "":
		return entry.WithEvacuation(t.Evacuation)
	case t.EvacuationEnd != "":
		return entry.WithEvacuationEnd(t.EvacuationEnd)
	case t.Unusable:
		return entry
	}
	return entry.WithEndpoint(basillift.NewEndpoint(t.Instance, t.Service, t.Address, t.Domain, t.Slots, t.State).
		WithDaemon(t.Daemon).
		WithStart(time.UnixMilli(t.StartedAtMillis), time.Duration(t.WarmupMillis)*time.Millisecond).
		WithSequence(t.Sequence))
}

// decodeBody returns the entries of a response body. current is the table to which the difference applies; nil for
// none.
func decodeBody(current *bltable.Table, body []byte) ([]basillift.RegistryEntry, error) {
	var feed feedBody
	if err := json.Unmarshal(body, &feed); err != nil {
		return nil, fmt.Errorf("decode feed: %w", errors.Join(basillift.ErrRefused, err))
	}
	entries := make([]basillift.RegistryEntry, 0, len(feed.Targets)+1)
	if feed.Table != nil {
		table, err := bltable.ParseDelta(current, feed.Table)
		if err != nil {
			return nil, fmt.Errorf("decode table of feed: %w", err)
		}
		entries = append(entries, basillift.NewRegistryEntry(feed.TableKey, feed.TableRevision).WithRoutingSpec(table))
	}
	for _, t := range feed.Targets {
		entries = append(entries, t.registryEntry())
	}
	return entries, nil
}
