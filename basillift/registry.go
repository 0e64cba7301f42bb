package basillift

import (
	"context"
	"time"
)

// RegistryEntry is the content of one key of the registry: a routing table, a target's entry, or the evacuation of a failure
// domain.
type RegistryEntry struct {
	revision    Revision
	key         string
	routingSpec *RoutingSpec
	endpoint    *Endpoint
	evacuation  *evacuationChange
	invalid     error
}

// evacuationChange is the begin or the end of the evacuation of a failure domain.
type evacuationChange struct {
	domain FailureDomain
	ended  bool
}

// NewRegistryEntry returns the entry of a key, last changed at the revision. An entry whose content cannot be used
// has neither a routing table nor an endpoint; WithInvalid adds the reason. The entry of a
// deleted key has none of these, except that of an evacuation, which names the failure domain.
func NewRegistryEntry(key string, revision Revision) RegistryEntry {
	return RegistryEntry{key: key, revision: revision}
}

// WithRoutingSpec returns a copy with a routing table.
func (e RegistryEntry) WithRoutingSpec(r RoutingSpec) RegistryEntry {
	e.routingSpec = &r
	return e
}

// WithEndpoint returns a copy with a target's entry.
func (e RegistryEntry) WithEndpoint(endpoint Endpoint) RegistryEntry {
	e.endpoint = &endpoint
	return e
}

// WithEvacuation returns a copy that evacuates a failure domain: nothing may be sent to its targets while the key exists.
func (e RegistryEntry) WithEvacuation(domain FailureDomain) RegistryEntry {
	e.evacuation = &evacuationChange{domain: domain}
	return e
}

// WithEvacuationEnd returns a copy that ends the evacuation of a failure domain: its key was deleted.
func (e RegistryEntry) WithEvacuationEnd(domain FailureDomain) RegistryEntry {
	e.evacuation = &evacuationChange{domain: domain, ended: true}
	return e
}

// WithInvalid returns a copy with the reason why the content cannot be used.
func (e RegistryEntry) WithInvalid(err error) RegistryEntry {
	e.invalid = err
	return e
}

// Key is the entry's key in the registry.
func (e RegistryEntry) Key() string { return e.key }

// Revision is the registry's revision that last changed the entry.
func (e RegistryEntry) Revision() Revision { return e.revision }

// RoutingSpec returns the routing table, if the key holds one.
func (e RegistryEntry) RoutingSpec() (RoutingSpec, bool) {
	if e.routingSpec == nil {
		return RoutingSpec{}, false
	}
	return *e.routingSpec, true
}

// Endpoint returns the target's entry, if the key holds a usable one.
func (e RegistryEntry) Endpoint() (Endpoint, bool) {
	if e.endpoint == nil {
		return Endpoint{}, false
	}
	return *e.endpoint, true
}

// Evacuation returns the failure domain that the key evacuates, if it does. That holds also if its content is invalid.
func (e RegistryEntry) Evacuation() (FailureDomain, bool) {
	if e.evacuation == nil || e.evacuation.ended {
		return "", false
	}
	return e.evacuation.domain, true
}

// EvacuationEnd returns the failure domain that the deleted key evacuated, if it was such a key.
func (e RegistryEntry) EvacuationEnd() (FailureDomain, bool) {
	if e.evacuation == nil || !e.evacuation.ended {
		return "", false
	}
	return e.evacuation.domain, true
}

// Invalid is the reason why the content cannot be used; nil for usable content and for deleted keys.
func (e RegistryEntry) Invalid() error { return e.invalid }

// RegistryPage is an answer of the registry, or of a daemon that relays it: one page of a listing, or changes.
type RegistryPage struct {
	entries      []RegistryEntry
	revision     Revision
	next         string
	transferTime time.Duration
	relayed      bool
}

// NewRegistryPage returns an answer that is current as of a revision. next is the key
// after which a further page begins, or empty.
func NewRegistryPage(entries []RegistryEntry, revision Revision, next string) RegistryPage {
	return RegistryPage{entries: entries, revision: revision, next: next}
}

// WithTransferTime returns a copy with the transfer time of the answer, without the wait before it.
func (p RegistryPage) WithTransferTime(d time.Duration) RegistryPage {
	p.transferTime = d
	return p
}

// TransferTime is the transfer time of the answer, without the wait before it.
func (p RegistryPage) TransferTime() time.Duration { return p.transferTime }

// WithRelayed returns a copy that is marked as the answer of another daemon, which puts no load on the registry.
func (p RegistryPage) WithRelayed() RegistryPage {
	p.relayed = true
	return p
}

// Relayed reports whether the answer came from another daemon.
func (p RegistryPage) Relayed() bool { return p.relayed }

// Entries are the entries or changes of the answer, in the registry's order.
func (p RegistryPage) Entries() []RegistryEntry { return p.entries }

// Revision is the registry's revision as of which the answer is current.
func (p RegistryPage) Revision() Revision { return p.revision }

// Next is the key after which the next page begins; empty on the last one.
func (p RegistryPage) Next() string { return p.next }

// Registry publishes routing tables and the entries of targets. Daemons only read it.
// Errors wrap ErrUnavailable when the registry does not answer or refuses, and
// ErrCompacted when the changes since a revision are no longer known.
type Registry interface {
	// List returns one page of all entries after the given key.
	List(ctx context.Context, after string) (RegistryPage, error)
	// Changes returns the changes after the revision. The registry waits until there is one, at most for the given time.
	// If the registry is in another era, its answer says so by the revision of the page, and the changes are not those after
	// the given revision.
	// If its answer has not begun by timeout after that, it counts as lost, and the error wraps ErrUnavailable. The
	// implementation calls bltrace.AnswerBegun when changes begin to arrive.
	Changes(ctx context.Context, revision Revision, wait, timeout time.Duration) (RegistryPage, error)
}

// RevisionGossip exchanges the newest known revision of the registry between daemons, so
// that a daemon that missed an answer of the registry detects that it is behind.
type RevisionGossip interface {
	// NewestRevision is the newest revision of an entry that this daemon has seen.
	NewestRevision() Revision
	// ObserveRevision records the newest revision that another daemon has seen.
	ObserveRevision(revision Revision)
}
