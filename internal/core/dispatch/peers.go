package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

func (dispatcher *Dispatcher) receive(now time.Duration, received event.Received) {
	switch body := received.Message.(type) {
	case message.EntryHeartbeat:
		if dispatcher.mesh.HandleHeartbeat(now, received.Peer, received.Link, body) {
			dispatcher.usesChanged()
			dispatcher.takeBeat(now, received, body)
		}
	case message.ConfigPull:
		if dispatcher.mesh.Touch(now, received.Peer, received.Link) {
			dispatcher.emit(dispatcher.config.HandlePull(received.Peer, received.Link, body)...)
		}
	case message.Config:
		if dispatcher.mesh.Touch(now, received.Peer, received.Link) {
			dispatcher.putInForce(now, dispatcher.config.HandleConfig(body))
		}
	case message.UpstreamListPull:
		if dispatcher.listRead {
			dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: message.UpstreamList{Upstreams: dispatcher.roster.Rows()}})
		}
	case message.UpstreamList:
		dispatcher.takeList(now, body)
	case message.PlacementsPull:
		dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: dispatcher.placements(now)})
	case message.Placements:
		dispatcher.takePlacements(now, body)
	}
}

// takeList takes the upstreams that another entry knows of, while the published
// list cannot be read. What is published later overrides it row by row.
func (dispatcher *Dispatcher) takeList(now time.Duration, list message.UpstreamList) {
	if dispatcher.listRead || len(list.Upstreams) == 0 {
		return
	}
	dispatcher.listRead = true
	for _, upstream := range list.Upstreams {
		dispatcher.listUpstream(now, event.PeerEntry, upstream)
	}
}

func (dispatcher *Dispatcher) takeBeat(now time.Duration, received event.Received, beat message.EntryHeartbeat) {
	for _, fingerprint := range beat.Cleared {
		dispatcher.heard.Clear(fingerprint)
	}
	for _, suspicion := range beat.Suspicions {
		dispatcher.heard.Merge(now, suspicion)
	}
	for _, departure := range beat.Departures {
		dispatcher.noteUpstream(now, departure.Upstream, event.PeerEntry, dispatcher.roster.ApplyDeparture(now, departure))
	}
	dispatcher.emit(dispatcher.config.ObserveVersion(now, received.Peer, received.Link, beat.ConfigVersion)...)
	if !dispatcher.listRead && now >= dispatcher.listPullDue {
		dispatcher.listPullDue = now + listPullEvery
		dispatcher.emit(event.Send{Peer: received.Peer, Link: received.Link, Message: message.UpstreamListPull{}})
	}
}

// beat tells the other entries what they need to know, and hangs up silent ones.
func (dispatcher *Dispatcher) beat(now time.Duration) {
	if now < dispatcher.beatDue {
		return
	}
	dispatcher.beatDue = now + dispatcher.settings.HeartbeatInterval
	dispatcher.emit(dispatcher.mesh.CloseTimedOut(now)...)
	dispatcher.forgetGone()
	beat := message.EntryHeartbeat{
		ConfigVersion: dispatcher.config.Version(),
		Entries:       dispatcher.mesh.Addresses(),
		Departures:    dispatcher.roster.Departures(now),
		Suspicions:    dispatcher.seen.Report(now, suspicionsPerBeat),
		Cleared:       dispatcher.cleared,
	}
	dispatcher.cleared = nil
	if dispatcher.mesh.KnownCount() > crowd {
		dispatcher.beatDue = now + crowdedBeats*dispatcher.settings.HeartbeatInterval
	} else {
		beat.Loads = dispatcher.uses()
	}
	dispatcher.emit(dispatcher.mesh.Send(beat)...)
}
