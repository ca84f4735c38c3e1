// Package crashcause finds what the requests that crash upstreams have in common: a part
// of their prompts, or the whole request if its caller repeats it.
//
// All requests in flight at a crash are affected, and most of them are not its cause. The
// cause is an attribute under which upstreams crash one after the other while no response
// to a request with it gets beyond its beginning.
package crashcause

import (
	"maps"
	"slices"
	"time"

	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Finder collects the interruptions and survivals that this process and its peers saw. Its
// state is bounded and expires. Reports name interruptions by their attempts, so that late
// or repeated ones do no harm.
type Finder struct {
	interruptions *table.Table[message.RequestID, interruption]
	// evidence has the attempts of the interruptions that count against an attribute, and
	// interrupted the time of the latest interruption by upstream.
	evidence    map[uint64][]message.RequestID
	interrupted map[string]time.Duration
	survivals   *table.Table[uint64, survival]
	// unshared and unsharedSurvivals are the reports that peers have not been told yet, and
	// resend is true if they are to be told everything.
	unshared          message.CrashReports
	unsharedSurvivals *table.Table[uint64, message.Survival]
	resend            bool
	// causes is when the blame of each attribute ends.
	causes map[uint64]time.Duration
	// changed is true if something was reported since the last review.
	changed bool
}

// interruption is a response that an upstream broke off. It is refuted if the upstream
// turned out not to have crashed. It does not count against the cleared attributes. A row
// without an upstream is one of which only these are known yet.
type interruption struct {
	upstream   string
	at         time.Duration
	sentAt     time.Duration
	attributes []uint64
	cleared    []uint64
	refuted    bool
}

// survival is when the latest of this process's requests with an attribute was sent whose
// upstream survived the response; 0 if only peers had one. Told is true once peers know
// that there was one.
type survival struct {
	sentAt time.Duration
	told   bool
}

const (
	// limit is the number of crashes in a row from which an attribute is blamed, and
	// survivorLimit that for an attribute which an upstream survived before.
	limit         = 3
	survivorLimit = 4
	// SurvivalTime is how long after its begin a response shows that it does not crash
	// its upstream.
	SurvivalTime = time.Second
	// blameTime is how long requests with an attribute are rejected after its latest
	// crash. The crashes count for memoryTime, so that one more crash later is enough.
	blameTime  = 5 * time.Minute
	memoryTime = 30 * time.Minute
	// minRemaining is the least time to its expiry for which a report is accepted: later
	// ones could pass between processes that have already forgotten them.
	minRemaining = time.Minute
	// minRestartTime is the least time in which an upstream crashes and restarts.
	// Interruptions closer to each other are the same crash.
	minRestartTime = time.Second
	// lateDataTime is how long after a crash a process may still read what the upstream
	// sent before.
	lateDataTime = 300 * time.Millisecond
	// clockError bounds the error of ages that peers report.
	clockError = 50 * time.Millisecond

	maxInterruptions = 2048
	maxSurvivals     = 8192
)

// New returns a finder without any reports.
func New() *Finder {
	return &Finder{
		interruptions:     table.New[message.RequestID, interruption](),
		evidence:          make(map[uint64][]message.RequestID),
		interrupted:       make(map[string]time.Duration),
		survivals:         table.New[uint64, survival](),
		unsharedSurvivals: table.New[uint64, message.Survival](),
		causes:            make(map[uint64]time.Duration),
	}
}

// Interrupted adds an interruption that this process saw.
func (finder *Finder) Interrupted(now time.Duration, report message.Interruption) {
	if finder.addInterruption(now, report) {
		finder.unshared.Interruptions = append(finder.unshared.Interruptions, report)
	}
}

// Merge adds the reports of a peer. If forward is true, what is new is passed on to the
// other peers.
func (finder *Finder) Merge(now time.Duration, reports message.CrashReports, forward bool) {
	for _, report := range reports.Interruptions {
		if finder.addInterruption(now, report) && forward {
			finder.unshared.Interruptions = append(finder.unshared.Interruptions, report)
		}
	}
	for _, attempt := range reports.Refuted {
		if finder.refute(now, attempt) && forward {
			finder.unshared.Refuted = append(finder.unshared.Refuted, attempt)
		}
	}
	for _, report := range reports.Survivals {
		finder.mergeSurvival(now, report, forward)
	}
}

// addInterruption adds an interruption, and returns false if it is known or too old.
func (finder *Finder) addInterruption(now time.Duration, report message.Interruption) bool {
	row, known := finder.interruptions.Get(report.Attempt)
	if row.upstream != "" || report.Upstream == "" || report.Age > memoryTime-minRemaining {
		return false
	}
	if !known {
		finder.makeRoom()
	}
	row.upstream, row.attributes = report.Upstream, report.Attributes
	row.at, row.sentAt = now-report.Age, now-report.SentAge
	finder.interruptions.Put(report.Attempt, row)
	finder.index(report.Attempt, row)
	finder.changed = true
	for _, attribute := range report.Attributes {
		finder.tellSurvival(attribute)
		if survived, ok := finder.survivals.Get(attribute); ok && survived.sentAt > row.at {
			finder.clear(attribute, []message.RequestID{report.Attempt}, true)
		}
	}
	return true
}

// index adds an interruption that is not indexed yet to the evidence against its attributes.
func (finder *Finder) index(attempt message.RequestID, row interruption) {
	if row.refuted || row.upstream == "" {
		return
	}
	finder.interrupted[row.upstream] = max(finder.interrupted[row.upstream], row.at)
	for _, attribute := range row.attributes {
		if !slices.Contains(row.cleared, attribute) {
			finder.evidence[attribute] = append(finder.evidence[attribute], attempt)
		}
	}
}

// refute records that an attempt was interrupted though its upstream did not crash. It
// returns false if that is known.
func (finder *Finder) refute(now time.Duration, attempt message.RequestID) bool {
	row := finder.row(now, attempt)
	if row.refuted {
		return false
	}
	row.refuted = true
	finder.interruptions.Put(attempt, row)
	finder.changed = true
	return true
}

// row returns the interruption, or a new one of which only the attempt is known.
func (finder *Finder) row(now time.Duration, attempt message.RequestID) interruption {
	row, known := finder.interruptions.Get(attempt)
	if !known {
		finder.makeRoom()
		row.at = now
	}
	return row
}

// Alive refutes the interruptions that the upstream cannot have caused by crashing, since
// it has just sent data.
func (finder *Finder) Alive(now time.Duration, upstream string) {
	at, found := finder.interrupted[upstream]
	if !found || now-at < lateDataTime || now-at >= minRestartTime {
		return
	}
	for _, attempt := range finder.interruptions.Keys() {
		row, _ := finder.interruptions.Get(attempt)
		since := now - row.at
		if row.upstream == upstream && since >= lateDataTime && since < minRestartTime && finder.refute(now, attempt) {
			finder.unshared.Refuted = append(finder.unshared.Refuted, attempt)
		}
	}
}

// Survived records that an upstream survived the response to a request with the
// attributes, which was sent at the given time. That clears them of the earlier crashes. It
// remembers those that other requests may share, the first shared ones.
func (finder *Finder) Survived(attributes []uint64, shared int, sentAt time.Duration) {
	for i, attribute := range attributes {
		if i < shared {
			finder.remember(attribute, sentAt)
		}
		if _, suspected := finder.evidence[attribute]; !suspected {
			continue
		}
		finder.remember(attribute, sentAt)
		finder.tellSurvival(attribute)
		var earlier []message.RequestID
		for _, attempt := range finder.evidence[attribute] {
			if row, _ := finder.interruptions.Get(attempt); row.at < sentAt {
				earlier = append(earlier, attempt)
			}
		}
		finder.clear(attribute, earlier, true)
	}
}

// mergeSurvival adds a survival that a peer reported.
func (finder *Finder) mergeSurvival(now time.Duration, report message.Survival, forward bool) {
	if _, known := finder.survivals.Get(report.Attribute); !known {
		finder.remember(report.Attribute, 0)
		if !forward {
			finder.survivals.Put(report.Attribute, survival{told: true})
		}
	}
	finder.tellSurvival(report.Attribute)
	for _, attempt := range report.Attempts {
		finder.interruptions.Put(attempt, finder.row(now, attempt))
	}
	finder.clear(report.Attribute, report.Attempts, forward)
}

// remember records that an upstream survived a request with the attribute.
func (finder *Finder) remember(attribute uint64, sentAt time.Duration) {
	row, known := finder.survivals.Get(attribute)
	if !known && finder.survivals.Len() >= maxSurvivals {
		finder.survivals.Delete(finder.survivals.Keys()[0])
	}
	row.sentAt = max(row.sentAt, sentAt)
	finder.survivals.Put(attribute, row)
}

// tellSurvival has peers told that the attribute survived at some time, once it counts
// among the attributes of an interruption.
func (finder *Finder) tellSurvival(attribute uint64) {
	row, known := finder.survivals.Get(attribute)
	if _, suspected := finder.evidence[attribute]; !known || !suspected || row.told {
		return
	}
	row.told = true
	finder.survivals.Put(attribute, row)
	finder.share(attribute, nil)
	finder.changed = true
}

// clear clears the attribute of the interruptions of the attempts.
func (finder *Finder) clear(attribute uint64, attempts []message.RequestID, share bool) {
	var cleared []message.RequestID
	for _, attempt := range attempts {
		row, known := finder.interruptions.Get(attempt)
		if !known || slices.Contains(row.cleared, attribute) {
			continue
		}
		row.cleared = append(row.cleared[:len(row.cleared):len(row.cleared)], attribute)
		finder.interruptions.Put(attempt, row)
		cleared = append(cleared, attempt)
	}
	if len(cleared) == 0 {
		return
	}
	finder.evidence[attribute] = slices.DeleteFunc(finder.evidence[attribute], func(attempt message.RequestID) bool {
		return slices.Contains(cleared, attempt)
	})
	finder.changed = true
	if share {
		finder.share(attribute, cleared)
	}
}

// share adds to what peers are told of the attribute.
func (finder *Finder) share(attribute uint64, attempts []message.RequestID) {
	report, _ := finder.unsharedSurvivals.Get(attribute)
	report.Attribute = attribute
	report.Attempts = append(report.Attempts, attempts...)
	finder.unsharedSurvivals.Put(attribute, report)
}

// Resend has the next Take return everything, for a peer that has just connected.
func (finder *Finder) Resend() {
	finder.resend = true
}

// Urgent returns whether interruptions are to be told to the peers at once.
func (finder *Finder) Urgent() bool {
	return len(finder.unshared.Interruptions) > 0
}

// Take returns the reports that peers have not been told yet, and counts them as told.
func (finder *Finder) Take(now time.Duration) message.CrashReports {
	reports := finder.unshared
	for _, attribute := range finder.unsharedSurvivals.Keys() {
		report, _ := finder.unsharedSurvivals.Get(attribute)
		reports.Survivals = append(reports.Survivals, report)
		finder.unsharedSurvivals.Delete(attribute)
	}
	finder.unshared = message.CrashReports{}
	if finder.resend {
		finder.resend = false
		return finder.all(now)
	}
	return reports
}

// all returns all interruptions, refuted ones and survivals of their attributes.
func (finder *Finder) all(now time.Duration) message.CrashReports {
	var reports message.CrashReports
	told := table.New[uint64, message.Survival]()
	for _, attempt := range finder.interruptions.Keys() {
		row, _ := finder.interruptions.Get(attempt)
		if row.refuted {
			reports.Refuted = append(reports.Refuted, attempt)
			continue
		}
		if row.upstream != "" {
			reports.Interruptions = append(reports.Interruptions, message.Interruption{
				Attempt: attempt, Upstream: row.upstream, Age: now - row.at, SentAge: now - row.sentAt, Attributes: row.attributes,
			})
		}
		for _, attribute := range row.cleared {
			report, _ := told.Get(attribute)
			told.Put(attribute, message.Survival{Attribute: attribute, Attempts: append(report.Attempts, attempt)})
		}
	}
	for _, attribute := range slices.Sorted(maps.Keys(finder.evidence)) {
		_, survived := finder.survivals.Get(attribute)
		if _, listed := told.Get(attribute); survived && !listed {
			told.Put(attribute, message.Survival{Attribute: attribute})
		}
	}
	for _, attribute := range told.Keys() {
		report, _ := told.Get(attribute)
		reports.Survivals = append(reports.Survivals, report)
	}
	return reports
}

// Cause returns whether one of the attributes is blamed for crashes, and for how long.
func (finder *Finder) Cause(now time.Duration, attributes []uint64) (time.Duration, bool) {
	if len(finder.causes) == 0 {
		return 0, false
	}
	for _, attribute := range attributes {
		if until, blamed := finder.causes[attribute]; blamed && now < until {
			return until - now, true
		}
	}
	return 0, false
}

// Changed returns whether a review is due.
func (finder *Finder) Changed() bool {
	return finder.changed
}

// makeRoom deletes the oldest interruption if there are too many.
func (finder *Finder) makeRoom() {
	if finder.interruptions.Len() >= maxInterruptions {
		finder.interruptions.Delete(finder.interruptions.Keys()[0])
	}
}
