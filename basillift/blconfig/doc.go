// Package blconfig represents a version of the configuration as an immutable
// Snapshot, computes and applies deltas between versions, encodes both for
// messages between daemons, and decides which version a daemon holds.
//
// A snapshot stores its customers in 256 shards. Applying a delta copies only the
// shards that it changes, so a change of one customer among 100,000 copies about
// 400 entries. The digest of a snapshot is the sum of the hashes of its entries,
// so it is updated for the changed entries alone. After a delta is applied, the
// digest of the result is compared with the digest that the sender computed. If
// they differ, the result is discarded.
//
// # Usage
//
// A reader of the platform builds a snapshot and offers it to its holder. The
// request path loads the current version from the store:
//
//	snapshot, err := blconfig.Build(read.Version(), read.Lists()) // or holder.Current().Update(...)
//	switch holder.AdoptIfNewer(now, snapshot) {
//	case blconfig.DecisionAdopt:
//		store.Set(snapshot)
//	case blconfig.DecisionConflict:
//		// Fetch the full version from a reader of the platform and call AdoptFromReader.
//	}
//
// A daemon sends a peer the changes since the version that the peer holds:
//
//	delta, ok := holder.History().DeltaFrom(peerVersion)
//	if !ok {
//		data, err := blconfig.EncodeFull(holder.Current())
//	}
//	data, err := blconfig.EncodeDelta(delta)
//
// The peer applies the delta:
//
//	delta, err := blconfig.DecodeDelta(data)
//	decision, err := holder.ApplyDeltaIfNewer(now, delta) // on an error, request a full transfer
package blconfig

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -t -p blconfig -o ../basillift/blconfig/messages_gen.go ../schema/delta.json ../schema/full.json
