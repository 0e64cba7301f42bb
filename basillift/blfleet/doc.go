// Package blfleet keeps track of which targets may be used: it applies the entries that
// targets publish, in the order of the registry's revisions, and returns the usable
// targets of a service.
//
// A target whose entry is draining or removed is no longer used. The registry may lose
// entries of running targets during an outage of its own; for a short time after the outage,
// a missing entry therefore does not remove its target. When a newer target has taken over
// an address, the older entry is ignored.
//
// An operator may evacuate a failure domain. Its targets are then left out by Targets and are listed by EvacuatedTargets; all
// other methods treat them as before. What is known last about an evacuation holds until the registry has something newer,
// and a registry that has lost changes ends none of them by lacking its key.
//
// # Usage
//
//	fleet.Replace(now, entries)  // after a complete listing
//	fleet.Apply(now, entry)      // for each change
//	fleet.RegistryRecovered(now) // when the registry answers again after an outage
//	targets := fleet.Targets(service)
//	since, evacuated := fleet.Evacuated(domain)
package blfleet
