package mesh

import (
	"slices"
	"time"

	"endivepost/internal/policy/rendezvous"
)

// rankRetention is how long an entry that cannot be reached keeps its rank: it may be cut off
// and send all the same.
const rankRetention = 5 * time.Minute

// RankFor returns the place of this entry among all that may share a limit with the key, from 0
// on, and their number. The order differs by key, and an entry that is unknown here moves the
// others by one place only. Entries count for rankRetention after they became unreachable.
func (mesh *Mesh) RankFor(now time.Duration, key string) (rank, count int) {
	addresses := append(mesh.peers.Keys(), mesh.settings.Self)
	for _, address := range mesh.unreachable.Keys() {
		if row, _ := mesh.unreachable.Get(address); now-row.failingSince < rankRetention {
			addresses = append(addresses, address)
		}
	}
	return slices.Index(rendezvous.Rank([]byte(key), addresses), mesh.settings.Self), len(addresses)
}

// Alone returns whether this entry was given the addresses of others and has never been
// connected to any.
func (mesh *Mesh) Alone() bool {
	return !mesh.everConnected && mesh.peers.Len()+mesh.unreachable.Len() > 0
}

// HasPeers returns whether this entry knows the address of any other.
func (mesh *Mesh) HasPeers() bool {
	return mesh.peers.Len()+mesh.unreachable.Len() > 0
}
