package mesh

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// HandleOpened adds an open link. Of two links to the same peer, it keeps the one
// that the entry with the lower address dialled, so that both ends keep the same,
// and returns an output that closes the other. If both were dialled by that entry,
// it keeps the new link; if neither was, the old one.
func (mesh *Mesh) HandleOpened(now time.Duration, opened event.LinkOpened) []event.Output {
	address, dialled := parseKey(opened.Peer)
	var outputs []event.Output
	for _, key := range mesh.links.Keys() {
		current, _ := mesh.links.Get(key)
		if current.peer != address {
			continue
		}
		if dialled == (mesh.settings.Self < address) {
			outputs = append(outputs, event.CloseLink{Peer: key, Link: current.link})
			mesh.links.Delete(key)
			continue
		}
		mesh.resetDialing(address)
		return append(outputs, event.CloseLink{Peer: opened.Peer, Link: opened.Link})
	}
	mesh.AddPeer(now, address)
	mesh.resetDialing(address)
	mesh.everConnected = true
	mesh.links.Put(opened.Peer, linkRow{peer: address, link: opened.Link, lastActivity: now})
	mesh.lastHeard.Put(address, now)
	return outputs
}

// HandleHeartbeat records a peer's heartbeat and adds the entries that it lists. It
// returns false, and ignores the heartbeat, if it did not come by an open link.
func (mesh *Mesh) HandleHeartbeat(now time.Duration, key string, link uint64, heartbeat message.EntryHeartbeat) bool {
	current, ok := mesh.links.Get(key)
	if !ok || current.link != link {
		return false
	}
	current.lastActivity = now
	current.heartbeat = heartbeat.WithLoads(current.heartbeat)
	current.hasHeartbeat = true
	mesh.links.Put(key, current)
	mesh.lastHeard.Put(current.peer, now)
	for _, address := range heartbeat.Entries {
		mesh.AddPeer(now, address)
	}
	return true
}

// Touch records activity on a link other than a heartbeat, and returns false if the
// link is not open.
func (mesh *Mesh) Touch(now time.Duration, key string, link uint64) bool {
	current, ok := mesh.links.Get(key)
	if !ok || current.link != link {
		return false
	}
	current.lastActivity = now
	mesh.links.Put(key, current)
	return true
}

// ResetTimeouts restarts the timeouts of all links after this process was paused:
// messages that arrived meanwhile may not have been read yet.
func (mesh *Mesh) ResetTimeouts(now time.Duration) {
	for _, key := range mesh.links.Keys() {
		current, _ := mesh.links.Get(key)
		current.lastActivity = now
		mesh.links.Put(key, current)
	}
}

// CloseTimedOut removes the links without activity within HeartbeatTimeout and
// returns outputs that close them.
func (mesh *Mesh) CloseTimedOut(now time.Duration) []event.Output {
	var outputs []event.Output
	for _, key := range mesh.links.Keys() {
		current, _ := mesh.links.Get(key)
		if now-current.lastActivity > mesh.settings.HeartbeatTimeout {
			outputs = append(outputs, event.CloseLink{Peer: key, Link: current.link})
			mesh.HandleClosed(now, event.LinkClosed{Peer: key, Link: current.link})
		}
	}
	return outputs
}

// Send returns an output for each open link that sends the message.
func (mesh *Mesh) Send(body message.Message) []event.Output {
	var outputs []event.Output
	for _, key := range mesh.links.Keys() {
		current, _ := mesh.links.Get(key)
		outputs = append(outputs, event.Send{Peer: key, Link: current.link, Message: body})
	}
	return outputs
}

// Open returns whether the link with the key is open under that number.
func (mesh *Mesh) Open(key string, link uint64) bool {
	current, ok := mesh.links.Get(key)
	return ok && current.link == link
}

// Heartbeats returns the latest heartbeat of each connected entry that has sent
// one.
func (mesh *Mesh) Heartbeats() []message.EntryHeartbeat {
	var heartbeats []message.EntryHeartbeat
	for _, key := range mesh.links.Keys() {
		if current, _ := mesh.links.Get(key); current.hasHeartbeat {
			heartbeats = append(heartbeats, current.heartbeat)
		}
	}
	return heartbeats
}
