// Package rendezvous implements rendezvous hashing (highest random weight).
// Processes with the same names agree on the owner of a key without communicating,
// and removing a name moves only the keys that it owned.
package rendezvous

import (
	"hash/fnv"
	"sort"
)

// Rank returns the names by descending weight for the key. It costs one hash per
// name and a sort.
func Rank(key []byte, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	ranked := make([]weighted, len(names))
	for i, name := range names {
		ranked[i] = weighted{name: name, weight: weigh(key, name)}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].weight != ranked[j].weight {
			return ranked[i].weight > ranked[j].weight
		}
		return ranked[i].name < ranked[j].name
	})
	sorted := make([]string, len(ranked))
	for i, row := range ranked {
		sorted[i] = row.name
	}
	return sorted
}

// Top returns the first name of Rank without sorting, or "" if there are none.
func Top(key []byte, names []string) string {
	best := ""
	var bestWeight uint64
	for _, name := range names {
		weight := weigh(key, name)
		if best == "" || weight > bestWeight || (weight == bestWeight && name < best) {
			best = name
			bestWeight = weight
		}
	}
	return best
}

// weigh hashes the key and the name. The zero byte between them keeps pairs such as
// "a", "bc" and "ab", "c" apart.
func weigh(key []byte, name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(key)
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// mix is the finalizer of SplitMix64. FNV alone distributes short keys poorly.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
