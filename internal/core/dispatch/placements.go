package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// A placement records which prompt parts an upstream was sent and so has cached. It is
// not the choice of an upstream for a request, which the method place makes. Entries
// announce placements to each other, and an entry pulls those of a peer after their
// link has opened.

const (
	// minAnnouncedTokens is the least length of a prefix that entries announce to
	// each other: prefilling a shorter one twice costs less than the message.
	minAnnouncedTokens = 1000
	// maxAnnouncedParts bounds the prompt parts of one upstream in the response to
	// a PlacementsPull.
	maxAnnouncedParts = 128
	// cacheQueryDelay is the time from readiness until engines are queried for
	// their cached prefixes, if no peer has sent complete placements by then.
	cacheQueryDelay = 400 * time.Millisecond
	// placementsCompleteAfter is the uptime from which an entry reports its
	// placements as complete: entries that started at the same time may not have
	// queried their engines before.
	placementsCompleteAfter = 5 * time.Second
	// placementsPullInterval is the minimum time between two requests for a peer's
	// placements.
	placementsPullInterval = time.Second
)

// announces returns whether entries announce to each other where the prompt's
// prefix is cached: if it has at least minAnnouncedTokens tokens. In a large fleet
// they announce none, since each is connected to too few of the others.
func (dispatcher *Dispatcher) announces(prompt event.Prompt) bool {
	return dispatcher.mesh.KnownCount() <= largeFleet && totalTokens(prompt.Shared()) >= minAnnouncedTokens
}

func totalTokens(parts []message.PromptPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// announcePlacement announces to the peers at which upstream the request's prefix
// is being prefilled, unless it was already cached there. When many prefixes are new
// at once, each is thus prefilled on the engine with the least pending prefill, and
// all entries then send its requests there. A heartbeat with the new load is sent
// at once, so that other entries do not choose the same engine for their next new
// prefix.
func (dispatcher *Dispatcher) announcePlacement(now time.Duration, row requestRow, upstream upstreamRow) {
	shared := row.request.Prompt.Shared()
	if !dispatcher.announces(row.request.Prompt) || upstream.cache != nil && upstream.cache.CachedTokens(shared) == totalTokens(shared) {
		return
	}
	placement := message.Placement{Upstream: row.upstream, Parts: shared}
	dispatcher.emit(dispatcher.mesh.Send(message.Placements{Placements: []message.Placement{placement}})...)
	dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
}

// handlePlacements records which prefixes are cached on usable upstreams.
// Placements on others are ignored: they may be late, and an upstream that returns
// under its name starts with an empty cache.
func (dispatcher *Dispatcher) handlePlacements(now time.Duration, body message.Placements) {
	dispatcher.cachesKnown = dispatcher.cachesKnown || body.Complete
	for _, placement := range body.Placements {
		if !dispatcher.membership.Usable(now, placement.Upstream) {
			continue
		}
		upstream, _ := dispatcher.membership.Find(placement.Upstream)
		row := dispatcher.upstream(placement.Upstream).WithCache(dispatcher.kvCacheTokens(upstream.Pool))
		row.cache.AddShared(placement.Parts)
		dispatcher.upstreams.Put(placement.Upstream, row)
	}
}

// schedulePlacementsPull schedules a request for the placements of a peer whose link
// has just opened: this entry has just started, or was not connected when they were
// announced.
func (dispatcher *Dispatcher) schedulePlacementsPull(opened event.LinkOpened) {
	dispatcher.pendingPlacementsPull = &event.Send{Peer: opened.Peer, Link: opened.Link, Message: message.PlacementsPull{}}
}

// pullPlacements sends the pending request once the upstream list is known:
// without it, the placements in the response could not be applied.
func (dispatcher *Dispatcher) pullPlacements(now time.Duration) {
	if dispatcher.pendingPlacementsPull == nil || !dispatcher.listKnown || now < dispatcher.placementsPullDue || dispatcher.mesh.KnownCount() > largeFleet {
		return
	}
	dispatcher.placementsPullDue = now + placementsPullInterval
	dispatcher.emit(*dispatcher.pendingPlacementsPull)
	dispatcher.pendingPlacementsPull = nil
}

// knownPlacements returns all placements that this entry knows, as the response to
// a pull.
func (dispatcher *Dispatcher) knownPlacements(now time.Duration) message.Placements {
	body := message.Placements{Complete: dispatcher.cachesKnown && now >= placementsCompleteAfter}
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		if row.cache == nil {
			continue
		}
		if shared := row.cache.Shared(maxAnnouncedParts); len(shared) > 0 {
			body.Placements = append(body.Placements, message.Placement{Upstream: name, Parts: shared})
		}
	}
	return body
}

// forgetCache discards the cached prefixes recorded for an upstream that left: if
// it returns under its name, its cache is empty.
func (dispatcher *Dispatcher) forgetCache(name string) {
	if row, known := dispatcher.upstreams.Get(name); known {
		row.cache = nil
		dispatcher.upstreams.Put(name, row)
	}
}

// forgetIfRestarted discards the cached prefixes recorded for upstreams whose new
// row shows another start time: the process has restarted and its cache is empty.
func (dispatcher *Dispatcher) forgetIfRestarted(upstreams ...event.Upstream) {
	for _, upstream := range upstreams {
		if dispatcher.showsRestart(upstream) {
			dispatcher.forgetCache(upstream.Name)
			dispatcher.forgetBreak(upstream.Name)
			dispatcher.forgetSpeed(upstream.Name)
		}
	}
}

// showsRestart returns whether the row is a later one of a process that was started again.
func (dispatcher *Dispatcher) showsRestart(upstream event.Upstream) bool {
	current, known := dispatcher.membership.Find(upstream.Name)
	later := revision.New(upstream.Era, upstream.Revision).After(revision.New(current.Era, current.Revision))
	return known && later && upstream.Started != current.Started
}

// queryCaches queries engines for their cached prefixes if no peer could send them.
// This covers an outage that stops all entries at once while the engines keep
// running with their caches. Among connected entries, one queries each engine, by
// rendezvous hashing.
func (dispatcher *Dispatcher) queryCaches(now time.Duration) {
	if dispatcher.cachesKnown || !dispatcher.ready || now < dispatcher.cacheQueryDue {
		return
	}
	if dispatcher.cacheQueryDue == 0 {
		dispatcher.cacheQueryDue = now + cacheQueryDelay
		return
	}
	dispatcher.cachesKnown = true
	if dispatcher.mesh.KnownCount() > largeFleet {
		return
	}
	entries := dispatcher.mesh.Addresses()
	for _, upstream := range dispatcher.membership.Rows() {
		pool, _ := dispatcher.config.Document().Pool(upstream.Pool)
		isEngine := pool.Engine.Batch > 0 && !upstream.Leaving && dispatcher.admitsWork(now, upstream.Name) &&
			!dispatcher.evacuations.Evacuated(upstream.Domain) && !dispatcher.isCold(now, upstream.Name)
		if isEngine && rendezvous.Top([]byte(upstream.Name), entries) == entries[0] {
			dispatcher.emit(event.QueryCache{Upstream: upstream.Name, Address: upstream.Address})
		}
	}
}

// handleCacheReport records an engine's cached prefixes that are long enough to
// announce, and sends them to the peers.
func (dispatcher *Dispatcher) handleCacheReport(now time.Duration, input event.CacheReported) {
	placement := message.Placement{Upstream: input.Upstream}
	for _, part := range input.Parts {
		if part.Tokens >= minAnnouncedTokens {
			placement.Parts = append(placement.Parts, part)
		}
	}
	body := message.Placements{Placements: []message.Placement{placement}}
	dispatcher.handlePlacements(now, body)
	dispatcher.emit(dispatcher.mesh.Send(body)...)
}
