// Package membership holds one entry's view of the published upstream list. An
// entry is a router process that callers connect to.
package membership

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Membership decides which upstreams may be sent new requests. An update of a row
// applies only if its revision is later than the row's, whether it comes from the
// list, a watch or a peer: stale updates are ignored. If the store was restored from a
// copy, its list may contradict what is known from before; see restored.go.
type Membership struct {
	rows *table.Table[string, row]
	// expiry is how long an upstream that is gone stays listed.
	expiry time.Duration
	// The store is the configuration service. storeRecovered is true once it was
	// reachable again after an outage, storeReachableAt is when that was last.
	storeUnreachable bool
	storeReachableAt time.Duration
	storeRecovered   bool
}

type row struct {
	upstream event.Upstream
	// revision is that of the latest update, which may be a removal or a departure.
	revision revision.Revision
	leaving  bool
	// departure is the revision at which a leaving upstream departed.
	departure revision.Revision
	// unusableFrom is when a leaving upstream gets no more new requests.
	unusableFrom time.Duration
	// departedAt is when a leaving upstream was first marked as leaving. MarkAddressReused
	// does not set it: it then stays the time of the last update.
	departedAt time.Duration
	// fromList is true if the row comes from a list, which may be that of a copy, and no
	// update has confirmed it.
	fromList bool
	// doubted is a listed row that contradicts what is known from an earlier era. It replaces
	// this one at adoptAt, unless there is an update before. Without one adoptAt is 0.
	doubted event.Upstream
	adoptAt time.Duration
	// announced is set if the upstream announced in a response that it leaves, and
	// listedReady while the list calls it ready nevertheless; see announced.go.
	announced   announcement
	listedReady bool
}

const (
	// reappearGrace is how long after the configuration service is reachable again
	// rows that expired in its outage may still reappear.
	reappearGrace = 2200 * time.Millisecond
	// departureRetention is how long a departure is reported to peers; one that a list
	// contradicts is reported for as long as that row is in doubt.
	departureRetention = 10 * time.Second
	// rowRetention is how long the row of an upstream that is leaving or was removed is
	// stored, so that a stale update cannot restore it.
	rowRetention = 2 * time.Minute
)

// New returns a membership without upstreams. Expiry is how long the published list
// contains an upstream that is gone.
func New(expiry time.Duration) *Membership {
	return &Membership{rows: table.New[string, row](), expiry: expiry}
}

// newRow returns the row of a published upstream.
func newRow(now time.Duration, upstream event.Upstream) row {
	at := position(upstream)
	return row{upstream: upstream, revision: at, leaving: upstream.Leaving, departure: at, unusableFrom: now, departedAt: now}
}

func position(upstream event.Upstream) revision.Revision {
	return revision.New(upstream.Era, upstream.Revision)
}

// WithDeparture returns the row of an upstream that departed at the revision.
func (row row) WithDeparture(now time.Duration, at revision.Revision) row {
	row.leaving = true
	row.departure = at
	row.unusableFrom = now
	row.departedAt = now
	return row
}

// Update applies a published row and returns whether the upstream is new or its
// address, start time or leaving state changed.
func (membership *Membership) Update(now time.Duration, upstream event.Upstream) bool {
	current, known := membership.rows.Get(upstream.Name)
	if known && !position(upstream).After(current.revision) {
		return false
	}
	next := current.WithPublished(now, upstream)
	changed := !known || current.upstream.Address != upstream.Address || current.leaving != next.leaving || current.upstream.Started != upstream.Started
	if known && current.leaving && next.leaving {
		next.unusableFrom = min(current.unusableFrom, now)
		next.departedAt = current.departedAt
	}
	membership.rows.Put(upstream.Name, next)
	return changed
}

// Remove applies the removal of a row at the revision and returns whether it took
// effect. While the configuration service is unreachable, or shortly after, the row
// may only have expired: the upstream then stays usable until reappearGrace is
// over. It is the same with a row that the copy lacks from which the service was restored.
func (membership *Membership) Remove(now time.Duration, name string, at revision.Revision) bool {
	current, known := membership.rows.Get(name)
	if !known || !at.After(current.revision) {
		return false
	}
	if current.leaving {
		membership.rows.Put(name, current.WithRemoval(now, at))
		return false
	}
	restored := at.Era > current.revision.Era
	current = current.WithUpdateAt(at).WithDeparture(now, at)
	if membership.storeUnreachable || restored {
		current.unusableFrom = now + reappearGrace
	} else if membership.storeRecovered && now < membership.storeReachableAt+reappearGrace {
		current.unusableFrom = membership.storeReachableAt + reappearGrace
	}
	membership.rows.Put(name, current)
	return true
}

// Replace applies the whole upstream list as of the revision, removing rows that
// are not in it, and returns the names of the changed rows.
func (membership *Membership) Replace(now time.Duration, upstreams []event.Upstream, at revision.Revision) []string {
	var changed []string
	listed := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Name] = true
		if membership.updateFromList(now, upstream) {
			changed = append(changed, upstream.Name)
		}
	}
	for _, name := range membership.rows.Keys() {
		if !listed[name] && membership.Remove(now, name, at) {
			changed = append(changed, name)
		}
	}
	return changed
}

// ApplyDeparture applies a peer's notice that an upstream is leaving or removed,
// and returns whether it took effect. A notice about an earlier process does not.
func (membership *Membership) ApplyDeparture(now time.Duration, departure message.Departure) bool {
	if departure.Announced {
		return membership.Announce(now, departure.Upstream, departure.Started, now-departure.Age)
	}
	current, known := membership.rows.Get(departure.Upstream)
	departed := current.leaving && now >= current.unusableFrom
	if !known || departed || departure.Started < current.upstream.Started {
		return false
	}
	at := revision.New(departure.Era, departure.Revision)
	switch {
	case at.After(current.revision):
		current = current.WithUpdateAt(at).WithDeparture(now, at)
	case current.contradicts(departure):
		current = current.WithDoubted(current.upstream, now+membership.expiry).WithDeparture(now, at)
	default:
		return false
	}
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
	current.departure = current.revision
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

// Complete returns whether a list of the time has what upstreams wrote of themselves before:
// what they could not write in an outage of the configuration service, they write within reappearGrace.
func (membership *Membership) Complete(at time.Duration) bool {
	return !membership.storeUnreachable && (!membership.storeRecovered || at >= membership.storeReachableAt+reappearGrace)
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
		case current.isReported(now):
			departures = append(departures, current.departureNotice(now))
		case now-current.departedAt > rowRetention:
			membership.rows.Delete(name)
		}
	}
	return departures
}

// Rows returns all rows with their leaving state and the revision of what is known of it,
// such as for a peer without an upstream list.
func (membership *Membership) Rows() []event.Upstream {
	var rows []event.Upstream
	for _, name := range membership.rows.Keys() {
		current, _ := membership.rows.Get(name)
		at := current.revision
		if current.leaving {
			at = current.departure
		}
		upstream := current.upstream
		upstream.Leaving = current.leaving
		upstream.Era, upstream.Revision = at.Era, at.Number
		rows = append(rows, upstream)
	}
	return rows
}
