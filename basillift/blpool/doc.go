// Package blpool keeps pools of HTTP connections to other daemons and to targets. It opens, limits, reuses and closes
// connections, and makes no decisions about requests.
//
// # Usage
//
//	pools := blpool.NewSet(func(address string) blpool.Limits {
//		return blpool.NewLimits(512, 30*time.Second, time.Second)
//	})
//	c, err := pools.Of(address).Get(now, deadline)
//	err = c.Begin(deadline) // then write to c.Writer() and read from c.Reader()
//	pools.Of(address).Put(now, c) // after a complete exchange; Discard otherwise
//
// Written shows whether the kernel accepted any byte of the current request, which separates "not run" from
// "unknown".
package blpool
