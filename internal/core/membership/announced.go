package membership

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/wire/message"
)

// announcement is what an upstream says of itself in its responses: that the process which
// started at the given time leaves. It holds whatever the published list says of that process
// or of an earlier one. A process with another name or a later start is not meant; of
// upstreams without a published start time the announcement holds as long as the row is stored.
type announcement struct {
	made    bool
	started int64
	// at is when it was made, on this entry's clock.
	at time.Duration
}

// covers returns whether the upstream's process is one that leaves.
func (announcement announcement) covers(upstream event.Upstream) bool {
	return announcement.made && upstream.Started <= announcement.started
}

// Announce records that the upstream's process with the start time announced at the given
// time that it leaves. It returns whether the upstream was usable until now.
func (membership *Membership) Announce(now time.Duration, name string, started int64, at time.Duration) bool {
	current, known := membership.rows.Get(name)
	if !known || started < current.upstream.Started || current.announced.made && started <= current.announced.started {
		return false
	}
	wasUsable := membership.Usable(now, name)
	current.announced = announcement{made: true, started: started, at: at}
	if wasUsable {
		current = current.WithDeparture(now, current.revision)
		current.listedReady = true
	}
	membership.rows.Put(name, current)
	return wasUsable
}

// WithPublished returns the row after a published one replaced it. An announcement outlives
// the published row of the process that made it.
func (row row) WithPublished(now time.Duration, upstream event.Upstream) row {
	next := newRow(now, upstream)
	if !row.announced.covers(upstream) {
		return next
	}
	next.announced = row.announced
	next.listedReady = !upstream.Leaving
	next.leaving = true
	next.departedAt = row.departedAt
	return next
}

// announcedDeparture returns the notice to peers of an upstream that announced its leaving.
func (row row) announcedDeparture(now time.Duration) message.Departure {
	at := row.departure
	return message.Departure{
		Upstream: row.upstream.Name, Era: at.Era, Revision: at.Number, Started: row.announced.started,
		Announced: true, Age: now - row.announced.at,
	}
}

// departureNotice returns the notice to peers of an upstream that departed.
func (row row) departureNotice(now time.Duration) message.Departure {
	if row.announced.made {
		return row.announcedDeparture(now)
	}
	return message.Departure{Upstream: row.upstream.Name, Era: row.departure.Era, Revision: row.departure.Number, Started: row.upstream.Started}
}

// isReported returns whether peers are still told of the departure: for departureRetention,
// and as long as the list contradicts it.
func (row row) isReported(now time.Duration) bool {
	return now-row.departedAt < departureRetention || row.adoptAt > 0 || row.listedReady
}

// WithRemoval returns the row of an upstream that has left already, after its row was removed
// at the revision.
func (row row) WithRemoval(now time.Duration, at revision.Revision) row {
	if row.listedReady {
		row.departedAt = now
	}
	row.listedReady = false
	return row.WithUpdateAt(at)
}
