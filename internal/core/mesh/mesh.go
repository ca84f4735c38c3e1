// Package mesh keeps the connections between entries.
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

// Mesh dials a bounded number of other entries and hears of further ones from
// them. An entry is named by the address at which it is reached.
type Mesh struct {
	settings  Settings
	peers     *table.Table[string, peerRow]
	links     *table.Table[string, linkRow]
	dialDue   *timerqueue.Queue[string]
	lastHeard *table.Table[string, time.Duration]
}

// Settings of a Mesh. Fanout bounds the entries that this one dials.
type Settings struct {
	Self             string
	Fanout           int
	HeartbeatTimeout time.Duration
	RedialDelay      time.Duration
	Random           *rand.Rand
}

// peerRow is an entry that may be dialled.
type peerRow struct {
	dialing      bool
	lastLink     uint64
	failures     int
	discoveredAt time.Duration
}

// linkRow is an open connection, dialled or accepted, under its own key.
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
	// recheckInterval is the time between two looks at an entry that need not be
	// dialled: it may be chosen once others are gone.
	recheckInterval = 5 * time.Second
	// peerRetention is how long an address that nobody answers at is dialled.
	peerRetention = 30 * time.Second
	// entryRetention is how long an entry counts among the entries after its last
	// sign of life: its share of a common bound may still be in use.
	entryRetention = 10 * time.Second
)

// AcceptedKey returns the key of a connection that the entry at the address dialled.
func AcceptedKey(address string) string {
	return acceptPrefix + address
}

// parseKey returns the entry's address in the key of a connection, and whether
// this entry dialled it.
func parseKey(key string) (address string, dialled bool) {
	if address, dialled = strings.CutPrefix(key, dialPrefix); dialled {
		return address, true
	}
	return strings.TrimPrefix(key, acceptPrefix), false
}

// New returns a mesh that knows no other entry.
func New(settings Settings) *Mesh {
	return &Mesh{
		settings:  settings,
		peers:     table.New[string, peerRow](),
		links:     table.New[string, linkRow](),
		dialDue:   timerqueue.New[string](),
		lastHeard: table.New[string, time.Duration](),
	}
}

// AddPeer adds an address at which an entry may be reached.
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

// NextDue returns when a dial is due, and whether one is.
func (mesh *Mesh) NextDue() (time.Duration, bool) {
	return mesh.dialDue.Next()
}

// Dial returns the connections to be opened now.
func (mesh *Mesh) Dial(now time.Duration) []event.Output {
	var outputs []event.Output
	due := mesh.dialDue.PopDue(now)
	if len(due) == 0 {
		return nil
	}
	chosen := mesh.dialTargets()
	for _, address := range due {
		peer, known := mesh.peers.Get(address)
		if !known || peer.dialing {
			continue
		}
		if !chosen[address] || mesh.connected(address) {
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

// dialTargets returns the addresses that this entry dials: in a large fleet each entry
// dials a bounded part of the others, and news goes round through them.
func (mesh *Mesh) dialTargets() map[string]bool {
	chosen := make(map[string]bool, mesh.settings.Fanout)
	for _, address := range subset.Choose(mesh.settings.Self, mesh.peers.Keys(), mesh.settings.Fanout) {
		chosen[address] = true
	}
	return chosen
}

func (mesh *Mesh) connected(address string) bool {
	for _, key := range mesh.links.Keys() {
		if link, _ := mesh.links.Get(key); link.peer == address {
			return true
		}
	}
	return false
}

// HandleOpened takes a connection that stands. Of two connections to the same entry the
// one stays that the entry with the lower address dialled, so that both ends
// agree which.
func (mesh *Mesh) HandleOpened(now time.Duration, opened event.LinkOpened) []event.Output {
	address, dialled := parseKey(opened.Peer)
	var outputs []event.Output
	for _, key := range mesh.links.Keys() {
		held, _ := mesh.links.Get(key)
		if held.peer != address {
			continue
		}
		if dialled == (mesh.settings.Self < address) {
			outputs = append(outputs, event.CloseLink{Peer: key, Link: held.link})
			mesh.links.Delete(key)
			continue
		}
		mesh.dialSucceeded(address)
		return append(outputs, event.CloseLink{Peer: opened.Peer, Link: opened.Link})
	}
	mesh.AddPeer(now, address)
	mesh.dialSucceeded(address)
	mesh.links.Put(opened.Peer, linkRow{peer: address, link: opened.Link, lastActivity: now})
	mesh.lastHeard.Put(address, now)
	return outputs
}

func (mesh *Mesh) dialSucceeded(address string) {
	peer, known := mesh.peers.Get(address)
	if !known {
		return
	}
	peer.dialing = false
	peer.failures = 0
	mesh.peers.Put(address, peer)
}

// HandleClosed takes the end of a connection or of an attempt to dial. The address is
// dialled again later and later, at random times, so that an entry that comes
// back is not dialled by all at once.
func (mesh *Mesh) HandleClosed(now time.Duration, closed event.LinkClosed) {
	address, dialled := parseKey(closed.Peer)
	if held, ok := mesh.links.Get(closed.Peer); ok && held.link == closed.Link {
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
	longest := mesh.settings.RedialDelay << min(peer.failures-1, maxDoublings)
	mesh.dialDue.Set(address, now+longest/2+time.Duration(mesh.settings.Random.Int64N(int64(longest))))
}

// HandleHeartbeat takes a beat and says whether it came by a connection that stands.
func (mesh *Mesh) HandleHeartbeat(now time.Duration, key string, link uint64, beat message.EntryHeartbeat) bool {
	held, ok := mesh.links.Get(key)
	if !ok || held.link != link {
		return false
	}
	held.lastActivity = now
	held.heartbeat = beat
	held.hasHeartbeat = true
	mesh.links.Put(key, held)
	mesh.lastHeard.Put(held.peer, now)
	for _, address := range beat.Entries {
		mesh.AddPeer(now, address)
	}
	return true
}

// Touch records a sign of life other than a beat.
func (mesh *Mesh) Touch(now time.Duration, key string, link uint64) bool {
	held, ok := mesh.links.Get(key)
	if !ok || held.link != link {
		return false
	}
	held.lastActivity = now
	mesh.links.Put(key, held)
	return true
}

// ResetTimeouts forgets the silence of all connections after a pause of this process:
// their messages may lie unread.
func (mesh *Mesh) ResetTimeouts(now time.Duration) {
	for _, key := range mesh.links.Keys() {
		held, _ := mesh.links.Get(key)
		held.lastActivity = now
		mesh.links.Put(key, held)
	}
}

// CloseTimedOut closes the connections that have been silent for too long.
func (mesh *Mesh) CloseTimedOut(now time.Duration) []event.Output {
	var outputs []event.Output
	for _, key := range mesh.links.Keys() {
		held, _ := mesh.links.Get(key)
		if now-held.lastActivity > mesh.settings.HeartbeatTimeout {
			outputs = append(outputs, event.CloseLink{Peer: key, Link: held.link})
			mesh.HandleClosed(now, event.LinkClosed{Peer: key, Link: held.link})
		}
	}
	return outputs
}

// Send returns the message for every open connection.
func (mesh *Mesh) Send(body message.Message) []event.Output {
	var outputs []event.Output
	for _, key := range mesh.links.Keys() {
		held, _ := mesh.links.Get(key)
		outputs = append(outputs, event.Send{Peer: key, Link: held.link, Message: body})
	}
	return outputs
}

// Heartbeats returns the latest beats of the entries that are connected.
func (mesh *Mesh) Heartbeats() []message.EntryHeartbeat {
	var beats []message.EntryHeartbeat
	for _, key := range mesh.links.Keys() {
		if held, _ := mesh.links.Get(key); held.hasHeartbeat {
			beats = append(beats, held.heartbeat)
		}
	}
	return beats
}

// Addresses returns the entries that are connected, for others to dial.
func (mesh *Mesh) Addresses() []string {
	addresses := []string{mesh.settings.Self}
	for _, key := range mesh.links.Keys() {
		held, _ := mesh.links.Get(key)
		addresses = append(addresses, held.peer)
	}
	return addresses
}

// KnownCount returns how many entries there are as far as this one has heard, itself
// included.
func (mesh *Mesh) KnownCount() int {
	return mesh.peers.Len() + 1
}

// EntryCount returns how many entries share a common bound: those heard from lately,
// or in a fleet of which this one hears a part, all that it knows of.
func (mesh *Mesh) EntryCount(now time.Duration) int {
	return max(mesh.recentCount(now), mesh.KnownCount())
}

func (mesh *Mesh) recentCount(now time.Duration) int {
	count := 1
	for _, address := range mesh.lastHeard.Keys() {
		if seen, _ := mesh.lastHeard.Get(address); now-seen < entryRetention {
			count++
			continue
		}
		mesh.lastHeard.Delete(address)
	}
	return count
}
