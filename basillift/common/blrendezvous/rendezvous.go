// Package blrendezvous ranks members for a key by rendezvous hashing (highest random
// weight). All daemons compute the same ranking from the same members. When a member
// joins or leaves, only the keys assigned to that member move.
//
// # Usage
//
//	owners := blrendezvous.Top(blrendezvous.Key("kobuleti"), ids, 3)
//
// The go-rendezvous library is not used because it returns only the first member, while
// owner sets and target subsets need the first few.
package blrendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key returns the hash of a key that consists of several parts. Each part is followed
// by a zero byte, so that ("ab", "c") and ("a", "bc") have different hashes.
func Key(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Weight returns the weight of a member for a key that was hashed by Key.
func Weight(key uint64, member string) uint64 { return mix(key ^ xxhash.Sum64String(member)) }

// Top returns up to count members with the highest weights for the key, in descending
// order of weight. Members of equal weight are sorted by name.
func Top[T ~string](key uint64, members []T, count int) []T {
	type weighted struct {
		member T
		weight uint64
	}
	ranked := make([]weighted, len(members))
	for i, m := range members {
		ranked[i] = weighted{member: m, weight: Weight(key, string(m))}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	top := make([]T, min(count, len(ranked)))
	for i := range top {
		top[i] = ranked[i].member
	}
	return top
}

// mix is the 64-bit finalizer of MurmurHash3. Without it, keys that differ in few bits
// would have similar rankings, because the weights would be a plain XOR of two hashes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
