package dispatch

import (
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/streamorigin"
	"endivepost/internal/wire/message"
)

const (
	// openedHeartbeatDelay is the time from the opening of a link until the next heartbeat:
	// when entries start, many links open one after the other.
	openedHeartbeatDelay = 50 * time.Millisecond
	// entriesInterval is the time after which the known entries are told although they have
	// not changed: a peer may have given up an entry that is reachable again.
	entriesInterval = 2 * time.Second
	// buildsInterval is the same for the builds of the upstreams' software.
	buildsInterval = time.Second
)

func (dispatcher *Dispatcher) handleMessage(now time.Duration, received event.Received) {
	switch body := received.Message.(type) {
	case message.EntryHeartbeat:
		if dispatcher.mesh.HandleHeartbeat(now, received.Peer, received.Link, body) {
			dispatcher.loadsChanged()
			dispatcher.handleHeartbeat(now, received, body)
		}
	case message.ConfigPull:
		if dispatcher.mesh.Touch(now, received.Peer, received.Link) {
			dispatcher.emit(dispatcher.config.HandlePull(received.Peer, received.Link, body)...)
		}
	case message.Config:
		if dispatcher.mesh.Touch(now, received.Peer, received.Link) {
			dispatcher.emitConfig(now, dispatcher.config.HandleConfig(body))
		}
	case message.UpstreamListPull:
		if dispatcher.listKnown {
			dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: message.UpstreamList{
				Upstreams: dispatcher.membership.Rows(), Evacuations: dispatcher.evacuations.Reports(now),
			}})
		}
	case message.UpstreamList:
		dispatcher.handleUpstreamList(now, body)
	case message.StreamOrigins:
		if dispatcher.mesh.Touch(now, received.Peer, received.Link) {
			dispatcher.recordOriginsAnswer(received.Peer, body)
			dispatcher.mergeOrigins(now, body)
		}
	case message.OriginsPull:
		dispatcher.answerOriginsPull(now, received, body)
	case message.PlacementsPull:
		dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: dispatcher.knownPlacements(now)})
	case message.Placements:
		dispatcher.handlePlacements(now, body)
	}
}

// handleUpstreamList applies a peer's upstream list if the published one has not
// been read yet. Rows of the published list override it later, by their revisions.
func (dispatcher *Dispatcher) handleUpstreamList(now time.Duration, list message.UpstreamList) {
	dispatcher.handlePeerEvacuations(now, list.Evacuations)
	if dispatcher.listKnown || len(list.Upstreams) == 0 {
		return
	}
	dispatcher.listKnown = true
	dispatcher.readColdList(now, list.Upstreams)
	for _, upstream := range list.Upstreams {
		dispatcher.updateUpstream(now, event.PeerEntry, upstream)
	}
}

func (dispatcher *Dispatcher) handleHeartbeat(now time.Duration, received event.Received, heartbeat message.EntryHeartbeat) {
	dispatcher.handlePeerEvacuations(now, heartbeat.Evacuations)
	dispatcher.observePeerBreaks(now, heartbeat.Crashes.Interruptions)
	dispatcher.crashCauses.Merge(now, heartbeat.Crashes, !dispatcher.mesh.FullyConnected())
	dispatcher.handlePeerLimits(now, heartbeat.Limits)
	dispatcher.handlePeerCold(now, heartbeat.Cold)
	dispatcher.mergeOrigins(now, heartbeat.Origins)
	dispatcher.handlePeerSpeeds(now, heartbeat.Loads)
	dispatcher.handlePeerRestarts(now, heartbeat.Restarted)
	for _, departure := range heartbeat.Departures {
		dispatcher.handlePeerDeparture(now, departure)
	}
	dispatcher.emit(dispatcher.config.ObserveVersion(now, received.Peer, received.Link, heartbeat.ConfigVersion)...)
	if !dispatcher.listKnown && now >= dispatcher.listPullDue {
		dispatcher.listPullDue = now + listPullInterval
		dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: message.UpstreamListPull{}})
	}
}

// openLink sends a peer whose link has opened all that earlier heartbeats have told the
// others. Its address is told to them soon.
func (dispatcher *Dispatcher) openLink(now time.Duration, opened event.LinkOpened) {
	dispatcher.emit(dispatcher.mesh.HandleOpened(now, opened)...)
	dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now+openedHeartbeatDelay)
	dispatcher.schedulePlacementsPull(opened)
	if !dispatcher.mesh.Open(opened.Peer, opened.Link) {
		return
	}
	dispatcher.observeBuilds(now)
	origins := dispatcher.origins.All(now)
	origins[0].Confirmed = dispatcher.listUpToDate(now)
	heartbeat := dispatcher.toldBefore
	heartbeat.Loads = dispatcher.withSpeeds(now, heartbeat.Loads)
	heartbeat.ConfigVersion = dispatcher.config.Version()
	heartbeat.Entries = dispatcher.mesh.Addresses()
	heartbeat.Departures = dispatcher.membership.Departures(now)
	heartbeat.Crashes = dispatcher.crashCauses.All(now)
	heartbeat.Limits = dispatcher.knownLimits(now)
	heartbeat.Origins = origins[0]
	heartbeat.Evacuations = dispatcher.evacuations.Reports(now)
	heartbeat.Cold = dispatcher.knownCold(now)
	heartbeat.Restarted = dispatcher.restarts.Since(now - streamorigin.Retention)
	dispatcher.emit(event.Send{Peer: opened.Peer, Link: opened.Link, Message: heartbeat})
	for _, more := range origins[1:] {
		dispatcher.emit(event.Send{Peer: opened.Peer, Link: opened.Link, Message: more})
	}
}

// sendHeartbeat sends the periodic state of this entry to its peers and closes
// links that have timed out.
func (dispatcher *Dispatcher) sendHeartbeat(now time.Duration) {
	if now < dispatcher.heartbeatDue {
		return
	}
	dispatcher.heartbeatDue = now + dispatcher.settings.HeartbeatInterval
	dispatcher.emit(dispatcher.mesh.CloseTimedOut(now)...)
	dispatcher.forgetRemoved()
	heartbeat := message.EntryHeartbeat{
		ConfigVersion: dispatcher.config.Version(),
		Entries:       dispatcher.entriesToTell(now),
		Departures:    dispatcher.membership.Departures(now),
		Crashes:       dispatcher.crashCauses.Take(now),
		Limits:        dispatcher.knownLimits(now),
		Origins:       dispatcher.reportOrigins(now),
		Evacuations:   dispatcher.evacuations.Reports(now),
		Cold:          dispatcher.knownCold(now),
		Restarted:     dispatcher.restarts.Since(dispatcher.heartbeatSentAt),
	}
	dispatcher.heartbeatSentAt = now
	dispatcher.restarts = dispatcher.restarts.Without(now - streamorigin.Retention)
	if dispatcher.mesh.KnownCount() > largeFleet {
		dispatcher.heartbeatDue = now + largeFleetIntervalFactor*dispatcher.settings.HeartbeatInterval
		dispatcher.toldBefore.Loads = nil
	} else {
		heartbeat.Partial = true
		heartbeat.Loads = dispatcher.changedLoads(now)
		dispatcher.toldBefore = heartbeat.WithLoads(dispatcher.toldBefore)
	}
	dispatcher.emit(dispatcher.mesh.Send(heartbeat)...)
	dispatcher.sendBackups()
}

// entriesToTell returns the known entries if they have changed since they were told, and
// every entriesInterval.
func (dispatcher *Dispatcher) entriesToTell(now time.Duration) []string {
	entries := dispatcher.mesh.Addresses()
	if now < dispatcher.entriesDue && slices.Equal(entries, dispatcher.toldEntries) {
		return nil
	}
	dispatcher.entriesDue = now + entriesInterval
	dispatcher.toldEntries = entries
	return entries
}
