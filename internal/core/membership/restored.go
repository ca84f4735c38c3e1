package membership

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/wire/message"
)

// A store that was restored from a copy lists what was true when the copy was taken. An
// upstream writes its row again if it runs, and an upstream that is gone expires. Until
// then a listed row does not overrule what is known of the same process from before: that it
// is leaving or gone, or that a later process has its name.

// updateFromList applies a row of the whole list and returns whether the upstream changed.
// A row of a new era that contradicts what is known is adopted only after the expiry.
func (membership *Membership) updateFromList(now time.Duration, upstream event.Upstream) bool {
	current, known := membership.rows.Get(upstream.Name)
	if known && current.doubts(now, upstream) {
		membership.rows.Put(upstream.Name, current.WithDoubted(upstream, now+membership.expiry))
		return false
	}
	changed := membership.Update(now, upstream)
	if current, _ = membership.rows.Get(upstream.Name); current.revision == position(upstream) {
		current.fromList = true
		membership.rows.Put(upstream.Name, current)
	}
	return changed
}

// doubts returns whether a listed row of a later era contradicts what is known.
func (row row) doubts(now time.Duration, listed event.Upstream) bool {
	if listed.Era <= row.revision.Era {
		return false
	}
	departed := row.leaving && now >= row.unusableFrom
	return departed && !listed.Leaving && listed.Started == row.upstream.Started || listed.Started < row.upstream.Started
}

// contradicts returns whether a departure of an earlier era is about the process that an
// unconfirmed row lists.
func (row row) contradicts(departure message.Departure) bool {
	return !row.leaving && row.fromList && departure.Era < row.revision.Era && departure.Started == row.upstream.Started
}

// WithDoubted returns the row with a listed one that replaces it later.
func (row row) WithDoubted(listed event.Upstream, adoptAt time.Duration) row {
	row.revision = position(listed)
	row.doubted = listed
	row.adoptAt = adoptAt
	return row
}

// WithUpdateAt returns the row after an update at the revision: no listed row is in doubt any
// more.
func (row row) WithUpdateAt(at revision.Revision) row {
	row.revision = at
	row.doubted = event.Upstream{}
	row.adoptAt = 0
	return row
}

// AdoptListed replaces rows by those that contradicted them and are still listed after the
// expiry: the upstreams run. It returns the names of those that are usable. All changes of
// the list up to now must have been applied.
func (membership *Membership) AdoptListed(now time.Duration) []string {
	var adopted []string
	for _, name := range membership.rows.Keys() {
		current, _ := membership.rows.Get(name)
		if current.adoptAt == 0 || now < current.adoptAt {
			continue
		}
		membership.rows.Put(name, current.WithPublished(now, current.doubted))
		if membership.Usable(now, name) {
			adopted = append(adopted, name)
		}
	}
	return adopted
}
