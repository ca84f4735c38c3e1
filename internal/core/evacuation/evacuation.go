// Package evacuation holds one entry's view of the failure domains that operators have
// evacuated. An entry is a router process that callers connect to; it sends no requests to
// upstreams of an evacuated domain.
package evacuation

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Evacuations decides which domains are evacuated. Of several statements about a domain the
// one with the latest revision holds, whether it comes from the store or from a peer. What
// the entry has read itself up to a revision is complete: a peer's statement up to that
// revision tells nothing new.
type Evacuations struct {
	rows *table.Table[string, row]
	// read is the revision up to which this entry has read the store.
	read revision.Revision
	// graceUntil is when the grace period of the first list of the current era ends.
	graceUntil time.Duration
}

// row is what is known of one domain.
type row struct {
	evacuated bool
	revision  revision.Revision
	// since is when the domain was evacuated or restored, as far as this entry knows.
	since time.Duration
	// reportedUntil is until when peers are told that the domain is not evacuated.
	reportedUntil time.Duration
	// missing is the revision of a list of a restored store that lacks the evacuation. It
	// counts as a removal from missingUntil on, unless a later statement arrives before; 0
	// for none.
	missing      revision.Revision
	missingUntil time.Duration
}

// Change is a change of a domain's state.
type Change struct {
	Domain    string
	Evacuated bool
	Revision  revision.Revision
}

// State is the state of an evacuated domain.
type State struct {
	Domain string
	// Age is how long ago the domain was evacuated, as far as this entry knows.
	Age time.Duration
}

const (
	// restoreGrace is how long an evacuation that a restored store lacks stays in force.
	// Operators' items are written again within that time; a request that is sent too early
	// breaks a promise, one that is sent late does not.
	restoreGrace = 2200 * time.Millisecond
	// reportTime is how long peers are told of a removal.
	reportTime = 2 * time.Minute
	// rowRetention is how long the row of a restored domain is kept. It is longer than
	// reportTime, so that peers cannot report a removal back to an entry that has forgotten
	// it, and that reports it anew.
	rowRetention = 3 * time.Minute
)

// New returns evacuations without any domain.
func New() *Evacuations {
	return &Evacuations{rows: table.New[string, row]()}
}

// WithState returns the row after the domain was evacuated or restored.
func (row row) WithState(now, since time.Duration, evacuated bool, at revision.Revision) row {
	if row.evacuated != evacuated || row.revision == (revision.Revision{}) {
		row.since = since
	}
	row.evacuated = evacuated
	row.revision = at
	row.reportedUntil = now + reportTime
	row.missing, row.missingUntil = revision.Revision{}, 0
	return row
}

// WithMissing returns the row after a list of a restored store lacked the evacuation.
func (row row) WithMissing(at revision.Revision, until time.Duration) row {
	row.missing, row.missingUntil = at, until
	return row
}

// Replace applies the list of evacuated domains as of the revision, and returns the changes.
func (evacuations *Evacuations) Replace(now time.Duration, listed []event.EvacuatedDomain, at revision.Revision) []Change {
	if evacuations.read.After(at) {
		return nil
	}
	if at.Era > evacuations.read.Era {
		evacuations.graceUntil = now + restoreGrace
	}
	evacuations.read = at
	var changes []Change
	present := make(map[string]bool, len(listed))
	for _, domain := range listed {
		present[domain.Name] = true
		changes = evacuations.apply(changes, now, now, Change{domain.Name, true, domain.Revision})
	}
	for _, name := range evacuations.rows.Keys() {
		current, _ := evacuations.rows.Get(name)
		switch {
		case present[name] || !current.evacuated || !at.After(current.revision):
		case at.Era > current.revision.Era && now < evacuations.graceUntil:
			evacuations.rows.Put(name, current.WithMissing(at, evacuations.graceUntil))
		default:
			changes = evacuations.apply(changes, now, now, Change{name, false, at})
		}
	}
	return changes
}

// Update applies a change of one domain that was read from the store, and returns it if the
// state changed.
func (evacuations *Evacuations) Update(now time.Duration, domain string, evacuated bool, at revision.Revision) []Change {
	if at.After(evacuations.read) {
		evacuations.read = at
	}
	return evacuations.apply(nil, now, now, Change{domain, evacuated, at})
}

// Merge applies what a peer knows, and returns the changes.
func (evacuations *Evacuations) Merge(now time.Duration, reports []message.Evacuation) []Change {
	var changes []Change
	for _, report := range reports {
		if report.Domain == "" {
			continue
		}
		at := revision.New(report.Era, report.Revision)
		since := now - max(report.Age, 0)
		current, known := evacuations.rows.Get(report.Domain)
		switch {
		case known && at == current.revision && report.Evacuated == current.evacuated:
			current.since = min(current.since, since)
			evacuations.rows.Put(report.Domain, current)
		case at.After(evacuations.read) && (!known || at.After(current.revision)):
			changes = evacuations.apply(changes, now, since, Change{report.Domain, report.Evacuated, at})
		case report.Evacuated && !current.evacuated:
			changes = evacuations.handleOutdated(changes, now, since, Change{report.Domain, true, at})
		}
	}
	return changes
}

// handleOutdated handles a peer's report of an evacuation that the store had no more when
// this entry read it. If the store was restored just before, the operator may yet write it
// again, and it stays in force until then. Else the peer has missed the removal, and is told.
func (evacuations *Evacuations) handleOutdated(changes []Change, now, since time.Duration, reported Change) []Change {
	current, known := evacuations.rows.Get(reported.Domain)
	if reported.Revision.Era < evacuations.read.Era && now < evacuations.graceUntil && (!known || reported.Revision.After(current.revision)) {
		changes = evacuations.apply(changes, now, since, reported)
		current, _ = evacuations.rows.Get(reported.Domain)
		evacuations.rows.Put(reported.Domain, current.WithMissing(evacuations.read, evacuations.graceUntil))
		return changes
	}
	if !known {
		current = row{revision: evacuations.read, since: now - rowRetention}
	}
	current.reportedUntil = now + reportTime
	evacuations.rows.Put(reported.Domain, current)
	return changes
}

// apply applies a statement unless a later one is known, and adds it to the changes if the
// state of the domain changed.
func (evacuations *Evacuations) apply(changes []Change, now, since time.Duration, stated Change) []Change {
	current, known := evacuations.rows.Get(stated.Domain)
	if known && !stated.Revision.After(current.revision) {
		return changes
	}
	evacuations.rows.Put(stated.Domain, current.WithState(now, since, stated.Evacuated, stated.Revision))
	if current.evacuated == stated.Evacuated {
		return changes
	}
	return append(changes, stated)
}

// Settle restores the domains whose evacuation was not written again within the grace period
// after the store was restored, and forgets those that were restored long ago. It returns
// the changes.
func (evacuations *Evacuations) Settle(now time.Duration) []Change {
	var changes []Change
	for _, name := range evacuations.rows.Keys() {
		current, _ := evacuations.rows.Get(name)
		switch {
		case current.missingUntil > 0 && now >= current.missingUntil:
			changes = evacuations.apply(changes, now, now, Change{name, false, current.missing})
		case !current.evacuated && now >= current.reportedUntil+rowRetention-reportTime:
			evacuations.rows.Delete(name)
		}
	}
	return changes
}

// NextDue returns when Settle has a change to make, and false if it has none.
func (evacuations *Evacuations) NextDue() (due time.Duration, found bool) {
	for _, name := range evacuations.rows.Keys() {
		current, _ := evacuations.rows.Get(name)
		if current.missingUntil > 0 && (!found || current.missingUntil < due) {
			due, found = current.missingUntil, true
		}
	}
	return due, found
}

// Evacuated returns whether the domain is evacuated.
func (evacuations *Evacuations) Evacuated(domain string) bool {
	current, _ := evacuations.rows.Get(domain)
	return current.evacuated
}

// RestoredFor returns how long ago the domain was restored after an evacuation. It returns
// false if the domain is evacuated, or was not within rowRetention.
func (evacuations *Evacuations) RestoredFor(now time.Duration, domain string) (time.Duration, bool) {
	current, known := evacuations.rows.Get(domain)
	age := now - current.since
	return age, known && !current.evacuated && age < rowRetention
}

// States returns the evacuated domains.
func (evacuations *Evacuations) States(now time.Duration) []State {
	var states []State
	for _, name := range evacuations.rows.Keys() {
		if current, _ := evacuations.rows.Get(name); current.evacuated {
			states = append(states, State{Domain: name, Age: now - current.since})
		}
	}
	return states
}

// Reports returns the evacuations, and the removals of the last reportTime, for peers.
func (evacuations *Evacuations) Reports(now time.Duration) []message.Evacuation {
	var reports []message.Evacuation
	for _, name := range evacuations.rows.Keys() {
		current, _ := evacuations.rows.Get(name)
		if current.evacuated || now < current.reportedUntil {
			reports = append(reports, message.Evacuation{
				Domain: name, Evacuated: current.evacuated, Revision: current.revision.Number, Era: current.revision.Era, Age: now - current.since,
			})
		}
	}
	return reports
}
