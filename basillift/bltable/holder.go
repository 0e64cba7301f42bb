package bltable

import (
	"sync"
	"sync/atomic"

	"basillift.dev/basillift"
)

// Holder keeps the table in force. Versions never go back. It is safe for concurrent use.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[Table]
	first   chan struct{}
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{first: make(chan struct{})} }

// Current is the table in force; nil before the first one.
func (h *Holder) Current() *Table { return h.current.Load() }

// First is closed once there is a table.
func (h *Holder) First() <-chan struct{} { return h.first }

// Adopt puts a published table in force if it is valid and newer than the held
// one, and reports whether it did. An invalid table changes nothing.
func (h *Holder) Adopt(r basillift.RoutingSpec) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := h.current.Load()
	if held != nil && r.Version() <= held.Version() {
		return false, nil
	}
	t, err := Build(r)
	if err != nil {
		return false, err
	}
	h.current.Store(t)
	if held == nil {
		close(h.first)
	}
	return true, nil
}
