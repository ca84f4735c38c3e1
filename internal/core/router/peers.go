package router

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/policy/subset"
	"endivepost/internal/wire/message"
)

type peerState uint8

const (
	peerDown peerState = iota
	peerDialing
	peerUp
)

// peerRow is one sidecar. Uptime is the latest reading of its clock, sentSince
// the requests sent there since its last heartbeat.
type peerRow struct {
	member    event.Member
	state     peerState
	wanted    bool
	listed    bool
	leaving   bool
	link      uint64
	boot      uint64
	heard     time.Duration
	uptime    time.Duration
	loadAt    time.Duration
	load      message.Load
	loadKnown bool
	version   uint64
	sentSince int
	bound     int
	failures  int
}

// WithHeard returns the row with a new time of the last message.
func (row peerRow) WithHeard(now time.Duration) peerRow {
	row.heard = now
	return row
}

// WithHeartbeat returns the row with the sidecar's fresh view of itself.
func (row peerRow) WithHeartbeat(now time.Duration, heartbeat message.Heartbeat) peerRow {
	row.uptime = max(row.uptime, heartbeat.Uptime)
	row.loadAt = now
	row.load = heartbeat.Load
	row.loadKnown = true
	row.leaving = row.leaving || heartbeat.Leaving
	row.version = heartbeat.ConfigVersion
	row.sentSince = 0
	return row
}

// WithSent returns the row with so many more requests sent there.
func (row peerRow) WithSent(count int) peerRow {
	row.sentSince += count
	return row
}

// WithBound returns the row with so many more requests bound to it.
func (row peerRow) WithBound(count int) peerRow {
	row.bound += count
	return row
}

// WithState returns the row in a new state of its connection. A view of the
// load does not outlive the connection that it came by.
func (row peerRow) WithState(state peerState) peerRow {
	row.state = state
	row.loadKnown = false
	row.sentSince = 0
	return row
}

// serves says whether the sidecar may be sent new work.
func (row peerRow) serves() bool {
	down := row.loadKnown && row.load.Limit == 0
	return row.state == peerUp && row.listed && !row.leaving && !down
}

func (router *Router) setMembers(now time.Duration, members []event.Member) {
	if !router.listRead {
		router.listRead = true
		router.listReadAt = now
	}
	listed := make(map[string]bool)
	for _, member := range members {
		if member.Role != "sidecar" {
			continue
		}
		listed[member.Name] = true
		router.setMember(member)
	}
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		peer.listed = listed[name]
		router.peers.Put(name, peer)
		if !peer.listed || peer.leaving {
			router.withdrawFrom(now, name)
		}
	}
	router.chooseSubset(now)
	router.chooseWatchers(members)
}

func (router *Router) setMember(member event.Member) {
	peer, known := router.peers.Get(member.Name)
	if !known || peer.member.Address != member.Address {
		peer.leaving = false
	}
	peer.member = member
	peer.leaving = peer.leaving || member.Leaving
	router.peers.Put(member.Name, peer)
}

// chooseSubset connects to a bounded part of the sidecars of each role, and
// drops idle connections outside of it. Before it has a document it asks a few
// sidecars of any role: while the service is down, peers suffice to boot.
func (router *Router) chooseSubset(now time.Duration) {
	wanted := make(map[string]bool)
	document := router.config.Document()
	if document.Version == 0 {
		for _, name := range subset.Choose(router.settings.Name, router.listed(router.peers.Keys()), readyPeers) {
			wanted[name] = true
		}
	}
	router.serving = make(map[string][]string)
	for _, class := range document.Classes {
		chosen := router.listed(document.UpstreamsFor(class))
		if !class.NonIdempotent {
			chosen = subset.Choose(router.settings.Name, chosen, router.settings.SubsetSize)
		}
		router.serving[class.Name] = chosen
		for _, name := range chosen {
			wanted[name] = true
		}
	}
	for _, name := range router.peers.Keys() {
		router.want(now, name, wanted[name])
	}
}

func (router *Router) listed(names []string) []string {
	var found []string
	for _, name := range names {
		if peer, ok := router.peers.Get(name); ok && peer.listed {
			found = append(found, name)
		}
	}
	return found
}

func (router *Router) want(now time.Duration, name string, wanted bool) {
	peer, _ := router.peers.Get(name)
	peer.wanted = wanted
	router.peers.Put(name, peer)
	if wanted && peer.state == peerDown && peer.failures == 0 {
		router.dialDue.Set(name, now)
	}
	if !peer.listed && peer.state == peerDown && peer.bound == 0 {
		router.peers.Delete(name)
	}
	if !wanted && peer.state == peerUp && peer.bound == 0 {
		router.emit(event.CloseLink{Peer: name, Link: peer.link})
	}
}

// chooseWatchers decides whether this entry watches the configuration service
// closely. All entries rank the listed entries of a domain alike, without
// talking; the rest hear of a change from their sidecars and read seldom.
func (router *Router) chooseWatchers(members []event.Member) {
	var entries []string
	for _, member := range members {
		if member.Role == "entry" && member.Domain == router.settings.Domain && !member.Leaving {
			entries = append(entries, member.Name)
		}
	}
	watching := len(entries) == 0
	for i, name := range rendezvous.Rank([]byte(router.settings.Domain), entries) {
		watching = watching || (i < router.settings.WatchersPerDomain && name == router.settings.Name)
	}
	if watching != router.watching {
		router.watching = watching
		router.emit(event.SetWatch{Watching: watching})
	}
}

func (router *Router) dial(now time.Duration) {
	for _, name := range router.dialDue.PopDue(now) {
		peer, ok := router.peers.Get(name)
		if !ok || peer.state != peerDown || (!peer.wanted && peer.bound == 0) {
			continue
		}
		peer = peer.WithState(peerDialing).WithHeard(now)
		peer.link++
		router.peers.Put(name, peer)
		router.emit(event.Dial{Peer: name, Address: peer.member.Address, Link: peer.link})
	}
}

func (router *Router) openLink(now time.Duration, opened event.LinkOpened) {
	peer, ok := router.peers.Get(opened.Peer)
	if !ok || peer.link != opened.Link {
		return
	}
	reborn := peer.boot != 0 && peer.boot != opened.Boot
	if reborn {
		peer.uptime = 0
		peer.leaving = peer.member.Leaving
	}
	peer.boot = opened.Boot
	peer.failures = 0
	router.peers.Put(opened.Peer, peer.WithState(peerUp).WithHeard(now))
	router.beatDue = min(router.beatDue, now)
	for _, id := range router.boundTo(opened.Peer) {
		row, _ := router.requests.Get(id)
		if reborn {
			router.lose(now, row)
			continue
		}
		router.attach(now, row)
	}
}

func (router *Router) closeLink(now time.Duration, closed event.LinkClosed) {
	peer, ok := router.peers.Get(closed.Peer)
	if !ok || peer.link != closed.Link || peer.state == peerDown {
		return
	}
	wasUp := peer.state == peerUp
	router.peers.Put(closed.Peer, peer.WithState(peerDown))
	router.dialDue.Set(closed.Peer, now+router.redialAfter(closed.Peer))
	if !wasUp {
		return
	}
	router.withdrawFrom(now, closed.Peer)
	for _, id := range router.boundTo(closed.Peer) {
		row, _ := router.requests.Get(id)
		router.requests.Put(id, row.WithDetached(true))
		router.requestDue.Set(id, now+router.settings.ReattachTimeout)
	}
}

// redialAfter doubles the time between two attempts to dial, up to a bound, and
// spreads it, so that a domain that comes back is not dialled by all at once.
func (router *Router) redialAfter(name string) time.Duration {
	peer, _ := router.peers.Get(name)
	peer.failures = min(peer.failures+1, mostDoublings)
	router.peers.Put(name, peer)
	longest := router.settings.RedialDelay << (peer.failures - 1)
	return longest/2 + time.Duration(router.settings.Random.Int64N(int64(longest)))
}

// boundTo returns the requests that may run at the sidecar.
func (router *Router) boundTo(name string) []message.RequestID {
	peer, _ := router.peers.Get(name)
	if peer.bound == 0 {
		return nil
	}
	var bound []message.RequestID
	for _, id := range router.requests.Keys() {
		if row, _ := router.requests.Get(id); row.peer == name {
			bound = append(bound, id)
		}
	}
	return bound
}

func (router *Router) takeHeartbeat(now time.Duration, received event.Received, heartbeat message.Heartbeat) {
	before, _ := router.peers.Get(received.Peer)
	peer := before.WithHeartbeat(now, heartbeat)
	router.peers.Put(received.Peer, peer)
	for _, suspicion := range heartbeat.Suspicions {
		router.suspects.Merge(now, suspicion)
	}
	router.emit(router.config.ObserveVersion(now, received.Peer, received.Link, heartbeat.ConfigVersion)...)
	if peer.leaving && !before.leaving {
		router.withdrawFrom(now, received.Peer)
	}
}

// noticePause drops the views that grew old while this process was paused, and
// forgives the silence of links whose messages may lie unread.
func (router *Router) noticePause(now time.Duration) {
	if now-router.lastStep < router.settings.HeartbeatTimeout {
		return
	}
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		peer.loadKnown = false
		router.peers.Put(name, peer.WithHeard(now))
	}
}

// beat sends heartbeats and gives up links that have gone silent, dials that
// hang included.
func (router *Router) beat(now time.Duration) {
	if now < router.beatDue {
		return
	}
	router.beatDue = now + router.settings.HeartbeatInterval
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		switch {
		case peer.state == peerDown:
		case now-peer.heard > router.settings.HeartbeatTimeout:
			router.emit(event.CloseLink{Peer: name, Link: peer.link})
			router.closeLink(now, event.LinkClosed{Peer: name, Link: peer.link})
		case peer.state == peerUp:
			heartbeat := message.Heartbeat{Uptime: now, Echo: peer.uptime, ConfigVersion: router.config.Version()}
			router.send(name, heartbeat)
		}
	}
}
