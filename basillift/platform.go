package basillift

import "context"

// Value is the content of a key of the platform as of one read.
type Value struct {
	key           string
	data          []byte
	modRevision   uint64
	storeRevision uint64
}

// NewValue returns a value. modRevision is the store revision that last changed the key, and
// storeRevision is the store's revision at the time of the read.
func NewValue(key string, data []byte, modRevision, storeRevision uint64) Value {
	return Value{key: key, data: data, modRevision: modRevision, storeRevision: storeRevision}
}

// Key is the key that was read.
func (v Value) Key() string { return v.key }

// Data is the content of the key. The caller must not change it.
func (v Value) Data() []byte { return v.data }

// ModRevision is the store revision that last changed the key.
func (v Value) ModRevision() uint64 { return v.modRevision }

// StoreRevision is the store's revision at the time of the read.
func (v Value) StoreRevision() uint64 { return v.storeRevision }

// Platform reads and watches the platform's keys and never writes them. Each call counts against
// the read budget that all readers share; a waiting watch counts as one call.
type Platform interface {
	// Read returns ErrNotFound for a key without a value.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns when the key's modRevision differs from the given one, or with the
	// unchanged value when the platform ends the wait.
	Watch(ctx context.Context, key string, modRevision uint64) (Value, error)
}

// The keys of the platform that basillift reads.
const (
	KeyCustomers = "customers"
	KeyPlans     = "plans"
	KeyVMs       = "vms"
)

// Peers sends control messages to other daemons by VM id.
type Peers interface {
	// Call sends a request and decodes the answer into result.
	Call(ctx context.Context, to VMID, method string, params, result any) error
	// Notify queues a message that has no answer. If the queue is full, the message is dropped and counted.
	Notify(to VMID, method string, params any)
}
