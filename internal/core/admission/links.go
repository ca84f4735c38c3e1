package admission

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// linkRow is the connection from one entry. The field heardAt is the time of the last
// message or, if the connection is closed, of the close. The field peerUptime is the
// latest reading of the entry's clock, echo the latest reading of the sidecar's clock
// that the entry has sent back, leaving whether the entry has announced its shutdown.
type linkRow struct {
	number     uint64
	open       bool
	heardAt    time.Duration
	peerUptime time.Duration
	echo       time.Duration
	leaving    bool
}

// WithHeard returns the row with the heartbeat timeout counted from now on.
func (row linkRow) WithHeard(now time.Duration) linkRow {
	row.heardAt = now
	return row
}

// WithHeartbeat returns the row with the clock reading and the echo of the entry's
// heartbeat. An echo acknowledges all that was sent before its reading, since a
// link keeps messages in order.
func (row linkRow) WithHeartbeat(heartbeat message.Heartbeat) linkRow {
	row.peerUptime = max(row.peerUptime, heartbeat.Uptime)
	row.echo = max(row.echo, heartbeat.Echo)
	row.leaving = heartbeat.Leaving
	return row
}

// WithClosed returns the row with its connection closed at now.
func (row linkRow) WithClosed(now time.Duration) linkRow {
	row.open = false
	row.heardAt = now
	return row
}

// handleLinkOpened replaces the entry's previous link, if there is one: its loss may
// not have been reported. The requests that came over it and are still queued are
// refused: the entry has placed them again or asks for them with an Attach message.
func (controller *Controller) handleLinkOpened(now time.Duration, opened event.LinkOpened) {
	if link, ok := controller.links.Get(opened.Peer); ok && link.number >= opened.Link {
		return
	}
	controller.refuseQueuedFrom(now, opened.Peer)
	controller.links.Put(opened.Peer, linkRow{number: opened.Link, open: true, heardAt: now})
	controller.crashCauses.Resend()
	controller.heartbeatDue = min(controller.heartbeatDue, now)
}

func (controller *Controller) handleLinkClosed(now time.Duration, closed event.LinkClosed) {
	link, ok := controller.links.Get(closed.Peer)
	if !ok || link.number != closed.Link {
		return
	}
	controller.links.Put(closed.Peer, link.WithClosed(now))
	controller.refuseQueuedFrom(now, closed.Peer)
	controller.detachRuns(now, closed.Peer)
}

// refuseQueuedFrom refuses the peer's queued requests. Claims are kept until their
// lease ends, so that a peer that reattaches learns whether its grant arrived.
func (controller *Controller) refuseQueuedFrom(now time.Duration, peer string) {
	for _, id := range controller.reservations.Keys() {
		row, _ := controller.reservations.Get(id)
		if row.peer == peer && !row.claimed {
			controller.refuse(now, row, message.Lost)
		}
	}
}

// detachRuns starts the reattach timeout of the peer's runs. Non-idempotent runs
// have none, since they are never cancelled.
func (controller *Controller) detachRuns(now time.Duration, peer string) {
	for _, id := range controller.runs.Keys() {
		run, _ := controller.runs.Get(id)
		if run.peer == peer && !run.ended && !run.reserve.NonIdempotent {
			controller.runDue.Set(id, now+controller.settings.ReattachTimeout)
		}
	}
}

func (controller *Controller) handleHeartbeat(now time.Duration, received event.Received, heartbeat message.Heartbeat) {
	link, _ := controller.links.Get(received.Peer)
	controller.links.Put(received.Peer, link.WithHeartbeat(heartbeat))
	controller.crashCauses.Merge(now, heartbeat.Crashes, true)
	controller.emit(controller.config.ObserveVersion(now, received.Peer, received.Link, heartbeat.ConfigVersion)...)
}

// resetAfterPause takes HeartbeatTimeout without a step as a pause of this process. It
// then resets the heartbeat timeouts of all links, since the peers' messages may still
// be unread in the socket buffers.
func (controller *Controller) resetAfterPause(now time.Duration) {
	if now-controller.lastStep < controller.settings.HeartbeatTimeout {
		return
	}
	for _, peer := range controller.links.Keys() {
		link, _ := controller.links.Get(peer)
		controller.links.Put(peer, link.WithHeard(now))
	}
}

// sendHeartbeats sends a heartbeat on each open link and closes links without a
// message for HeartbeatTimeout. Rows of closed links are deleted after refusalTTL.
func (controller *Controller) sendHeartbeats(now time.Duration) {
	if now < controller.heartbeatDue {
		return
	}
	controller.heartbeatDue = now + controller.settings.HeartbeatInterval
	heartbeat := controller.heartbeat(now)
	for _, peer := range controller.links.Keys() {
		link, _ := controller.links.Get(peer)
		switch {
		case !link.open && now-link.heardAt > refusalTTL:
			controller.links.Delete(peer)
		case !link.open:
		case now-link.heardAt > controller.settings.HeartbeatTimeout:
			controller.emit(event.CloseLink{Peer: peer, Link: link.number})
			controller.handleLinkClosed(now, event.LinkClosed{Peer: peer, Link: link.number})
		default:
			heartbeat.Echo = link.peerUptime
			controller.emit(event.Send{Peer: peer, Link: link.number, Message: heartbeat})
		}
	}
}

func (controller *Controller) heartbeat(now time.Duration) message.Heartbeat {
	return message.Heartbeat{
		Uptime:        now,
		ConfigVersion: controller.config.Version(),
		Load:          controller.load(now),
		Leaving:       controller.draining,
		Suspicions:    controller.suspects.Report(now, maxSuspicionsPerHeartbeat),
		Crashes:       controller.crashCauses.Take(now),
	}
}
