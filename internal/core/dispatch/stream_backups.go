package dispatch

import (
	"slices"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/rendezvous"
)

// In a large fleet the streams of a pool with one build are not told to all, since each would be
// told on over all links. Each entry tells a few others the streams that it begins, so
// that they can tell all of them once a second build joins, although this entry is lost by then.

// backupLinks is the number of entries that are told the streams of another one.
const backupLinks = 2

// backUpOrigin has a few entries told of the stream, in a large fleet.
func (dispatcher *Dispatcher) backUpOrigin(stream uint64, pool, build string) {
	if stream != 0 && dispatcher.mesh.KnownCount() > largeFleet {
		dispatcher.backups.Add(pool, build, stream)
	}
}

// sendBackups tells the streams that have begun since the heartbeat before.
func (dispatcher *Dispatcher) sendBackups() {
	if len(dispatcher.backups.Begun) == 0 {
		return
	}
	links := rendezvous.Rank([]byte(dispatcher.settings.Mesh.Self), dispatcher.mesh.Links())
	links = links[:min(backupLinks, len(links))]
	for _, output := range dispatcher.mesh.Send(dispatcher.backups) {
		if send, ok := output.(event.Send); ok && slices.Contains(links, send.Peer) {
			dispatcher.emit(send)
		}
	}
	dispatcher.backups.Begun = nil
}
