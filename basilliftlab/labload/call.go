package labload

import (
	"net/http"
	"time"
)

// Kind is what a call does.
type Kind string

// The kinds of calls.
const (
	KindGet    Kind = "get"
	KindKeyed  Kind = "keyed"
	KindPost   Kind = "post"
	KindUpload Kind = "upload"
)

// Kinds returns all kinds in the order of reports.
func Kinds() []Kind { return []Kind{KindGet, KindKeyed, KindPost, KindUpload} }

// Method is the HTTP method. Uploads use PUT, so that they may be sent again.
func (k Kind) Method() string {
	switch k {
	case KindGet:
		return http.MethodGet
	case KindUpload:
		return http.MethodPut
	default:
		return http.MethodPost
	}
}

// Idempotent reports whether a call of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == KindGet || k == KindUpload }

// Call is one call as it was planned. A repeat is the same call, sent again with
// the same key after its first answer.
type Call struct {
	id       string
	kind     Kind
	address  string
	service  string
	customer string
	key      string
	variant  int
	intended time.Time
	work     time.Duration
	repeat   bool
}

// NewCall returns a call of a customer to a service through a daemon's address.
func NewCall(id string, k Kind, address, customer, service string) Call {
	return Call{id: id, kind: k, address: address, customer: customer, service: service}
}

// ID is unique over all runs of the client.
func (c Call) ID() string { return c.id }

// Kind is what the call does.
func (c Call) Kind() Kind { return c.kind }

// Address is the daemon to which the caller sends.
func (c Call) Address() string { return c.address }

// Service is the called service.
func (c Call) Service() string { return c.service }

// Customer is the customer in whose name the call is sent.
func (c Call) Customer() string { return c.customer }

// Key is the idempotency key, or "".
func (c Call) Key() string { return c.key }

// Intended is when the call should be sent; latency counts from here.
func (c Call) Intended() time.Time { return c.intended }

// Work is the work time that the call asks for beyond the usual one.
func (c Call) Work() time.Duration { return c.work }

// Repeat reports whether the call was sent before.
func (c Call) Repeat() bool { return c.repeat }

// Again returns the repeat of a call through a daemon.
func (c Call) Again(now time.Time, address string) Call {
	c.repeat = true
	c.intended = now
	c.address = address
	return c
}
