// Package blconfig holds one version of the configuration as an immutable
// Snapshot, computes and applies the deltas between versions, encodes both for
// messages between daemons, and decides which version a daemon holds.
//
// A snapshot keeps its customers in 256 shards. A delta copies only the shards
// that it changes, so that a change of one customer among 100,000 copies some
// 400 entries. The digest of a snapshot is the sum of the hashes of its entries,
// which a delta updates without visiting the others. After each delta the digest
// of the result is compared with the digest that the sender computed, and the
// result is discarded when they differ.
//
// # Usage
//
// A reader of the platform builds a snapshot and offers it to its holder; the
// request path loads the version in force from the store:
//
//	snapshot, err := blconfig.Build(cut.Version(), cut.Lists()) // or holder.Current().Update(...)
//	switch holder.Offer(now, snapshot) {
//	case blconfig.DecisionAdopt:
//		store.Set(snapshot)
//	case blconfig.DecisionConflict:
//		// Fetch the full version from a reader of the platform and call Settle.
//	}
//
// A daemon sends its peers what they lack:
//
//	delta, ok := holder.History().DeltaFrom(have)
//	if !ok {
//		data, err := blconfig.EncodeFull(holder.Current())
//	}
//	data, err := blconfig.EncodeDelta(delta)
//
// and a peer applies it:
//
//	delta, err := blconfig.DecodeDelta(data)
//	decision, err := holder.OfferDelta(now, delta) // an error asks for a full transfer
package blconfig

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -t -p blconfig -o ../basillift/blconfig/messages_gen.go ../schema/delta.json ../schema/full.json
