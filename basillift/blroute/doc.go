// Package blroute decides whether a call is allowed and which target gets it.
// Everything here is a deciding function: the present time is an argument, and
// the owner locks around a Chooser and a Hedger.
//
// The Chooser knows only what its own daemon saw: calls started and finished.
// Health and load endpoints lag and can mislead, so they enter only through the
// target state of the directory. Calls go to the caller's failure domain first,
// then to its region, then anywhere. Within a group, power of two choices
// compares (in flight + 1) × latency ÷ ramp. The latency is in-flight time
// divided by completions (Little's law), so a target that hangs becomes slow
// while its calls are still open. A failure adds in-flight time, so that a
// target that fails fast does not look idle.
//
// # Usage
//
//	plan, reason := blroute.Check(configuration, customer, service)
//	chooser := blroute.NewChooser(place, blroute.DefaultSettings(), rnd)
//	member, reason := chooser.Choose(now, directory.Targets(service), tried...)
//	chooser.Started(now, member.ID())
//	chooser.Finished(later, member.ID(), blroute.ResultOK)
//
// Explain runs the same steps without changing any state and lists the reason
// of each.
package blroute
