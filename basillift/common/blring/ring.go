// Package blring provides a bounded queue between goroutines.
//
// # Usage
//
// A producer offers values and decides what to do when the queue is full. The single
// consumer takes values until its context ends:
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

// Ring is a bounded FIFO queue with any number of producers and one consumer. It is safe
// for concurrent use.
type Ring[T any] struct {
	values chan T
}

// New returns an empty queue with a capacity of size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{values: make(chan T, size)}
}

// Offer adds a value without blocking. It returns false if the queue is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.values <- v:
		return true
	default:
		return false
	}
}

// Put adds a value and blocks while the queue is full. It returns false if ctx ends
// before the value was added.
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	select {
	case r.values <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take removes the oldest value and blocks while the queue is empty. It returns false
// if ctx ends first.
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

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.values) }
