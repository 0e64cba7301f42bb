// Package blfleet keeps which targets may be used: it takes the entries that
// targets publish, in the order of the registry's revisions, and answers with the
// usable targets of a service.
//
// A target whose entry says that it drains, or that is removed, is not used any
// more. The registry may lose entries of living targets while it is away itself; for a short time
// after its return a missing entry therefore does not end a target. When an address has been taken
// over by a newer target, the older entry is ignored.
//
// # Usage
//
//	fleet.Replace(now, publications) // after a whole listing
//	fleet.Apply(now, publication)    // for each change
//	fleet.RegistryReturned(now)      // when the registry answers again after an outage
//	targets := fleet.Targets(service)
package blfleet
