package blfeed

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bltable"
)

// message is what a reader sends to a follower.
type message struct {
	// Table turns the follower's table into the newest one; missing if that is the same.
	Table json.RawMessage `json:"table,omitempty"`
	// TableKey and TableRevision are those of the newest table in the registry.
	TableKey      string   `json:"tableKey,omitempty"`
	TableRevision uint64   `json:"tableRevision,omitempty"`
	Targets       []target `json:"targets,omitempty"`
}

// target is the entry of a target, or what is left of its key.
type target struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Gone is set for a key without a usable entry.
	Gone     bool                    `json:"gone,omitempty"`
	Instance string                  `json:"instance,omitempty"`
	Service  string                  `json:"service,omitempty"`
	Address  string                  `json:"address,omitempty"`
	Daemon   string                  `json:"daemon,omitempty"`
	Domain   basillift.FailureDomain `json:"domain,omitempty"`
	Slots    int                     `json:"slots,omitempty"`
	State    basillift.TargetState   `json:"state,omitempty"`
	// Warmup is how much longer the target is slow, in ms.
	Warmup int64 `json:"warmup,omitempty"`
	// Born is in Unix milliseconds.
	Born     int64  `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// newTarget is an entry as it is told some time after the daemon itself learned of it.
func newTarget(p basillift.RegistryEntry, since time.Duration) target {
	e, usable := p.Endpoint()
	if !usable {
		return target{Key: p.Key(), Revision: p.Revision(), Gone: true}
	}
	return target{
		Key: p.Key(), Revision: p.Revision(), Instance: e.Instance(), Service: e.Service(), Address: e.Address(),
		Daemon: e.Daemon(), Domain: e.Domain(), Slots: e.Slots(), State: e.State(), Born: e.StartedAt().UnixMilli(),
		Warmup: max(0, e.WarmupRemaining()-since).Milliseconds(), Sequence: e.Sequence(),
	}
}

func (t target) publication() basillift.RegistryEntry {
	p := basillift.NewRegistryEntry(t.Key, t.Revision)
	if t.Gone {
		return p
	}
	return p.WithEndpoint(basillift.NewEndpoint(t.Instance, t.Service, t.Address, t.Domain, t.Slots, t.State).
		WithDaemon(t.Daemon).
		WithStart(time.UnixMilli(t.Born), time.Duration(t.Warmup)*time.Millisecond).
		WithSequence(t.Sequence))
}

// decode returns the publications of a message for a daemon that holds a table; nil for none.
func decode(held *bltable.Table, body []byte) ([]basillift.RegistryEntry, error) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode feed: %w", errors.Join(basillift.ErrRefused, err))
	}
	publications := make([]basillift.RegistryEntry, 0, len(m.Targets)+1)
	if m.Table != nil {
		table, err := bltable.ParseDelta(held, m.Table)
		if err != nil {
			return nil, fmt.Errorf("table of feed: %w", err)
		}
		publications = append(publications, basillift.NewRegistryEntry(m.TableKey, m.TableRevision).WithRoutingSpec(table))
	}
	for _, t := range m.Targets {
		publications = append(publications, t.publication())
	}
	return publications, nil
}
