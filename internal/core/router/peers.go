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

// peerRow is the state of one sidecar.
type peerRow struct {
	member event.Member
	state  peerState
	// inSubset is set if the entry keeps a connection to the sidecar, listed if the
	// published list of VMs has it.
	inSubset bool
	listed   bool
	// leaving stays set until the sidecar restarts or gets another address.
	leaving bool
	link    uint64
	// boot is the incarnation of the last connection, 0 before the first.
	boot uint64
	// silent is set if the last connection or dial ended because the sidecar sent nothing.
	silent bool
	// heardAt is the time of the last message, dial or new connection. A pause of this
	// process resets it.
	heardAt time.Duration
	// uptime is the latest reading of the sidecar's clock.
	uptime time.Duration
	// loadAt is the time of the last heartbeat, loadKnown set if load may be used.
	loadAt        time.Duration
	load          message.Load
	loadKnown     bool
	configVersion uint64
	// sentSince counts requests sent since the last heartbeat, bound those whose body
	// the sidecar has.
	sentSince int
	bound     int
	// dialFailures counts the failed dials and lost connections since a connection was
	// opened, up to maxCountedFailures.
	dialFailures int
}

// WithHeard returns the row with the heartbeat timeout counted from now on.
func (row peerRow) WithHeard(now time.Duration) peerRow {
	row.heardAt = now
	return row
}

// WithHeartbeat returns the row with the load, version and clock reading of the
// sidecar's heartbeat.
func (row peerRow) WithHeartbeat(now time.Duration, heartbeat message.Heartbeat) peerRow {
	row.uptime = max(row.uptime, heartbeat.Uptime)
	row.loadAt = now
	row.load = heartbeat.Load
	row.loadKnown = true
	row.leaving = row.leaving || heartbeat.Leaving
	row.configVersion = heartbeat.ConfigVersion
	row.sentSince = 0
	return row
}

// WithSent returns the row with count more requests sent there.
func (row peerRow) WithSent(count int) peerRow {
	row.sentSince += count
	return row
}

// WithBound returns the row with count more requests bound to the sidecar.
func (row peerRow) WithBound(count int) peerRow {
	row.bound += count
	return row
}

// WithState returns the row with a new connection state. The load is invalidated,
// because a reported load is only valid on the connection that it arrived on.
func (row peerRow) WithState(state peerState) peerRow {
	row.state = state
	row.loadKnown = false
	row.sentSince = 0
	return row
}

// serves reports whether the sidecar accepts new work.
func (row peerRow) serves() bool {
	down := row.loadKnown && row.load.Limit == 0
	return row.state == peerUp && row.listed && !row.leaving && !down
}

// setMembers applies the published list of VMs. Requests reserved at sidecars that are
// leaving or no longer listed are placed elsewhere.
func (router *Router) setMembers(now time.Duration, members []event.Member) {
	if !router.membersRead {
		router.membersRead = true
		router.membersReadAt = now
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
	router.updateWatching(members)
}

// setMember adds or updates a sidecar. One with a new address is another process, so
// its predecessor's announcement that it leaves does not apply.
func (router *Router) setMember(member event.Member) {
	peer, known := router.peers.Get(member.Name)
	if !known || peer.member.Address != member.Address {
		peer.leaving = false
	}
	peer.member = member
	peer.leaving = peer.leaving || member.Leaving
	router.peers.Put(member.Name, peer)
}

// chooseSubset connects to at most SubsetSize sidecars of each class and closes
// idle connections to others. Non-idempotent classes need connections to all of
// their sidecars, since each key has one owner. Without a document the entry
// connects to a few sidecars of any class to get it from them, so that it can start
// while the configuration service is down.
func (router *Router) chooseSubset(now time.Duration) {
	inSubset := make(map[string]bool)
	document := router.config.Document()
	if document.Version == 0 {
		for _, name := range subset.Choose(router.settings.Name, router.listed(router.peers.Keys()), bootstrapPeers) {
			inSubset[name] = true
		}
	}
	router.subsets = make(map[string][]string)
	for _, class := range document.Classes {
		chosen := router.listed(document.UpstreamsFor(class))
		if !class.NonIdempotent {
			chosen = subset.Choose(router.settings.Name, chosen, router.settings.SubsetSize)
		}
		router.subsets[class.Name] = chosen
		for _, name := range chosen {
			inSubset[name] = true
		}
	}
	for _, name := range router.peers.Keys() {
		router.applySubset(now, name, inSubset[name])
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

// applySubset dials a sidecar that joins the subset, closes the idle connection to
// one that leaves it, and deletes one that is no longer listed. A sidecar that could
// not be reached is dialled after its redial delay and not at each reading of the list.
func (router *Router) applySubset(now time.Duration, name string, inSubset bool) {
	peer, _ := router.peers.Get(name)
	peer.inSubset = inSubset
	router.peers.Put(name, peer)
	if inSubset && peer.state == peerDown && peer.dialFailures == 0 {
		router.dialDue.Set(name, now)
	}
	if !peer.listed && peer.state == peerDown && peer.bound == 0 {
		router.peers.Delete(name)
	}
	if !inSubset && peer.state == peerUp && peer.bound == 0 {
		router.emit(event.CloseLink{Peer: name, Link: peer.link})
	}
}

// updateWatching decides whether this entry watches the configuration service or
// polls it at a long interval. All entries compute the same ranking of the listed
// entries of a failure domain, so they agree without coordination. Entries that
// don't watch learn of changes from their sidecars. If no entry of the domain is
// listed, this one watches.
func (router *Router) updateWatching(members []event.Member) {
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
		if !ok || peer.state != peerDown || (!peer.inSubset && peer.bound == 0) {
			continue
		}
		peer = peer.WithState(peerDialing).WithHeard(now)
		peer.link++
		router.peers.Put(name, peer)
		router.emit(event.Dial{Peer: name, Address: peer.member.Address, Link: peer.link})
	}
}

// handleLinkOpened reattaches to the requests at the sidecar. If the sidecar has
// restarted, they are lost.
func (router *Router) handleLinkOpened(now time.Duration, opened event.LinkOpened) {
	peer, ok := router.peers.Get(opened.Peer)
	if !ok || peer.link != opened.Link {
		return
	}
	restarted := peer.boot != 0 && peer.boot != opened.Boot
	if restarted {
		peer.uptime = 0
		peer.leaving = peer.member.Leaving
	}
	peer.boot = opened.Boot
	peer.dialFailures = 0
	router.peers.Put(opened.Peer, peer.WithState(peerUp).WithHeard(now))
	router.crashCauses.Resend()
	router.heartbeatDue = min(router.heartbeatDue, now)
	for _, id := range router.boundTo(opened.Peer) {
		row, _ := router.requests.Get(id)
		if restarted {
			router.handleLost(now, row)
			continue
		}
		router.reattach(now, row)
	}
}

// handleLinkClosed withdraws the reservations at the sidecar and detaches its
// requests for at most ReattachTimeout.
func (router *Router) handleLinkClosed(now time.Duration, closed event.LinkClosed) {
	peer, ok := router.peers.Get(closed.Peer)
	if !ok || peer.link != closed.Link || peer.state == peerDown {
		return
	}
	wasUp := peer.state == peerUp
	peer.silent = closed.TimedOut
	router.peers.Put(closed.Peer, peer.WithState(peerDown))
	router.dialDue.Set(closed.Peer, now+router.nextRedialDelay(closed.Peer))
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

// nextRedialDelay counts a failure and returns the delay before the next dial. Its mean
// doubles with each failure up to a maximum. Jitter of half the mean either way keeps
// a recovering failure domain from getting the dials of all entries at once.
func (router *Router) nextRedialDelay(name string) time.Duration {
	peer, _ := router.peers.Get(name)
	peer.dialFailures = min(peer.dialFailures+1, maxCountedFailures)
	router.peers.Put(name, peer)
	mean := router.settings.RedialDelay << (peer.dialFailures - 1)
	return mean/2 + time.Duration(router.settings.Random.Int64N(int64(mean)))
}

// boundTo returns the requests whose body was sent to the sidecar.
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

func (router *Router) handleHeartbeat(now time.Duration, received event.Received, heartbeat message.Heartbeat) {
	before, _ := router.peers.Get(received.Peer)
	peer := before.WithHeartbeat(now, heartbeat)
	router.peers.Put(received.Peer, peer)
	for _, suspicion := range heartbeat.Suspicions {
		router.suspects.Merge(now, suspicion)
	}
	router.crashCauses.Merge(now, heartbeat.Crashes, true)
	router.emit(router.config.ObserveVersion(now, received.Peer, received.Link, heartbeat.ConfigVersion)...)
	if peer.leaving && !before.leaving {
		router.withdrawFrom(now, received.Peer)
	}
}

// resetAfterPause takes HeartbeatTimeout without a step as a pause of this process.
// It then invalidates the load reports, which are stale by now, and resets the
// heartbeat timeouts, since the peers' messages may still be unread in the socket
// buffers.
func (router *Router) resetAfterPause(now time.Duration) {
	if now-router.lastStep < router.settings.HeartbeatTimeout {
		return
	}
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		peer.loadKnown = false
		router.peers.Put(name, peer.WithHeard(now))
	}
}

// sendHeartbeats sends a heartbeat on each open link. It closes links without a
// message for HeartbeatTimeout, and ends dials that take as long.
func (router *Router) sendHeartbeats(now time.Duration) {
	if now < router.heartbeatDue {
		return
	}
	router.heartbeatDue = now + router.settings.HeartbeatInterval
	crashes := router.crashCauses.Take(now)
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		switch {
		case peer.state == peerDown:
		case now-peer.heardAt > router.settings.HeartbeatTimeout:
			router.emit(event.CloseLink{Peer: name, Link: peer.link})
			router.handleLinkClosed(now, event.LinkClosed{Peer: name, Link: peer.link, TimedOut: true})
		case peer.state == peerUp:
			heartbeat := message.Heartbeat{Uptime: now, Echo: peer.uptime, ConfigVersion: router.config.Version(), Crashes: crashes}
			router.send(name, heartbeat)
		}
	}
}
