// Package blfeed distributes the content of the registry between daemons, so that most
// of them need not read the registry themselves. This keeps the load of the registry low,
// and VMs with a slow link do not have to transfer each version of the table in full.
//
// Readers read the registry. A Cache keeps what they have read and serves changes to
// followers. A FollowerRegistry sends its requests to one reader, waits there for changes and
// implements basillift.Registry, so that blwatch works with it as with the registry itself.
// A ReaderSelector, which does no I/O, decides which daemon to ask. If there is no reader, or
// none is current, the follower reads the registry.
//
// A reader may be partitioned from the registry without noticing it. Its followers detect
// this by the revisions that other daemons have seen (basillift.RevisionGossip) and switch to
// another reader.
//
// # Usage
//
//	cache := blfeed.NewCache() // on a reader
//	cache.Replace(now, revision, entries)
//	cache.Adopt(entry, table)
//	cache.Apply(now, entry)
//
//	registry = blfeed.NewFollowerRegistry(registry, client, selector, tables, neighbors) // on a follower
//	watcher := blwatch.New(registry, handler, rnd)
package blfeed
