// Package blfeed spreads what the registry publishes between daemons, so that most
// of them need not read it themselves: VMs with a thin link do not get each version
// of the table as a whole, and the registry answers few daemons.
//
// Readers read the registry; a Shelf keeps what they have read and tells others what
// changed. The others follow: a Source asks one reader, waits there for changes and
// implements basillift.Registry, so that blfollow works on it as on the registry
// itself. Which daemon to ask is decided by Readers, without I/O. Where there is no
// reader, or none is current, the registry is read.
//
// A reader may be cut off from the registry without knowing it. Its followers notice
// by what other daemons have seen (basillift.Freshness) and ask another one.
//
// # Usage
//
//	shelf := blfeed.NewShelf()                   // on a reader
//	shelf.Replace(now, revision, entries)
//	shelf.Adopt(publication, table)
//	shelf.Apply(now, publication)
//
//	source := blfeed.NewSource(registry, peers, readers, tables, neighbors) // on a follower
//	follower := blfollow.New(source, sink, rnd)
package blfeed
