// Package blfeed spreads what the registry publishes between daemons, so that most
// of them need not read it themselves: VMs with a thin link do not get each version
// of the table as a whole, and the registry answers few daemons.
//
// Readers read the registry; a Cache keeps what they have read and tells others what
// changed. The others follow: a FollowerRegistry asks one reader, waits there for changes and
// implements basillift.Registry, so that blwatch works on it as on the registry
// itself. Which daemon to ask is decided by a ReaderSelector, without I/O. Where there is no
// reader, or none is current, the registry is read.
//
// A reader may be cut off from the registry without knowing it. Its followers notice
// by what other daemons have seen (basillift.RevisionGossip) and ask another one.
//
// # Usage
//
//	cache := blfeed.NewCache()                   // on a reader
//	cache.Replace(now, revision, entries)
//	cache.Adopt(publication, table)
//	cache.Apply(now, publication)
//
//	source := blfeed.NewFollowerRegistry(registry, client, selector, tables, neighbors) // on a follower
//	watcher := blwatch.New(source, sink, rnd)
package blfeed
