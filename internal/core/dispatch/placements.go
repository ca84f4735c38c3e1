package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

const (
	// announceFrom is the least length, in tokens, of a prefix that entries tell
	// each other about: to read a shorter one twice costs less than the message.
	announceFrom = 1000
	// mostTold bounds the parts of one upstream in the answer to a pull.
	mostTold = 128
	// askKeptAfter is the time from when the entry is ready until engines are asked,
	// if no other entry has told what they keep by then.
	askKeptAfter = 400 * time.Millisecond
	// informedAfter is the time from the start until an entry's answer stands for
	// what all know: others that start with it may not have asked their engines yet.
	informedAfter = 5 * time.Second
	// placementsPullEvery is the time between asking one peer and another.
	placementsPullEvery = time.Second
)

// announces says whether entries tell each other where the prompt's prefix is
// kept. In a crowd an entry hears too few of the others for that.
func (dispatcher *Dispatcher) announces(prompt event.Prompt) bool {
	return dispatcher.mesh.KnownCount() <= crowd && tokens(prompt.Shared()) >= announceFrom
}

func tokens(parts []message.PromptPart) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// announce tells the other entries that the request's prefix is read at its
// upstream, unless it was known to be kept there. It answers the load in which
// many prefixes are new at once: each is read at the engine that has least to
// read, and every entry finds it there afterwards. The reading itself goes out
// with a beat, so that the next new prefix does not go there too.
func (dispatcher *Dispatcher) announce(now time.Duration, row requestRow, held upstreamRow) {
	shared := row.request.Prompt.Shared()
	if !dispatcher.announces(row.request.Prompt) || held.kept != nil && held.kept.CachedTokens(shared) == tokens(shared) {
		return
	}
	placement := message.Placement{Upstream: row.upstream, Parts: shared}
	dispatcher.emit(dispatcher.mesh.Send(message.Placements{Placements: []message.Placement{placement}})...)
	dispatcher.beatDue = min(dispatcher.beatDue, now)
}

// takePlacements records what other entries had read at upstreams that may be
// sent work. Word of one that has left may be late.
func (dispatcher *Dispatcher) takePlacements(now time.Duration, body message.Placements) {
	dispatcher.informed = dispatcher.informed || body.Complete
	for _, placement := range body.Placements {
		if !dispatcher.roster.Usable(now, placement.Upstream) {
			continue
		}
		upstream, _ := dispatcher.roster.Find(placement.Upstream)
		held := dispatcher.upstream(placement.Upstream).WithMemory(dispatcher.cacheTokens(upstream.Pool))
		held.kept.AddShared(placement.Parts)
		dispatcher.upstreams.Put(placement.Upstream, held)
	}
}

// wantPlacements notes an entry to be asked for what it knows, over a connection
// that has just opened: this entry has started, or has missed news.
func (dispatcher *Dispatcher) wantPlacements(opened event.LinkOpened) {
	dispatcher.pullFrom = &event.Send{Peer: opened.Peer, Link: opened.Link, Message: message.PlacementsPull{}}
}

// pullPlacements asks that entry once the upstreams are known that it will name.
func (dispatcher *Dispatcher) pullPlacements(now time.Duration) {
	if dispatcher.pullFrom == nil || !dispatcher.listRead || now < dispatcher.placementsPullDue || dispatcher.mesh.KnownCount() > crowd {
		return
	}
	dispatcher.placementsPullDue = now + placementsPullEvery
	dispatcher.emit(*dispatcher.pullFrom)
	dispatcher.pullFrom = nil
}

// placements returns all that is known, for a peer.
func (dispatcher *Dispatcher) placements(now time.Duration) message.Placements {
	body := message.Placements{Complete: dispatcher.informed && now >= informedAfter}
	for _, name := range dispatcher.upstreams.Keys() {
		held, _ := dispatcher.upstreams.Get(name)
		if held.kept == nil {
			continue
		}
		if shared := held.kept.Shared(mostTold); len(shared) > 0 {
			body.Placements = append(body.Placements, message.Placement{Upstream: name, Parts: shared})
		}
	}
	return body
}

// forgetKept forgets what an upstream kept that left: if it comes back under its
// name, it has read nothing.
func (dispatcher *Dispatcher) forgetKept(name string) {
	if held, known := dispatcher.upstreams.Get(name); known {
		held.kept = nil
		dispatcher.upstreams.Put(name, held)
	}
}

// forgetRestarted forgets what upstreams kept whose rows say that another process
// runs there than before.
func (dispatcher *Dispatcher) forgetRestarted(upstreams ...event.Upstream) {
	for _, upstream := range upstreams {
		held, known := dispatcher.roster.Find(upstream.Name)
		if known && upstream.Revision > held.Revision && upstream.Started != held.Started {
			dispatcher.forgetKept(upstream.Name)
		}
	}
}

// askKept has engines tell what they keep if no other entry could. It answers the
// outage that ends all entries at once: the engines go on and keep what they have
// read. Each engine is asked by one of the entries that are connected.
func (dispatcher *Dispatcher) askKept(now time.Duration) {
	if dispatcher.informed || !dispatcher.ready || now < dispatcher.askKeptDue {
		return
	}
	if dispatcher.askKeptDue == 0 {
		dispatcher.askKeptDue = now + askKeptAfter
		return
	}
	dispatcher.informed = true
	if dispatcher.mesh.KnownCount() > crowd {
		return
	}
	entries := dispatcher.mesh.Addresses()
	for _, upstream := range dispatcher.roster.Rows() {
		pool, _ := dispatcher.config.Document().Pool(upstream.Pool)
		isEngine := pool.Engine.Batch > 0 && !upstream.Leaving
		if isEngine && rendezvous.Top([]byte(upstream.Name), entries) == entries[0] {
			dispatcher.emit(event.QueryCache{Upstream: upstream.Name, Address: upstream.Address})
		}
	}
}

// takeKept records what an engine says it keeps, and passes on what is long
// enough to matter.
func (dispatcher *Dispatcher) takeKept(now time.Duration, told event.CacheReported) {
	placement := message.Placement{Upstream: told.Upstream}
	for _, part := range told.Parts {
		if part.Tokens >= announceFrom {
			placement.Parts = append(placement.Parts, part)
		}
	}
	body := message.Placements{Placements: []message.Placement{placement}}
	dispatcher.takePlacements(now, body)
	dispatcher.emit(dispatcher.mesh.Send(body)...)
}
