// Package blring provides a bounded ring that joins two duties.
//
// # Usage
//
// The producer offers values and decides what a full ring means for it; the
// one consumer takes values until the ring is closed:
//
//	r := blring.New[Message](256)
//	if !r.Offer(m) {
//		dropped.Inc()
//	}
//	for {
//		m, ok := r.Take(ctx)
//		if !ok {
//			return
//		}
//		handle(m)
//	}
package blring

import "context"

// Ring is a bounded first-in first-out queue with any number of producers and one consumer.
type Ring[T any] struct {
	values chan T
}

// New returns a ring that holds up to size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{values: make(chan T, size)}
}

// Offer adds a value without waiting and reports false when the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.values <- v:
		return true
	default:
		return false
	}
}

// Put adds a value, waiting for room until ctx ends, and reports whether it was added.
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	select {
	case r.values <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take waits for a value until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Values returns the channel of queued values, for use in a select.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Len is the number of queued values.
func (r *Ring[T]) Len() int { return len(r.values) }
