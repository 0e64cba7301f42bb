// Package blroute decides whether a call is allowed, which target gets it and
// whether it is hedged. The package has no clock and no locks: the current time is
// an argument, and the owner of a Chooser or a Hedger serializes access to it.
//
// The Chooser uses only what its own daemon observed: calls that started and
// finished. Health and load endpoints lag behind and can be wrong, so they count
// only through the target state in the directory. Calls go to the caller's failure
// domain first, then to its region, then to any other target. Within such a group,
// the power of two choices compares (in flight + 1) × latency ÷ slow start factor.
// The latency is the in-flight time divided by the completions (Little's law), so
// the latency of a target that hangs rises while its calls are still in flight. Each
// failure adds in-flight time, so that a target that fails fast does not look idle.
//
// # Usage
//
//	plan, reason := blroute.Authorize(configuration, customer, service)
//	chooser := blroute.NewChooser(place, blroute.DefaultSettings(), rnd)
//	member, reason := chooser.Choose(now, directory.Targets(service), tried...)
//	chooser.Started(now, member.ID())
//	chooser.Finished(later, member.ID(), blroute.ResultOK)
//
// Explain runs the same steps without sending a call and returns the result and the
// reason of each.
package blroute
