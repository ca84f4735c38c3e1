// Package membership holds one entry's view of the published upstream list. An
// entry is a router process that callers connect to.
package membership

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Membership decides which upstreams may be sent new requests. An update of a row
// applies only if its revision is higher than the row's, whether it comes from the
// list, a watch or a peer: stale updates are ignored.
type Membership struct {
	rows *table.Table[string, row]
	// The store is the configuration service. storeRecovered is true once it was
	// reachable again after an outage, storeReachableAt is when that was last.
	storeUnreachable bool
	storeReachableAt time.Duration
	storeRecovered   bool
}

type row struct {
	upstream event.Upstream
	// revision is that of the latest update, which may be a removal or a departure.
	revision uint64
	leaving  bool
	// unusableFrom is when a leaving upstream gets no more new requests.
	unusableFrom time.Duration
	// departedAt is when a leaving upstream was first marked as leaving. MarkAddressReused
	// does not set it: it then stays the time of the last update.
	departedAt time.Duration
}

const (
	// reappearGrace is how long after the configuration service is reachable again
	// rows that expired in its outage may still reappear.
	reappearGrace = 2200 * time.Millisecond
	// departureRetention is how long a departure is reported to peers.
	departureRetention = 10 * time.Second
	// rowRetention is how long the row of an upstream that is leaving or was removed is
	// stored, so that a stale update cannot restore it.
	rowRetention = 2 * time.Minute
)

// New returns a membership without upstreams.
func New() *Membership {
	return &Membership{rows: table.New[string, row]()}
}

// Update applies a published row and returns whether the upstream is new or its
// address, start time or leaving state changed.
func (membership *Membership) Update(now time.Duration, upstream event.Upstream) bool {
	current, known := membership.rows.Get(upstream.Name)
	if known && upstream.Revision <= current.revision {
		return false
	}
	changed := !known || current.upstream.Address != upstream.Address || current.leaving != upstream.Leaving || current.upstream.Started != upstream.Started
	next := row{upstream: upstream, revision: upstream.Revision, leaving: upstream.Leaving, unusableFrom: now, departedAt: now}
	if known && current.leaving && upstream.Leaving {
		next.unusableFrom = current.unusableFrom
		next.departedAt = current.departedAt
	}
	membership.rows.Put(upstream.Name, next)
	return changed
}

// Remove applies the removal of a row at the revision and returns whether it took
// effect. While the configuration service is unreachable, or shortly after, the row
// may only have expired: the upstream then stays usable until reappearGrace is
// over.
func (membership *Membership) Remove(now time.Duration, name string, revision uint64) bool {
	current, known := membership.rows.Get(name)
	if !known || revision <= current.revision || current.leaving {
		return false
	}
	current.leaving = true
	current.revision = revision
	current.unusableFrom = now
	current.departedAt = now
	if membership.storeUnreachable {
		current.unusableFrom = now + reappearGrace
	} else if membership.storeRecovered && now < membership.storeReachableAt+reappearGrace {
		current.unusableFrom = membership.storeReachableAt + reappearGrace
	}
	membership.rows.Put(name, current)
	return true
}

// Replace applies the whole upstream list as of the revision, removing rows that
// are not in it, and returns the names of the changed rows.
func (membership *Membership) Replace(now time.Duration, upstreams []event.Upstream, revision uint64) []string {
	var changed []string
	listed := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Name] = true
		if membership.Update(now, upstream) {
			changed = append(changed, upstream.Name)
		}
	}
	for _, name := range membership.rows.Keys() {
		if !listed[name] && membership.Remove(now, name, revision) {
			changed = append(changed, name)
		}
	}
	return changed
}

// ApplyDeparture applies a peer's notice that an upstream is leaving or removed,
// and returns whether it took effect.
func (membership *Membership) ApplyDeparture(now time.Duration, departure message.Departure) bool {
	current, known := membership.rows.Get(departure.Upstream)
	if !known || departure.Revision <= current.revision || current.leaving {
		return false
	}
	current.leaving = true
	current.revision = departure.Revision
	current.unusableFrom = now
	current.departedAt = now
	membership.rows.Put(departure.Upstream, current)
	return true
}

// MarkAddressReused marks an upstream as leaving, because another upstream responded
// at its address.
func (membership *Membership) MarkAddressReused(now time.Duration, name string) {
	current, known := membership.rows.Get(name)
	if !known {
		return
	}
	current.leaving = true
	current.unusableFrom = now
	membership.rows.Put(name, current)
}

// HandleStoreUnreachable records that the configuration service stopped responding.
func (membership *Membership) HandleStoreUnreachable() {
	membership.storeUnreachable = true
}

// HandleStoreReachable records that the configuration service responds again. Rows
// that may only have expired get reappearGrace from now on.
func (membership *Membership) HandleStoreReachable(now time.Duration) {
	membership.storeUnreachable = false
	membership.storeRecovered = true
	membership.storeReachableAt = now
	for _, name := range membership.rows.Keys() {
		current, _ := membership.rows.Get(name)
		if current.leaving && current.unusableFrom > now {
			current.unusableFrom = now + reappearGrace
			membership.rows.Put(name, current)
		}
	}
}

// Usable returns whether the upstream may be sent new requests.
func (membership *Membership) Usable(now time.Duration, name string) bool {
	current, known := membership.rows.Get(name)
	return known && (!current.leaving || now < current.unusableFrom)
}

// Find returns the upstream's row as last published, and whether there is one.
func (membership *Membership) Find(name string) (event.Upstream, bool) {
	current, known := membership.rows.Get(name)
	return current.upstream, known
}

// InPool returns the usable upstreams of a pool.
func (membership *Membership) InPool(now time.Duration, pool string) []event.Upstream {
	var found []event.Upstream
	for _, name := range membership.rows.Keys() {
		if current, _ := membership.rows.Get(name); current.upstream.Pool == pool && membership.Usable(now, name) {
			found = append(found, current.upstream)
		}
	}
	return found
}

// Departures returns the departures to report to peers, and deletes the rows of
// upstreams that departed longer than rowRetention ago.
func (membership *Membership) Departures(now time.Duration) []message.Departure {
	var departures []message.Departure
	for _, name := range membership.rows.Keys() {
		current, _ := membership.rows.Get(name)
		switch {
		case !current.leaving || now < current.unusableFrom:
		case now-current.departedAt < departureRetention:
			departures = append(departures, message.Departure{Upstream: name, Revision: current.revision})
		case now-current.departedAt > rowRetention:
			membership.rows.Delete(name)
		}
	}
	return departures
}

// Rows returns all rows with their latest revision and leaving state, such as for a
// peer without an upstream list.
func (membership *Membership) Rows() []event.Upstream {
	var rows []event.Upstream
	for _, name := range membership.rows.Keys() {
		current, _ := membership.rows.Get(name)
		upstream := current.upstream
		upstream.Leaving = current.leaving
		upstream.Revision = current.revision
		rows = append(rows, upstream)
	}
	return rows
}
