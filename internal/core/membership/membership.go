// Package roster keeps the published list of upstreams as one entry believes it.
package membership

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Membership decides which upstreams may be sent new work. Rows only move forward
// in their revisions, whoever reports them: the list, a watch, or a peer.
type Membership struct {
	rows             *table.Table[string, row]
	storeUnreachable bool
	storeReachableAt time.Duration
	storeRecovered   bool
}

type row struct {
	upstream event.Upstream
	// revision is that of the newest word on the upstream.
	revision uint64
	leaving  bool
	// unusableFrom is when it may be sent nothing more, if it is leaving.
	unusableFrom time.Duration
	departedAt   time.Duration
}

const (
	// reappearGrace is how long after the configuration service's return rows that
	// expired meanwhile may still come back.
	reappearGrace = 2200 * time.Millisecond
	// departureRetention is how long peers are told of a departure.
	departureRetention = 10 * time.Second
	// rowRetention is how long a row that is gone is kept, so that an older word
	// cannot bring it back.
	rowRetention = 2 * time.Minute
)

// New returns an empty roster.
func New() *Membership {
	return &Membership{rows: table.New[string, row]()}
}

// Update takes a row as it was published and says whether it changed anything
// that matters here.
func (roster *Membership) Update(now time.Duration, upstream event.Upstream) bool {
	held, known := roster.rows.Get(upstream.Name)
	if known && upstream.Revision <= held.revision {
		return false
	}
	changed := !known || held.upstream.Address != upstream.Address || held.leaving != upstream.Leaving || held.upstream.Started != upstream.Started
	next := row{upstream: upstream, revision: upstream.Revision, leaving: upstream.Leaving, unusableFrom: now, departedAt: now}
	if known && held.leaving && upstream.Leaving {
		next.unusableFrom = held.unusableFrom
		next.departedAt = held.departedAt
	}
	roster.rows.Put(upstream.Name, next)
	return changed
}

// Remove takes the word that the row was removed at the revision. While the
// configuration service is away or just back the row may only have expired: the
// upstream stays in use until rows that expired would be back.
func (roster *Membership) Remove(now time.Duration, name string, revision uint64) bool {
	held, known := roster.rows.Get(name)
	if !known || revision <= held.revision || held.leaving {
		return false
	}
	held.leaving = true
	held.revision = revision
	held.unusableFrom = now
	held.departedAt = now
	if roster.storeUnreachable {
		held.unusableFrom = now + reappearGrace
	} else if roster.storeRecovered && now < roster.storeReachableAt+reappearGrace {
		held.unusableFrom = roster.storeReachableAt + reappearGrace
	}
	roster.rows.Put(name, held)
	return true
}

// Replace takes the whole list as it was at the revision, and returns the names
// whose rows changed.
func (roster *Membership) Replace(now time.Duration, upstreams []event.Upstream, revision uint64) []string {
	var changed []string
	listed := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Name] = true
		if roster.Update(now, upstream) {
			changed = append(changed, upstream.Name)
		}
	}
	for _, name := range roster.rows.Keys() {
		if !listed[name] && roster.Remove(now, name, revision) {
			changed = append(changed, name)
		}
	}
	return changed
}

// ApplyDeparture takes a peer's word that an upstream is leaving or gone.
func (roster *Membership) ApplyDeparture(now time.Duration, departure message.Departure) bool {
	held, known := roster.rows.Get(departure.Upstream)
	if !known || departure.Revision <= held.revision || held.leaving {
		return false
	}
	held.leaving = true
	held.revision = departure.Revision
	held.unusableFrom = now
	held.departedAt = now
	roster.rows.Put(departure.Upstream, held)
	return true
}

// MarkAddressReused takes the word of the upstream at a row's address that it is another
// one: the row is out of date.
func (roster *Membership) MarkAddressReused(now time.Duration, name string) {
	held, known := roster.rows.Get(name)
	if !known {
		return
	}
	held.leaving = true
	held.unusableFrom = now
	roster.rows.Put(name, held)
}

// StoreLost records that the configuration service stopped answering.
func (roster *Membership) StoreLost() {
	roster.storeUnreachable = true
}

// StoreRegained records that it answers again.
func (roster *Membership) StoreRegained(now time.Duration) {
	roster.storeUnreachable = false
	roster.storeRecovered = true
	roster.storeReachableAt = now
	for _, name := range roster.rows.Keys() {
		held, _ := roster.rows.Get(name)
		if held.leaving && held.unusableFrom > now {
			held.unusableFrom = now + reappearGrace
			roster.rows.Put(name, held)
		}
	}
}

// Usable says whether the upstream may be sent new work.
func (roster *Membership) Usable(now time.Duration, name string) bool {
	held, known := roster.rows.Get(name)
	return known && (!held.leaving || now < held.unusableFrom)
}

// Find returns the row of that name and whether there is one.
func (roster *Membership) Find(name string) (event.Upstream, bool) {
	held, known := roster.rows.Get(name)
	return held.upstream, known
}

// InPool returns the upstreams of a pool that may be sent new work.
func (roster *Membership) InPool(now time.Duration, pool string) []event.Upstream {
	var found []event.Upstream
	for _, name := range roster.rows.Keys() {
		if held, _ := roster.rows.Get(name); held.upstream.Pool == pool && roster.Usable(now, name) {
			found = append(found, held.upstream)
		}
	}
	return found
}

// Departures returns the recent ones, for peers, and forgets old rows.
func (roster *Membership) Departures(now time.Duration) []message.Departure {
	var departures []message.Departure
	for _, name := range roster.rows.Keys() {
		held, _ := roster.rows.Get(name)
		switch {
		case !held.leaving || now < held.unusableFrom:
		case now-held.departedAt < departureRetention:
			departures = append(departures, message.Departure{Upstream: name, Revision: held.revision})
		case now-held.departedAt > rowRetention:
			roster.rows.Delete(name)
		}
	}
	return departures
}

// Rows returns all rows, those that are leaving as such, for a peer that has none.
func (roster *Membership) Rows() []event.Upstream {
	var rows []event.Upstream
	for _, name := range roster.rows.Keys() {
		held, _ := roster.rows.Get(name)
		upstream := held.upstream
		upstream.Leaving = held.leaving
		upstream.Revision = held.revision
		rows = append(rows, upstream)
	}
	return rows
}
