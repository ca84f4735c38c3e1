// Package coldstart holds which upstreams are cold, as one entry knows it. An upstream is cold
// for a time after its start, and may become so again at any moment. An entry learns of it late
// from the published list, and earlier from broken connections and from other entries.
package coldstart

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
	"endivepost/internal/data/table"
	"endivepost/internal/policy/coldrate"
	"endivepost/internal/wire/message"
)

// State has a row for each upstream that was listed or reported. All times are the uptime of
// this process. Cooling arguments are for how long an upstream of the service is cold after
// its start.
type State struct {
	rows *table.Table[string, row]
	// listed is true once a list was read: names that come later are new processes.
	listed bool
	// reviewDue is when the next upstream becomes warm, changed is true if a row has changed
	// since the last review.
	reviewDue time.Duration
	changed   bool
}

// row is what is known of one upstream. It is immutable.
type row struct {
	revision revision.Revision
	started  int64
	// stated is true if the process has stated in its item that it is cold.
	stated bool
	// until is when it becomes warm by what was stated or reported, 0 if it is. Evidence of it
	// was last seen at evidenceAt.
	until      time.Duration
	evidenceAt time.Duration
	source     event.Source
	doubt      doubt
	// provenAt is the latest time up to which evidence that it is cold has been refuted.
	provenAt time.Duration
	// reported is true if the last review reported it as cold, listedAt when it was last seen
	// in the list.
	reported bool
	listedAt time.Duration
}

// doubt is whether the upstream has restarted. It broke off or refused connections from firstAt
// to latestAt. Until it sends something, awaitsData is true; it counts as cold up to a time
// after that.
type doubt struct {
	open       bool
	firstAt    time.Duration
	latestAt   time.Duration
	awaitsData bool
	until      time.Duration
	source     event.Source
	// told is true if other entries are told of it.
	told bool
}

const (
	// publishTime is how long after an event an item of the list is certain to have been written
	// behind it: items are seen some 0.8 s late.
	publishTime = 2 * time.Second
	// lateDataTime is how long after a crash this process may still read what the upstream sent
	// before: the kernel buffers it.
	lateDataTime = 300 * time.Millisecond
	// ageError bounds the error of the age of what peers report.
	ageError = 100 * time.Millisecond
	// retention is how long the row of an upstream is stored that is listed no more: as long as
	// the membership does.
	retention = 2 * time.Minute
	// backToldTime is how long other entries are told that an upstream has come back and is no
	// longer cold. Those that may send it nothing while it is cold do not see it themselves.
	backToldTime = 5 * time.Second
	// MaxRemaining bounds the time for which an upstream may be cold. None stays cold as long.
	MaxRemaining = 10 * time.Minute
)

// New returns a state without upstreams.
func New() *State {
	return &State{rows: table.New[string, row]()}
}

// ReadList records a whole list. All upstreams of the first one that do not state a remaining
// time are warm.
func (state *State) ReadList(now time.Duration, upstreams []event.Upstream, cooling func(pool string) time.Duration) {
	for _, upstream := range upstreams {
		state.apply(now, upstream, cooling(upstream.Pool), event.FullList)
	}
	state.listed = true
}

// ReadItem records an item of the list that was written just now, or shortly before.
func (state *State) ReadItem(now time.Duration, upstream event.Upstream, cooling time.Duration) {
	state.apply(now, upstream, cooling, event.PublishedRow)
}

// apply records a row of the list, unless a later one is known. A row of an earlier process
// in a list that was restored from a copy is ignored.
func (state *State) apply(now time.Duration, upstream event.Upstream, cooling time.Duration, source event.Source) {
	current, known := state.rows.Get(upstream.Name)
	listed := known && current.revision != (revision.Revision{})
	at := revision.New(upstream.Era, upstream.Revision)
	if listed && !at.After(current.revision) || listed && at.Era > current.revision.Era && upstream.Started < current.started {
		return
	}
	next := current
	next.revision, next.listedAt = at, now
	remaining := min(max(upstream.ColdRemaining, 0), MaxRemaining)
	restarted := listed && upstream.Started != current.started || !listed && state.listed
	switch {
	case remaining > 0:
		next.until, next.evidenceAt, next.source, next.stated = now+remaining, now, source, true
	case restarted:
		next.until, next.evidenceAt, next.source, next.stated = max(next.until, now+cooling), now, source, false
	case source == event.PublishedRow:
		next = next.withWarmItem(now)
	}
	if restarted && source == event.PublishedRow && now-next.doubt.latestAt >= publishTime {
		next.doubt = doubt{}
	}
	next.started = upstream.Started
	state.put(upstream.Name, next)
}

// withWarmItem returns the row after an item of the same process that states no remaining
// time. It refutes the evidence from before it was written; a process that has never stated
// any time may have been listed without it while it is cold.
func (row row) withWarmItem(now time.Duration) row {
	proven := now - publishTime
	if row.doubt.open && row.doubt.latestAt <= proven {
		row.doubt = doubt{}
	}
	if row.evidenceAt <= proven && (row.stated || row.source != event.PublishedRow && row.source != event.FullList) {
		row.until = 0
	}
	row.provenAt = max(row.provenAt, proven)
	return row
}

// Break records that the upstream broke off or refused a connection at the time, or was silent.
// It may have restarted. Other entries are told if told is true. It returns whether that is
// news.
func (state *State) Break(at time.Duration, name string, source event.Source, told bool) bool {
	current, _ := state.rows.Get(name)
	if at <= current.provenAt {
		return false
	}
	known := current.doubt
	news := !known.open || told && !known.told || !known.awaitsData && at > known.latestAt+ageError
	next := doubt{open: true, firstAt: at, latestAt: at, awaitsData: true, source: source, told: told}
	if known.open {
		next.firstAt, next.latestAt = min(known.firstAt, at), max(known.latestAt, at)
		next.awaitsData, next.until = known.awaitsData || at > known.latestAt, known.until
		next.told, next.source = known.told || told, known.source
	}
	current.doubt = next
	state.put(name, current)
	return news
}

// DataReceived records that the upstream sent something in an attempt that was sent at the given time.
// If its connection was open before the breaks, the process has not restarted.
func (state *State) DataReceived(now time.Duration, name string, sentAt, cooling time.Duration) {
	current, _ := state.rows.Get(name)
	known := current.doubt
	switch {
	case !known.open:
		return
	case now-known.latestAt >= lateDataTime && sentAt+coldrate.SendTime <= known.firstAt:
		current.doubt = doubt{}
		current.provenAt = max(current.provenAt, now-lateDataTime)
	case known.awaitsData && sentAt >= known.latestAt:
		current.doubt.awaitsData = false
		current.doubt.until = now + cooling
	default:
		return
	}
	state.put(name, current)
}

// Stated records for how long the upstream is cold as it said in the response to a request that
// was sent at the given time.
func (state *State) Stated(now time.Duration, name string, remaining, sentAt time.Duration) bool {
	current, _ := state.rows.Get(name)
	before := current.coldUntil(now)
	remaining = min(max(remaining, 0), MaxRemaining)
	if remaining == 0 {
		if sentAt < current.doubt.latestAt || sentAt < current.evidenceAt {
			return false
		}
		current.doubt, current.until, current.provenAt = doubt{}, 0, max(current.provenAt, sentAt)
		state.put(name, current)
		return false
	}
	current.until, current.evidenceAt, current.source = now+remaining, now, event.OwnResponses
	state.put(name, current)
	return before <= now
}

// DomainRestored records that the upstreams get requests again after the evacuation of their
// domain: they count as cold until items that are written from now on say otherwise.
func (state *State) DomainRestored(now time.Duration, name string, cooling time.Duration) {
	current, _ := state.rows.Get(name)
	if !current.doubt.open || current.doubt.until < now+cooling && !current.doubt.awaitsData {
		current.doubt = doubt{open: true, firstAt: now, latestAt: now, until: now + cooling, source: event.EvacuationEnded}
		state.put(name, current)
	}
}

// Merge records a peer's report. It returns whether that is news. A report of an earlier
// process, or of evidence that has been refuted here, is ignored.
func (state *State) Merge(now time.Duration, report message.ColdUpstream) bool {
	at := now - min(max(report.Age, 0), MaxRemaining)
	if report.Broke {
		news := !state.Knows(now, report) && (!report.Back || report.Remaining > 0) && state.Break(at, report.Upstream, event.PeerEntry, true)
		if report.Back {
			state.mergeReturn(now, at, report)
		}
		return news
	}
	current, _ := state.rows.Get(report.Upstream)
	until := now + min(max(report.Remaining, 0), MaxRemaining)
	if at <= current.provenAt+ageError || report.Started != 0 && report.Started < current.started || until <= current.until+ageError {
		return false
	}
	news := !current.isCold(now)
	current.until, current.evidenceAt, current.source = until, at, event.PeerEntry
	state.put(report.Upstream, current)
	return news
}

// Knows returns whether the broken connection that a peer reports is known here or refuted.
func (state *State) Knows(now time.Duration, report message.ColdUpstream) bool {
	at := now - min(max(report.Age, 0), MaxRemaining)
	current, _ := state.rows.Get(report.Upstream)
	return at <= current.provenAt+ageError || current.doubt.open && at <= current.doubt.latestAt+ageError
}

// mergeReturn records a peer's report that the upstream has come back after the break at the
// time, unless a later one is known.
func (state *State) mergeReturn(now, at time.Duration, report message.ColdUpstream) {
	current, _ := state.rows.Get(report.Upstream)
	if !current.doubt.open || !current.doubt.awaitsData || at < current.doubt.latestAt-ageError {
		return
	}
	current.doubt.awaitsData = false
	current.doubt.until = now + min(max(report.Remaining, 0), MaxRemaining)
	state.put(report.Upstream, current)
}

// Reports returns what other entries are told.
func (state *State) Reports(now time.Duration, cooling func(name string) time.Duration) []message.ColdUpstream {
	var reports []message.ColdUpstream
	for _, name := range state.rows.Keys() {
		current, _ := state.rows.Get(name)
		if now < current.until {
			reports = append(reports, message.ColdUpstream{
				Upstream: name, Started: current.started, Remaining: current.until - now, Age: now - current.evidenceAt,
			})
		}
		known := current.doubt
		switch {
		case !known.open || !known.told:
		case known.awaitsData:
			reports = append(reports, message.ColdUpstream{
				Upstream: name, Started: current.started, Remaining: cooling(name), Age: now - known.latestAt, Broke: true,
			})
		case now < known.until+backToldTime:
			reports = append(reports, message.ColdUpstream{
				Upstream: name, Started: current.started, Remaining: max(known.until-now, 0), Age: now - known.latestAt, Broke: true, Back: true,
			})
		}
	}
	return reports
}

// Cold returns whether the upstream is or may be cold.
func (state *State) Cold(now time.Duration, name string) bool {
	current, _ := state.rows.Get(name)
	return current.isCold(now)
}

// Doubted returns whether it is in doubt if the upstream has restarted.
func (state *State) Doubted(name string) bool {
	current, _ := state.rows.Get(name)
	return current.doubt.open
}

// Until returns until when the upstream is cold, and false if it is not. While it is in doubt
// whether the upstream is back, that is from now on for the time of a start.
func (state *State) Until(now time.Duration, name string, cooling time.Duration) (time.Duration, bool) {
	current, _ := state.rows.Get(name)
	if !current.isCold(now) {
		return 0, false
	}
	if current.doubt.open && current.doubt.awaitsData {
		return max(current.until, now+cooling), true
	}
	return current.coldUntil(now), true
}

func (row row) isDoubted(now time.Duration) bool {
	return row.doubt.open && (row.doubt.awaitsData || now < row.doubt.until)
}

func (row row) isCold(now time.Duration) bool {
	return now < row.until || row.isDoubted(now)
}

// coldUntil returns until when the upstream is cold if it sends nothing more; it may be in the
// past.
func (row row) coldUntil(now time.Duration) time.Duration {
	if row.isDoubted(now) {
		return max(row.until, row.doubt.until)
	}
	return row.until
}

// Change reports that an upstream became cold or warm, and why.
type Change struct {
	Name   string
	Cold   bool
	Source event.Source
}

// ReviewDue returns when an upstream becomes warm, 0 if there is nothing to review.
func (state *State) ReviewDue() time.Duration {
	return state.reviewDue
}

// Review returns the upstreams that became cold or warm since the last review.
func (state *State) Review(now time.Duration) []Change {
	if !state.changed && (state.reviewDue == 0 || now < state.reviewDue) {
		return nil
	}
	state.changed = false
	state.reviewDue = 0
	var changes []Change
	for _, name := range state.rows.Keys() {
		current, _ := state.rows.Get(name)
		cold := current.isCold(now)
		if end := current.coldUntil(now); cold && end > now && (state.reviewDue == 0 || end < state.reviewDue) {
			state.reviewDue = end
		}
		if cold == current.reported {
			continue
		}
		current.reported = cold
		state.rows.Put(name, current)
		changes = append(changes, Change{Name: name, Cold: cold, Source: current.reason(now)})
	}
	return changes
}

// reason returns the source of the evidence that the upstream is or was cold.
func (row row) reason(now time.Duration) event.Source {
	if row.isDoubted(now) {
		return row.doubt.source
	}
	return row.source
}

// Forget deletes the rows of upstreams that are not listed any more, some time after they
// were.
func (state *State) Forget(now time.Duration, isListed func(name string) bool) {
	for _, name := range state.rows.Keys() {
		if current, _ := state.rows.Get(name); !isListed(name) && now-current.listedAt > retention && !current.isCold(now) {
			state.rows.Delete(name)
		}
	}
}

func (state *State) put(name string, next row) {
	state.rows.Put(name, next)
	state.changed = true
}
