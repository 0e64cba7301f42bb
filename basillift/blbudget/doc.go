// Package blbudget decides how much memory and how many connections the peers of a daemon (its
// callers and other daemons) may use, and which of them give way when a budget runs out. It does
// so for clients that leave requests unfinished, send far more than is allowed, do not read their
// answers or open connections without end: without a bound such clients make the daemon exceed
// the memory or the file descriptors of its machine, which ends the process.
//
// All functions depend on their arguments only. The package holds no state and opens nothing;
// package blforwarder counts what is in use, asks, and closes connections.
//
// # Usage
//
//	limits := blbudget.NewLimits(memoryMB, descriptors)
//	limits.Admits(blbudget.ClassCaller, callers, all) // may one more connection be opened?
//	limits.Fits(blbudget.SizeLarge, used, n)     // may a peer make the daemon hold n more bytes?
//	stalled := blbudget.Stalled(now, peers, n)   // which connections are closed to free n bytes
package blbudget
