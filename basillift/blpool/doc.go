// Package blpool keeps HTTP connections to other daemons and to targets. It dials,
// bounds, reuses and closes connections, and decides nothing about requests.
//
// # Usage
//
//	pools := blpool.NewSet(func(address string) blpool.Limits {
//		return blpool.NewLimits(512, 30*time.Second, time.Second)
//	})
//	c, err := pools.Of(address).Get(now, deadline)
//	err = c.Begin(deadline) // then write to c.Writer() and read from c.Reader()
//	pools.Of(address).Put(now, c) // after a whole exchange; Discard otherwise
//
// Written tells whether the kernel accepted any byte of the current request, which
// separates "not run" from "unknown".
package blpool
