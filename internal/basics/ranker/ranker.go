// Package ranker ranks candidates for a key by rendezvous hashing.
package ranker

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rank returns the candidates in the order of their weights for a key. Each candidate is first for an equal share of
// all keys. Removing a candidate changes the first one only for the keys for which the removed candidate was first. The
// result does not depend on the order of the arguments.
func Rank[T ~string](candidates []T, key string) []T {
	weights := make(map[T]uint64, len(candidates))
	for _, candidate := range candidates {
		weights[candidate] = weigh(string(candidate), key)
	}
	return slices.SortedFunc(slices.Values(candidates), func(a, b T) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

func weigh(candidate, key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(candidate)) // hash.Hash.Write never returns an error.
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return mix(hash.Sum64())
}

// mix is the finalizer of MurmurHash3. It spreads the differences between similar strings, which FNV leaves in the low
// bits, over all bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
