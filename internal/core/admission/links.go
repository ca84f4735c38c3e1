package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// linkRow is the connection from one entry. Uptime is the latest reading of the
// entry's clock.
type linkRow struct {
	number uint64
	open   bool
	heard  time.Duration
	uptime time.Duration
	echo   time.Duration
	gone   bool
}

// WithHeard returns the row with a new time of the last message.
func (row linkRow) WithHeard(now time.Duration) linkRow {
	row.heard = now
	return row
}

// WithHeartbeat returns the row with a new reading of the entry's clock and the
// latest reading of ours that the entry has had on this link. All that was
// written before that reading has arrived, since a link keeps its order.
func (row linkRow) WithHeartbeat(heartbeat message.Heartbeat) linkRow {
	row.uptime = max(row.uptime, heartbeat.Uptime)
	row.echo = max(row.echo, heartbeat.Echo)
	row.gone = heartbeat.Leaving
	return row
}

// WithClosed returns the row without its connection since now.
func (row linkRow) WithClosed(now time.Duration) linkRow {
	row.open = false
	row.heard = now
	return row
}

func (gate *Controller) openLink(now time.Duration, opened event.LinkOpened) {
	if link, ok := gate.links.Get(opened.Peer); ok && link.number >= opened.Link {
		return
	}
	gate.dropWaiting(now, opened.Peer)
	gate.links.Put(opened.Peer, linkRow{number: opened.Link, open: true, heard: now})
	gate.heartbeatDue = min(gate.heartbeatDue, now)
}

func (gate *Controller) closeLink(now time.Duration, closed event.LinkClosed) {
	link, ok := gate.links.Get(closed.Peer)
	if !ok || link.number != closed.Link {
		return
	}
	gate.links.Put(closed.Peer, link.WithClosed(now))
	gate.dropWaiting(now, closed.Peer)
	gate.detachRuns(now, closed.Peer)
}

// dropWaiting refuses what the peer had waiting. Claims stay until their lease
// ends, so that the peer learns on attaching whether its grant arrived.
func (gate *Controller) dropWaiting(now time.Duration, peer string) {
	for _, id := range gate.reservations.Keys() {
		row, _ := gate.reservations.Get(id)
		if row.peer == peer && !row.claimed {
			gate.refuse(now, row, message.Lost)
		}
	}
}

// detachRuns gives the peer until AttachFor to come back for its runs.
func (gate *Controller) detachRuns(now time.Duration, peer string) {
	for _, id := range gate.runs.Keys() {
		run, _ := gate.runs.Get(id)
		if run.peer == peer && !run.ended && !run.reserve.NonIdempotent {
			gate.runDue.Set(id, now+gate.settings.ReattachTimeout)
		}
	}
}

func (gate *Controller) takeHeartbeat(now time.Duration, received event.Received, heartbeat message.Heartbeat) {
	link, _ := gate.links.Get(received.Peer)
	gate.links.Put(received.Peer, link.WithHeartbeat(heartbeat))
	gate.emit(gate.config.ObserveVersion(now, received.Peer, received.Link, heartbeat.ConfigVersion)...)
}

// noticePause forgives the silence of all links after a pause of this process:
// their messages may lie unread in the socket buffers.
func (gate *Controller) noticePause(now time.Duration) {
	if now-gate.lastStep < gate.settings.HeartbeatTimeout {
		return
	}
	for _, peer := range gate.links.Keys() {
		link, _ := gate.links.Get(peer)
		gate.links.Put(peer, link.WithHeard(now))
	}
}

// beat sends heartbeats and closes links that have gone silent.
func (gate *Controller) beat(now time.Duration) {
	if now < gate.heartbeatDue {
		return
	}
	gate.heartbeatDue = now + gate.settings.HeartbeatInterval
	heartbeat := gate.heartbeat(now)
	for _, peer := range gate.links.Keys() {
		link, _ := gate.links.Get(peer)
		switch {
		case !link.open && now-link.heard > refusalMemory:
			gate.links.Delete(peer)
		case !link.open:
		case now-link.heard > gate.settings.HeartbeatTimeout:
			gate.emit(event.CloseLink{Peer: peer, Link: link.number})
			gate.closeLink(now, event.LinkClosed{Peer: peer, Link: link.number})
		default:
			heartbeat.Echo = link.uptime
			gate.emit(event.Send{Peer: peer, Link: link.number, Message: heartbeat})
		}
	}
}

func (gate *Controller) heartbeat(now time.Duration) message.Heartbeat {
	return message.Heartbeat{
		Uptime:        now,
		ConfigVersion: gate.config.Version(),
		Load:          gate.Load(),
		Leaving:       gate.draining,
		Suspicions:    gate.suspects.Report(now, suspectsPerBeat),
	}
}
