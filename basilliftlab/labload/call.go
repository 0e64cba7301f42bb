package labload

import (
	"net/http"
	"time"
)

// Kind is the kind of a call. It decides the method, the body and the idempotency key.
type Kind string

// The kinds of calls.
const (
	KindGet    Kind = "get"
	KindKeyed  Kind = "keyed"
	KindPost   Kind = "post"
	KindUpload Kind = "upload"
)

// Kinds returns all kinds in the order in which reports list them.
func Kinds() []Kind { return []Kind{KindGet, KindKeyed, KindPost, KindUpload} }

// Method is the HTTP method. Uploads use PUT, which is idempotent, so that they may
// be retried.
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

// Call is a planned call. A repeat is the same call with the same id and key, sent
// again after the first one has ended.
type Call struct {
	id            string
	kind          Kind
	address       string
	service       string
	customer      string
	key           string
	uploadVariant int
	intended      time.Time
	extraWork     time.Duration
	isRepeat      bool
}

// NewCall returns a call of a customer to a service. address is the caller address
// of a daemon.
func NewCall(id string, k Kind, address, customer, service string) Call {
	return Call{id: id, kind: k, address: address, customer: customer, service: service}
}

// ID is unique across all runs of the client, except that a repeat has the id of the
// first call.
func (c Call) ID() string { return c.id }

// Kind is the kind of the call.
func (c Call) Kind() Kind { return c.kind }

// Address is the caller address of the daemon to which the call is sent.
func (c Call) Address() string { return c.address }

// Service is the name of the called service.
func (c Call) Service() string { return c.service }

// Customer is the customer on whose behalf the call is sent.
func (c Call) Customer() string { return c.customer }

// Key is the idempotency key, or "" for none.
func (c Call) Key() string { return c.key }

// Intended is the time at which the call should be sent. Latency is measured from it.
func (c Call) Intended() time.Time { return c.intended }

// ExtraWork is the work time that the call requests in addition to the target's own.
func (c Call) ExtraWork() time.Duration { return c.extraWork }

// Repeat reports whether this is the repeat of an earlier call.
func (c Call) Repeat() bool { return c.isRepeat }

// AsRepeat returns the repeat of a call, to be sent now to a daemon's caller address.
func (c Call) AsRepeat(now time.Time, address string) Call {
	c.isRepeat = true
	c.intended = now
	c.address = address
	return c
}
