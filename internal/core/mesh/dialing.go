package mesh

import (
	"time"

	"endivepost/internal/core/event"
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
		peer, known := mesh.peers.Get(address)
		if !known || peer.dialing {
			continue
		}
		if !targets[address] || mesh.connected(address) {
			mesh.dialDue.Set(address, now+recheckInterval)
			continue
		}
		if now-peer.discoveredAt > peerRetention && peer.failures > maxDoublings {
			mesh.peers.Delete(address)
			continue
		}
		peer.dialing = true
		peer.lastLink++
		mesh.peers.Put(address, peer)
		outputs = append(outputs, event.Dial{Peer: dialPrefix + address, Address: address, Link: peer.lastLink})
	}
	return outputs
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
	peer, known := mesh.peers.Get(address)
	if !known {
		return
	}
	peer.dialing = false
	peer.failures = 0
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
	peer, known := mesh.peers.Get(address)
	if !known {
		return
	}
	if dialled && closed.Link == peer.lastLink {
		peer.dialing = false
	}
	peer.failures++
	mesh.peers.Put(address, peer)
	delay := mesh.settings.RedialDelay << min(peer.failures-1, maxDoublings)
	mesh.dialDue.Set(address, now+delay/2+time.Duration(mesh.settings.Random.Int64N(int64(delay))))
}
