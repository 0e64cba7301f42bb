package bltable

import (
	"sync"
	"sync/atomic"

	"basillift.dev/basillift"
)

// Holder holds the current table. The version of the table only increases. It is safe for concurrent use.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[Table]
	ready   chan struct{}
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{ready: make(chan struct{})} }

// Current returns the current table, or nil before the first one is adopted.
func (h *Holder) Current() *Table { return h.current.Load() }

// Ready returns a channel that is closed when the first table is adopted.
func (h *Holder) Ready() <-chan struct{} { return h.ready }

// Adopt makes a published table the current one if it is valid and newer, and reports whether it did. A table that is
// not newer is ignored without an error. An invalid table returns an *InvalidError and changes nothing.
func (h *Holder) Adopt(r basillift.RoutingSpec) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	current := h.current.Load()
	if current != nil && r.Version() <= current.Version() {
		return false, nil
	}
	t, err := Build(r)
	if err != nil {
		return false, err
	}
	h.current.Store(t)
	if current == nil {
		close(h.ready)
	}
	return true, nil
}
