// Package subset picks the sidecars that an entry keeps connections to.
package subset

import "endivepost/internal/policy/rendezvous"

// Choose returns at most size of the names, by rendezvous hashing on the entry's
// name. Different entries get different subsets, so connections are spread over
// the sidecars. When a sidecar leaves, each entry replaces at most one name.
func Choose(entry string, names []string, size int) []string {
	if len(names) <= size {
		return names
	}
	return rendezvous.Rank([]byte(entry), names)[:size]
}
