package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endivepost/internal/core/event"
)

// candidate is an attribute that may be the cause of crashes. Depth is its place among the
// attributes of a request: the higher, the fewer requests share it. Crashes are those that
// count against it, in their order, unexplained those that no chosen cause explains.
// Survived is the number of upstreams that survived it at any time, survivors are those
// that did so since the first of the crashes.
type candidate struct {
	attribute   uint64
	depth       int
	survived    int
	survivors   map[string]bool
	crashes     []occurrence
	unexplained []occurrence
	// interruptions counts the requests with the attribute that the crashes broke off.
	interruptions int
}

// occurrence is the index of a crash at which requests with an attribute were in flight,
// and the time at which the latest of them had been sent.
type occurrence struct {
	crash  int
	sentAt time.Duration
}

// mostNumerator of mostDenominator crashes are most of them.
const mostNumerator, mostDenominator = 3, 4

// newCandidate returns a candidate without any crashes.
func (finder *Finder) newCandidate(attribute uint64, depth int) *candidate {
	survivals, _ := finder.survivals.Get(attribute)
	return &candidate{attribute: attribute, depth: depth, survived: len(survivals), survivors: make(map[string]bool)}
}

// add adds a crash at which a request with the attribute was in flight, and the upstreams
// that survived the attribute since.
func (candidate *candidate) add(crash int, sentAt time.Duration, survivors []string) {
	candidate.interruptions++
	for _, upstream := range survivors {
		candidate.survivors[upstream] = true
	}
	for i, known := range candidate.crashes {
		if known.crash == crash {
			candidate.crashes[i].sentAt = max(known.sentAt, sentAt)
			return
		}
	}
	candidate.crashes = append(candidate.crashes, occurrence{crash: crash, sentAt: sentAt})
}

// leaveOutExplained returns the candidate without the crashes that a cause explains.
func (candidate candidate) leaveOutExplained(crashes []crash) candidate {
	candidate.unexplained = nil
	for _, occurrence := range candidate.crashes {
		if !crashes[occurrence.crash].explained {
			candidate.unexplained = append(candidate.unexplained, occurrence)
		}
	}
	return candidate
}

// confirmationTime returns how long after a crash it counts against the attribute. If sound
// requests share it, it must be known which upstreams survived those sent after the crash. If
// any upstream survived it, all processes must have reported what the crash broke off:
// another attribute may explain it.
func (candidate candidate) confirmationTime() time.Duration {
	switch {
	case candidate.sharedBySound():
		return survivalReportTime
	case candidate.survived > 0:
		return crashReportTime
	}
	return 0
}

// crashedUpstreams counts the upstreams of the unexplained crashes. Repeated crashes of one
// speak against that upstream rather than against what it runs.
func (candidate candidate) crashedUpstreams(crashes []crash) int {
	crashed := make(map[string]bool)
	for _, occurrence := range candidate.unexplained {
		crashed[crashes[occurrence.crash].upstream] = true
	}
	return len(crashed)
}

// crashLimit returns from how many crashes in a row the attribute is blamed.
func (candidate candidate) crashLimit() int {
	if candidate.survived > 0 {
		return survivorLimit
	}
	return limit
}

// better returns whether the candidate is the better cause of the other's crashes. In place
// of an attribute that sound requests share, it is one that is more specific and has most
// of the crashes. Else it has all of them, and more, or it is more specific, or fewer upstreams
// survived it at some time.
func (candidate candidate) better(other candidate) bool {
	deeper := candidate.depth > other.depth
	common := candidate.common(other)
	if other.sharedBySound() {
		return (deeper || !candidate.sharedBySound()) && mostDenominator*common >= mostNumerator*len(other.unexplained)
	}
	more := len(candidate.unexplained) > len(other.unexplained)
	purer := candidate.survived < other.survived
	return !candidate.sharedBySound() && common == len(other.unexplained) && (more || deeper && candidate.survived <= other.survived || purer)
}

// sharedBySound returns whether as many upstreams survived the attribute at some time as
// have to crash before an unknown one is blamed.
func (candidate candidate) sharedBySound() bool {
	return candidate.survived >= limit
}

// common counts the unexplained crashes of the other candidate that are also those of this
// one.
func (candidate candidate) common(other candidate) int {
	count := 0
	for _, occurrence := range other.unexplained {
		if candidate.has(occurrence.crash) {
			count++
		}
	}
	return count
}

func (candidate candidate) has(crash int) bool {
	return slices.ContainsFunc(candidate.crashes, func(occurrence occurrence) bool { return occurrence.crash == crash })
}

// evidence returns what speaks for and against the cause.
func (candidate candidate) evidence(now time.Duration, crashes []crash) event.CrashCause {
	crashed := make(map[string]bool)
	for _, occurrence := range candidate.crashes {
		crashed[crashes[occurrence.crash].upstream] = true
	}
	first, last := candidate.crashes[0], candidate.crashes[len(candidate.crashes)-1]
	return event.CrashCause{
		Attribute: candidate.attribute, Crashes: len(candidate.crashes), Interruptions: candidate.interruptions,
		Crashed: slices.Sorted(maps.Keys(crashed)), Survivors: slices.Sorted(maps.Keys(candidate.survivors)), SurvivedBefore: candidate.survived,
		FirstAge: now - crashes[first.crash].at, LatestAge: now - crashes[last.crash].at,
	}
}

// byCrashes orders candidates by their unexplained crashes, most of them first, then by the
// upstreams that survived them at some time.
func byCrashes(left, right candidate) int {
	return cmp.Or(cmp.Compare(len(right.unexplained), len(left.unexplained)), cmp.Compare(left.survived, right.survived),
		cmp.Compare(left.attribute, right.attribute))
}
