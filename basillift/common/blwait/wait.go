// Package blwait provides a delay that ends early when a context does.
//
// # Usage
//
//	for blwait.For(ctx, time.Second) {
//		sweep()
//	}
package blwait

import (
	"context"
	"time"
)

// For blocks for the duration d and returns true. It returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
