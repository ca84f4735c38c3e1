// Package mesh manages the links among entries, the router processes that callers
// connect to: which peers to dial, which of two links to the same peer to keep, and
// when a link has timed out. It does no I/O: it returns outputs for the shell
// around the core.
package mesh

import (
	"math/rand/v2"
	"strings"
	"time"

	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/wire/message"
)

// Mesh dials a bounded number of other entries and learns the addresses of further
// ones from their heartbeats. An entry is identified by the address at which its
// peers reach it.
type Mesh struct {
	settings Settings
	// peers are the entries that count, unreachable those that could not be connected to
	// for long. These are still dialled, seldom: a cut may be long, and separate all.
	peers       *table.Table[string, peerRow]
	unreachable *table.Table[string, peerRow]
	links       *table.Table[string, linkRow]
	dialDue     *timerqueue.Queue[string]
	lastHeard   *table.Table[string, time.Duration]
	// everConnected is true once a link to another entry was open.
	everConnected bool
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
// since a link to the peer last opened, from failingSince on.
type peerRow struct {
	dialing      bool
	lastLink     uint64
	failures     int
	failingSince time.Duration
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
	// peerRetention is how long connecting to a peer must have failed, minFailures times,
	// until it counts as unreachable. It is forgotten after unreachableRetention.
	peerRetention        = 30 * time.Second
	minFailures          = 5
	unreachableRetention = 30 * time.Minute
	// unreachableInterval is the least time between two dials of an unreachable peer.
	unreachableInterval = 4 * time.Second
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
		settings:    settings,
		peers:       table.New[string, peerRow](),
		unreachable: table.New[string, peerRow](),
		links:       table.New[string, linkRow](),
		dialDue:     timerqueue.New[string](),
		lastHeard:   table.New[string, time.Duration](),
	}
}

// AddPeer adds an address at which another entry may be reached. One that was unreachable
// counts again: another entry is connected to it.
func (mesh *Mesh) AddPeer(now time.Duration, address string) {
	if address == mesh.settings.Self || address == "" {
		return
	}
	if _, known := mesh.peers.Get(address); known {
		return
	}
	row, _ := mesh.unreachable.Get(address)
	mesh.unreachable.Delete(address)
	row.failures = 0
	mesh.peers.Put(address, row)
	mesh.dialDue.Set(address, now)
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

// Links returns the keys of the open links.
func (mesh *Mesh) Links() []string {
	return mesh.links.Keys()
}

// Connected returns whether this entry has a link to any other.
func (mesh *Mesh) Connected() bool {
	return mesh.links.Len() > 0
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
