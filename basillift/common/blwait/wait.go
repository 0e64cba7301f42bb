// Package blwait provides a pause that a context can end.
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

// For waits and reports false when ctx ended first.
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
