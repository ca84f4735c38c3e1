// Package mesh manages the links among entries, the router processes that callers
// connect to: which peers to dial, which of two links to the same peer to keep, and
// when a link has timed out. It does no I/O: it returns outputs for the shell
// around the core.
package mesh

import (
	"math/rand/v2"
	"strings"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/subset"
	"endivepost/internal/wire/message"
)

// Mesh dials a bounded number of other entries and learns the addresses of further
// ones from their heartbeats. An entry is identified by the address at which its
// peers reach it.
type Mesh struct {
	settings  Settings
	peers     *table.Table[string, peerRow]
	links     *table.Table[string, linkRow]
	dialDue   *timerqueue.Queue[string]
	lastHeard *table.Table[string, time.Duration]
}

// Settings of a Mesh. Self is the address of this entry. Fanout bounds the entries
// that it dials. A link is closed after HeartbeatTimeout without activity.
// RedialDelay, which must be above 0, is the mean delay before the first redial; each
// further failure doubles it, up to maxDoublings times. Random draws the jitter of
// the delays.
type Settings struct {
	Self             string
	Fanout           int
	HeartbeatTimeout time.Duration
	RedialDelay      time.Duration
	Random           *rand.Rand
}

// peerRow is the state of an entry that may be dialled. lastLink is the number of
// the link that was dialled last. failures counts the failed dials and closed links
// since a link to the peer last opened.
type peerRow struct {
	dialing      bool
	lastLink     uint64
	failures     int
	discoveredAt time.Duration
}

// linkRow is the state of an open link. The table's key tells a dialled from an
// accepted link.
type linkRow struct {
	peer         string
	link         uint64
	lastActivity time.Duration
	heartbeat    message.EntryHeartbeat
	hasHeartbeat bool
}

const (
	dialPrefix   = "dial:"
	acceptPrefix = "accept:"
	maxDoublings = 4
	// recheckInterval is the time after which a peer that was not dialled is
	// considered again: it may be chosen once others are gone.
	recheckInterval = 5 * time.Second
	// peerRetention is the least time from the discovery of an address until it is
	// dropped as unreachable, after more than maxDoublings failures.
	peerRetention = 30 * time.Second
	// entryRetention is how long an entry counts as active after it was last heard
	// from: its part of a fleet-wide limit may still be in use.
	entryRetention = 10 * time.Second
)

// AcceptedKey returns the key of a link that this entry accepted from the entry at
// the address.
func AcceptedKey(address string) string {
	return acceptPrefix + address
}

// parseKey returns the peer's address in the key of a link, and whether this entry
// dialled it.
func parseKey(key string) (address string, dialled bool) {
	if address, dialled = strings.CutPrefix(key, dialPrefix); dialled {
		return address, true
	}
	return strings.TrimPrefix(key, acceptPrefix), false
}

// New returns a mesh without any known peer.
func New(settings Settings) *Mesh {
	return &Mesh{
		settings:  settings,
		peers:     table.New[string, peerRow](),
		links:     table.New[string, linkRow](),
		dialDue:   timerqueue.New[string](),
		lastHeard: table.New[string, time.Duration](),
	}
}

// AddPeer adds an address at which another entry may be reached.
func (mesh *Mesh) AddPeer(now time.Duration, address string) {
	if address == mesh.settings.Self || address == "" {
		return
	}
	if _, known := mesh.peers.Get(address); known {
		return
	}
	mesh.peers.Put(address, peerRow{discoveredAt: now})
	mesh.dialDue.Set(address, now)
}

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
	mesh.links.Put(opened.Peer, linkRow{peer: address, link: opened.Link, lastActivity: now})
	mesh.lastHeard.Put(address, now)
	return outputs
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

// HandleHeartbeat records a peer's heartbeat and adds the entries that it lists. It
// returns false, and ignores the heartbeat, if it did not come by an open link.
func (mesh *Mesh) HandleHeartbeat(now time.Duration, key string, link uint64, heartbeat message.EntryHeartbeat) bool {
	current, ok := mesh.links.Get(key)
	if !ok || current.link != link {
		return false
	}
	current.lastActivity = now
	current.heartbeat = heartbeat
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

// Addresses returns the addresses of this entry, which comes first, and of the
// connected ones.
func (mesh *Mesh) Addresses() []string {
	addresses := []string{mesh.settings.Self}
	for _, key := range mesh.links.Keys() {
		current, _ := mesh.links.Get(key)
		addresses = append(addresses, current.peer)
	}
	return addresses
}

// FullyConnected returns whether this entry has a link to each entry that it knows.
func (mesh *Mesh) FullyConnected() bool {
	return mesh.links.Len() >= mesh.peers.Len()
}

// KnownCount returns the number of known entries, this one included.
func (mesh *Mesh) KnownCount() int {
	return mesh.peers.Len() + 1
}

// EntryCount returns the number of entries that share a fleet-wide limit: those
// active lately, or all known ones if they are more, as in a fleet where this entry
// is connected to only some of the others.
func (mesh *Mesh) EntryCount(now time.Duration) int {
	return max(mesh.recentCount(now), mesh.KnownCount())
}

// Rank returns the place of this entry among those that share a fleet-wide limit, by address
// and from 0 on, and their number.
func (mesh *Mesh) Rank(now time.Duration) (rank, count int) {
	for _, address := range mesh.peers.Keys() {
		if address < mesh.settings.Self {
			rank++
		}
	}
	return rank, mesh.EntryCount(now)
}

func (mesh *Mesh) recentCount(now time.Duration) int {
	count := 1
	for _, address := range mesh.lastHeard.Keys() {
		if heardAt, _ := mesh.lastHeard.Get(address); now-heardAt < entryRetention {
			count++
			continue
		}
		mesh.lastHeard.Delete(address)
	}
	return count
}
