package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// handleLeavingAnnounced handles a response in which an upstream announces that it leaves: it
// gets no more requests from now on, whatever the published list says.
func (dispatcher *Dispatcher) handleLeavingAnnounced(now time.Duration, input event.LeavingAnnounced) {
	if dispatcher.membership.Announce(now, input.Upstream, input.Started, now) {
		dispatcher.reportAnnouncement(input.Upstream, event.OwnResponses, 0)
		dispatcher.reportUpstreamChange(now, input.Upstream, event.OwnResponses, true)
	}
}

// handlePeerDeparture applies a peer's notice that an upstream left.
func (dispatcher *Dispatcher) handlePeerDeparture(now time.Duration, departure message.Departure) {
	changed := dispatcher.membership.ApplyDeparture(now, departure)
	if changed && departure.Announced {
		dispatcher.reportAnnouncement(departure.Upstream, event.PeerEntry, departure.Age)
	}
	dispatcher.reportUpstreamChange(now, departure.Upstream, event.PeerEntry, changed)
}

// reportAnnouncement reports for the log that an upstream announced its leaving.
func (dispatcher *Dispatcher) reportAnnouncement(name string, source event.Source, age time.Duration) {
	upstream, _ := dispatcher.membership.Find(name)
	dispatcher.emit(event.StateChanged{
		State: event.AnnouncedLeaving, Source: source, Name: name, Version: upstream.Revision, Era: upstream.Era, Age: age,
	})
}
