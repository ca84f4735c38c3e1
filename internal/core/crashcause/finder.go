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

	"endivepost/internal/core/event"
	"endivepost/internal/data/table"
	"endivepost/internal/wire/message"
)

// Finder collects the interruptions and survivals that this process and its peers saw. Its
// state is bounded and expires. Reports name interruptions by their attempts, so that late
// or repeated ones do no harm.
type Finder struct {
	interruptions *table.Table[message.RequestID, interruption]
	// evidence has the attempts of the interruptions of an attribute, and interrupted the
	// time of the latest interruption by upstream.
	evidence    map[uint64][]message.RequestID
	interrupted map[string]time.Duration
	survivals   *table.Table[uint64, []survival]
	// unshared and unsharedSurvivals are the reports that peers have not been told yet, and
	// resend is true if they are to be told everything.
	unshared          message.CrashReports
	unsharedSurvivals survivalReports
	resend            bool
	// causes are the blamed attributes, trials the requests that were sent nevertheless.
	causes map[uint64]cause
	trials *table.Table[uint64, []trial]
	// changed is true if something was reported since the last review. Otherwise the next one
	// is due at reviewAt, when a crash begins to count or may no longer; 0 for never.
	changed  bool
	reviewAt time.Duration
}

// cause is the evidence against a blamed attribute, and when its latest crash was.
type cause struct {
	evidence event.CrashCause
	latest   time.Duration
}

// interruption is a response that an upstream broke off. It is refuted if the upstream
// turned out not to have crashed. Survivors are, by attribute, the upstreams that survived a
// request sent later. A row without an upstream is one of which only these are known yet.
type interruption struct {
	upstream   string
	at         time.Duration
	sentAt     time.Duration
	attributes []uint64
	survivors  map[uint64][]string
	refuted    bool
}

const (
	// limit is the number of crashes in a row from which an attribute is blamed, and
	// survivorLimit that for an attribute which an upstream survived at some time.
	limit         = 3
	survivorLimit = 4
	// SurvivalTime is how long after its begin a response shows that it does not crash
	// its upstream.
	SurvivalTime = time.Second
	// crashReportTime is how long after a crash all processes know what it broke off,
	// survivalReportTime how long until they know which upstreams survived the requests that
	// were sent after it.
	crashReportTime    = 200 * time.Millisecond
	survivalReportTime = SurvivalTime + 500*time.Millisecond
	// memoryTime is how long crashes count.
	memoryTime = 30 * time.Minute
	// expiryInterval is how often it is checked whether the crashes of a cause still count.
	expiryInterval = time.Minute
	// minRemaining is the least time to its expiry for which a report is accepted: later
	// ones could pass between processes that have already forgotten them.
	minRemaining = time.Minute
	// MinRestartTime is the least time in which an upstream crashes and restarts.
	// Interruptions closer to each other are the same crash.
	MinRestartTime = time.Second
	// LateDataTime is how long after a crash a process may still read what the upstream
	// sent before.
	LateDataTime = 300 * time.Millisecond
	// clockError bounds the error of ages that peers report.
	clockError = 50 * time.Millisecond

	maxInterruptions = 2048
)

// New returns a finder without any reports.
func New() *Finder {
	return &Finder{
		interruptions:     table.New[message.RequestID, interruption](),
		evidence:          make(map[uint64][]message.RequestID),
		interrupted:       make(map[string]time.Duration),
		survivals:         table.New[uint64, []survival](),
		unsharedSurvivals: newSurvivalReports(),
		causes:            make(map[uint64]cause),
		trials:            table.New[uint64, []trial](),
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
	for _, report := range reports.Trials {
		finder.addTrial(now, report, forward)
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
		finder.tellSurvivals(attribute)
		survivals, _ := finder.survivals.Get(attribute)
		for _, survival := range survivals {
			if survival.sentAt > row.at {
				finder.addSurvivor(survivor{attribute: attribute, upstream: survival.upstream}, []message.RequestID{report.Attempt}, true)
			}
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
		finder.evidence[attribute] = append(finder.evidence[attribute], attempt)
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
	if !found || now-at < LateDataTime || now-at >= MinRestartTime {
		return
	}
	for _, attempt := range finder.interruptions.Keys() {
		row, _ := finder.interruptions.Get(attempt)
		since := now - row.at
		if row.upstream == upstream && since >= LateDataTime && since < MinRestartTime && finder.refute(now, attempt) {
			finder.unshared.Refuted = append(finder.unshared.Refuted, attempt)
		}
	}
}

// Resend has the next Take return everything, for a peer that has just connected.
func (finder *Finder) Resend() {
	finder.resend = true
}

// Urgent returns whether interruptions or trials are to be told to the peers at once.
func (finder *Finder) Urgent() bool {
	return len(finder.unshared.Interruptions) > 0 || len(finder.unshared.Trials) > 0
}

// Take returns the reports that peers have not been told yet, and counts them as told.
func (finder *Finder) Take(now time.Duration) message.CrashReports {
	reports := finder.unshared
	reports.Survivals = finder.unsharedSurvivals.take()
	finder.unshared = message.CrashReports{}
	if finder.resend {
		finder.resend = false
		return finder.All(now)
	}
	return reports
}

// All returns all interruptions, refuted ones and survivals of their attributes.
func (finder *Finder) All(now time.Duration) message.CrashReports {
	var reports message.CrashReports
	survivals := newSurvivalReports()
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
		for _, attribute := range slices.Sorted(maps.Keys(row.survivors)) {
			for _, upstream := range row.survivors[attribute] {
				survivals.add(survivor{attribute: attribute, upstream: upstream}, attempt)
			}
		}
	}
	for _, attribute := range slices.Sorted(maps.Keys(finder.evidence)) {
		known, _ := finder.survivals.Get(attribute)
		for _, survival := range known {
			survivals.add(survivor{attribute: attribute, upstream: survival.upstream})
		}
	}
	reports.Survivals = survivals.take()
	reports.Trials = finder.allTrials(now)
	return reports
}

// ReviewDue returns when the next review is due, if there is anything to review.
func (finder *Finder) ReviewDue() (due time.Duration, found bool) {
	if finder.changed {
		return 0, true
	}
	return finder.reviewAt, finder.reviewAt > 0
}

// reviewBy has a review be due at the time, if none is before.
func (finder *Finder) reviewBy(due time.Duration) {
	if finder.reviewAt == 0 || due < finder.reviewAt {
		finder.reviewAt = due
	}
}

// makeRoom deletes the oldest interruption if there are too many.
func (finder *Finder) makeRoom() {
	if finder.interruptions.Len() >= maxInterruptions {
		finder.interruptions.DeleteOldest()
	}
}
