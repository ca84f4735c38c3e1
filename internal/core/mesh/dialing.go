package mesh

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/table"
	"endivepost/internal/policy/subset"
)

// NextDue returns when the next dial is due, and whether one is.
func (mesh *Mesh) NextDue() (time.Duration, bool) {
	return mesh.dialDue.Next()
}

// Dial returns an output for each link to be dialled now.
func (mesh *Mesh) Dial(now time.Duration) []event.Output {
	var outputs []event.Output
	due := mesh.dialDue.PopDue(now)
	if len(due) == 0 {
		return nil
	}
	targets := mesh.dialTargets()
	for _, address := range due {
		rows := mesh.rows(address)
		peer, known := rows.Get(address)
		if !known || peer.dialing {
			continue
		}
		if rows == mesh.peers && (!targets[address] || mesh.connected(address)) {
			mesh.dialDue.Set(address, now+recheckInterval)
			continue
		}
		peer.dialing = true
		peer.lastLink++
		rows.Put(address, peer)
		outputs = append(outputs, event.Dial{Peer: dialPrefix + address, Address: address, Link: peer.lastLink})
	}
	return outputs
}

// rows returns the table that has the peer, or would have it.
func (mesh *Mesh) rows(address string) *table.Table[string, peerRow] {
	if _, found := mesh.unreachable.Get(address); found {
		return mesh.unreachable
	}
	return mesh.peers
}

// dialTargets returns the addresses that this entry dials: in a large fleet each
// entry dials a bounded subset of the others, and updates spread through them.
func (mesh *Mesh) dialTargets() map[string]bool {
	targets := make(map[string]bool, mesh.settings.Fanout)
	for _, address := range subset.Choose(mesh.settings.Self, mesh.peers.Keys(), mesh.settings.Fanout) {
		targets[address] = true
	}
	return targets
}

func (mesh *Mesh) connected(address string) bool {
	for _, key := range mesh.links.Keys() {
		if link, _ := mesh.links.Get(key); link.peer == address {
			return true
		}
	}
	return false
}

func (mesh *Mesh) resetDialing(address string) {
	peer, known := mesh.rows(address).Get(address)
	if !known {
		return
	}
	peer.dialing = false
	peer.failures = 0
	mesh.unreachable.Delete(address)
	mesh.peers.Put(address, peer)
}

// HandleClosed removes a closed link; a failed dial is reported as a closed link too.
// Each counts as a failure. The address is redialled with exponential backoff and
// jitter, so that not all entries dial a restarted one at the same time.
func (mesh *Mesh) HandleClosed(now time.Duration, closed event.LinkClosed) {
	address, dialled := parseKey(closed.Peer)
	if current, ok := mesh.links.Get(closed.Peer); ok && current.link == closed.Link {
		mesh.links.Delete(closed.Peer)
	}
	rows := mesh.rows(address)
	peer, known := rows.Get(address)
	if !known {
		return
	}
	if dialled && closed.Link == peer.lastLink {
		peer.dialing = false
	}
	if peer.failures == 0 {
		peer.failingSince = now
	}
	peer.failures++
	failingFor := now - peer.failingSince
	switch {
	case failingFor > unreachableRetention:
		rows.Delete(address)
		return
	case failingFor > peerRetention && peer.failures >= minFailures:
		mesh.peers.Delete(address)
		rows = mesh.unreachable
	}
	rows.Put(address, peer)
	delay := mesh.redialDelay(peer, rows == mesh.unreachable)
	mesh.dialDue.Set(address, now+delay/2+time.Duration(mesh.settings.Random.Int64N(int64(delay))))
}

// redialDelay returns the mean delay before the peer is dialled again. All unreachable peers
// together are dialled no more often than Fanout peers would be.
func (mesh *Mesh) redialDelay(peer peerRow, unreachable bool) time.Duration {
	if !unreachable {
		return mesh.settings.RedialDelay << min(peer.failures-1, maxDoublings)
	}
	return unreachableInterval * time.Duration(1+mesh.unreachable.Len()/max(mesh.settings.Fanout, 1))
}
