package basillift

import (
	"context"
	"time"
)

// Publication is one thing that the registry holds: a routing table or a target's entry.
type Publication struct {
	revision uint64
	key      string
	routing  *Routing
	endpoint *Endpoint
	invalid  error
}

// NewPublication returns what a key holds since a revision. A key whose content is of no use has neither a
// routing table nor an endpoint, and possibly the reason.
func NewPublication(key string, revision uint64) Publication {
	return Publication{key: key, revision: revision}
}

// WithRouting adds a routing table.
func (p Publication) WithRouting(r Routing) Publication {
	p.routing = &r
	return p
}

// WithEndpoint adds a target's entry.
func (p Publication) WithEndpoint(e Endpoint) Publication {
	p.endpoint = &e
	return p
}

// WithInvalid adds why the content cannot be used.
func (p Publication) WithInvalid(err error) Publication {
	p.invalid = err
	return p
}

// Key identifies the entry in the registry.
func (p Publication) Key() string { return p.key }

// Revision is the registry's revision of the last change.
func (p Publication) Revision() uint64 { return p.revision }

// Routing returns the routing table, if the key holds one.
func (p Publication) Routing() (Routing, bool) {
	if p.routing == nil {
		return Routing{}, false
	}
	return *p.routing, true
}

// Endpoint returns the target's entry, if the key holds a usable one.
func (p Publication) Endpoint() (Endpoint, bool) {
	if p.endpoint == nil {
		return Endpoint{}, false
	}
	return *p.endpoint, true
}

// Invalid is why the content cannot be used; nil for usable content and for deleted keys.
func (p Publication) Invalid() error { return p.invalid }

// Listing is an answer of the registry.
type Listing struct {
	publications []Publication
	revision     uint64
	next         string
	transfer     time.Duration
	relayed      bool
}

// NewListing returns an answer that is current as of a revision. next is the key
// after which a further page begins, or empty.
func NewListing(publications []Publication, revision uint64, next string) Listing {
	return Listing{publications: publications, revision: revision, next: next}
}

// WithTransfer sets how long the answer was on its way, without the wait before it.
func (l Listing) WithTransfer(d time.Duration) Listing {
	l.transfer = d
	return l
}

// Transfer is how long the answer was on its way.
func (l Listing) Transfer() time.Duration { return l.transfer }

// WithRelayed marks an answer that another daemon gave, which costs the registry nothing.
func (l Listing) WithRelayed() Listing {
	l.relayed = true
	return l
}

// Relayed reports whether another daemon gave the answer.
func (l Listing) Relayed() bool { return l.relayed }

// Publications are the entries or changes of the answer, in the registry's order.
func (l Listing) Publications() []Publication { return l.publications }

// Revision is the registry's revision of the answer.
func (l Listing) Revision() uint64 { return l.revision }

// Next is the key after which the next page begins; empty on the last one.
func (l Listing) Next() string { return l.next }

// Registry publishes routing tables and the entries of targets. It is only read.
// Errors wrap ErrUnavailable when the registry does not answer or refuses, and
// ErrCompacted when the changes since a revision are no longer known.
type Registry interface {
	// List returns one page of all entries after the given key.
	List(ctx context.Context, after string) (Listing, error)
	// Changes waits until there is a change after the revision, or until the wait is over.
	Changes(ctx context.Context, revision uint64, wait time.Duration) (Listing, error)
}

// Freshness compares what daemons know of the registry. Daemons tell each other the
// newest revision that they have seen, so that one whose answer was lost notices.
type Freshness interface {
	// Seen is the newest revision of an entry that this daemon has seen.
	Seen() uint64
	// Hear takes the newest revision that another daemon has seen.
	Hear(revision uint64)
}
