package dispatch

import (
	"fmt"
	"time"

	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// An upstream that broke off a connection may have restarted, under the name that it had and
// with another build of its software. The list says so once it is up to date again. Until then the
// upstream counts as one of a build of its own.

// WithBreak returns the row after the upstream broke off or refused a connection.
func (row upstreamRow) WithBreak(now time.Duration) upstreamRow {
	if now > row.brokeAt {
		row.brokeAt, row.backAt = now, 0
	}
	return row
}

// WithLife returns the row after the upstream sent something. It has not restarted if that was
// sooner than it could have.
func (row upstreamRow) WithLife(now time.Duration) upstreamRow {
	since := now - row.brokeAt
	switch {
	case row.brokeAt == 0 || row.backAt > 0 || since < crashcause.LateDataTime:
	case since < crashcause.MinRestartTime:
		row.brokeAt = 0
	default:
		row.backAt = now
	}
	return row
}

// observeLife records that the upstream sent something.
func (dispatcher *Dispatcher) observeLife(now time.Duration, name string) {
	dispatcher.crashCauses.Alive(now, name)
	row := dispatcher.upstream(name)
	if row.brokeAt == 0 || row.backAt > 0 {
		return
	}
	dispatcher.upstreams.Put(name, row.WithLife(now))
	dispatcher.observeBuilds(now)
	dispatcher.scheduleOrigins(now)
}

// observePeerBreaks records the upstreams that broke off connections of a peer.
func (dispatcher *Dispatcher) observePeerBreaks(now time.Duration, interruptions []message.Interruption) {
	for _, interruption := range interruptions {
		if _, listed := dispatcher.membership.Find(interruption.Upstream); listed {
			row := dispatcher.upstream(interruption.Upstream).WithBreak(now - interruption.Age)
			dispatcher.upstreams.Put(interruption.Upstream, row)
		}
	}
}

// handlePeerRestarts applies the rows of upstreams that restarted, as a peer has read them. Those of
// upstreams that are not listed here are left to the list.
func (dispatcher *Dispatcher) handlePeerRestarts(now time.Duration, restarted []message.Upstream) {
	for _, upstream := range restarted {
		if _, listed := dispatcher.membership.Find(upstream.Name); listed {
			dispatcher.updateUpstream(now, event.PeerEntry, upstream)
		}
	}
}

// forgetBreak forgets that the upstream broke off connections: its row says which process runs
// now.
func (dispatcher *Dispatcher) forgetBreak(name string) {
	if row, known := dispatcher.upstreams.Get(name); known {
		row.brokeAt, row.backAt = 0, 0
		dispatcher.upstreams.Put(name, row)
	}
}

// settleBreaks forgets the breaks of upstreams of which a list that has just been confirmed says
// which process runs: they have come back before, or would have expired.
func (dispatcher *Dispatcher) settleBreaks(now time.Duration) {
	if !dispatcher.membership.Complete(now) {
		return
	}
	for _, name := range dispatcher.upstreams.Keys() {
		if row, _ := dispatcher.upstreams.Get(name); row.backAt > 0 || row.brokeAt > 0 && now-row.brokeAt >= dispatcher.settings.ListExpiry {
			dispatcher.forgetBreak(name)
		}
	}
}

// build returns the upstream's build, or one of its own if that is in doubt: it broke off
// connections, and the list may not be up to date. Where the list names no builds, all
// upstreams are of one.
func (dispatcher *Dispatcher) build(now time.Duration, upstream event.Upstream) string {
	row, known := dispatcher.upstreams.Get(upstream.Name)
	if !known || upstream.Build == "" || row.brokeAt == 0 || dispatcher.listUpToDate(now) && dispatcher.membership.Complete(dispatcher.listConfirmedAt) {
		return upstream.Build
	}
	return fmt.Sprintf("%s of unknown build since %d", upstream.Name, row.brokeAt)
}

// listedBuild returns the build that the upstream is observed with. One that has not come back
// begins no streams.
func (dispatcher *Dispatcher) listedBuild(now time.Duration, upstream event.Upstream) string {
	if row, _ := dispatcher.upstreams.Get(upstream.Name); row.backAt == 0 {
		return upstream.Build
	}
	return dispatcher.build(now, upstream)
}
