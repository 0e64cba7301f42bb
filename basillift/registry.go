package basillift

import (
	"context"
	"time"
)

// RegistryEntry is one thing that the registry holds: a routing table or a target's entry.
type RegistryEntry struct {
	revision    uint64
	key         string
	routingSpec *RoutingSpec
	endpoint    *Endpoint
	invalid     error
}

// NewRegistryEntry returns what a key holds since a revision. A key whose content is of no use has neither a
// routing table nor an endpoint, and possibly the reason.
func NewRegistryEntry(key string, revision uint64) RegistryEntry {
	return RegistryEntry{key: key, revision: revision}
}

// WithRoutingSpec adds a routing table.
func (p RegistryEntry) WithRoutingSpec(r RoutingSpec) RegistryEntry {
	p.routingSpec = &r
	return p
}

// WithEndpoint adds a target's entry.
func (p RegistryEntry) WithEndpoint(e Endpoint) RegistryEntry {
	p.endpoint = &e
	return p
}

// WithInvalid adds why the content cannot be used.
func (p RegistryEntry) WithInvalid(err error) RegistryEntry {
	p.invalid = err
	return p
}

// Key identifies the entry in the registry.
func (p RegistryEntry) Key() string { return p.key }

// Revision is the registry's revision of the last change.
func (p RegistryEntry) Revision() uint64 { return p.revision }

// RoutingSpec returns the routing table, if the key holds one.
func (p RegistryEntry) RoutingSpec() (RoutingSpec, bool) {
	if p.routingSpec == nil {
		return RoutingSpec{}, false
	}
	return *p.routingSpec, true
}

// Endpoint returns the target's entry, if the key holds a usable one.
func (p RegistryEntry) Endpoint() (Endpoint, bool) {
	if p.endpoint == nil {
		return Endpoint{}, false
	}
	return *p.endpoint, true
}

// Invalid is why the content cannot be used; nil for usable content and for deleted keys.
func (p RegistryEntry) Invalid() error { return p.invalid }

// RegistryPage is an answer of the registry.
type RegistryPage struct {
	entries      []RegistryEntry
	revision     uint64
	next         string
	transferTime time.Duration
	relayed      bool
}

// NewRegistryPage returns an answer that is current as of a revision. next is the key
// after which a further page begins, or empty.
func NewRegistryPage(publications []RegistryEntry, revision uint64, next string) RegistryPage {
	return RegistryPage{entries: publications, revision: revision, next: next}
}

// WithTransferTime sets how long the answer was on its way, without the wait before it.
func (l RegistryPage) WithTransferTime(d time.Duration) RegistryPage {
	l.transferTime = d
	return l
}

// TransferTime is how long the answer was on its way.
func (l RegistryPage) TransferTime() time.Duration { return l.transferTime }

// WithRelayed marks an answer that another daemon gave, which costs the registry nothing.
func (l RegistryPage) WithRelayed() RegistryPage {
	l.relayed = true
	return l
}

// Relayed reports whether another daemon gave the answer.
func (l RegistryPage) Relayed() bool { return l.relayed }

// Entries are the entries or changes of the answer, in the registry's order.
func (l RegistryPage) Entries() []RegistryEntry { return l.entries }

// Revision is the registry's revision of the answer.
func (l RegistryPage) Revision() uint64 { return l.revision }

// Next is the key after which the next page begins; empty on the last one.
func (l RegistryPage) Next() string { return l.next }

// Registry publishes routing tables and the entries of targets. It is only read.
// Errors wrap ErrUnavailable when the registry does not answer or refuses, and
// ErrCompacted when the changes since a revision are no longer known.
type Registry interface {
	// List returns one page of all entries after the given key.
	List(ctx context.Context, after string) (RegistryPage, error)
	// Changes waits until there is a change after the revision, or until the wait is over.
	Changes(ctx context.Context, revision uint64, wait time.Duration) (RegistryPage, error)
}

// RevisionGossip compares what daemons know of the registry. Daemons tell each other the
// newest revision that they have seen, so that one whose answer was lost notices.
type RevisionGossip interface {
	// NewestRevision is the newest revision of an entry that this daemon has seen.
	NewestRevision() uint64
	// ObserveRevision takes the newest revision that another daemon has seen.
	ObserveRevision(revision uint64)
}
