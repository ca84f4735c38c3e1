package crashcause

import (
	"cmp"
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/table"
)

// crash is one crash of an upstream, at the time of its first interruption.
type crash struct {
	upstream  string
	at        time.Duration
	explained bool
}

// Review finds the causes anew if a review is due. It returns those that were not blamed
// before, with the evidence, and the attributes that no longer are.
func (finder *Finder) Review(now time.Duration) (blamed []event.CrashCause, cleared []uint64) {
	if due, found := finder.ReviewDue(); !found || now < due {
		return nil, nil
	}
	finder.changed = false
	finder.reviewAt = 0
	finder.forgetExpired(now)
	causes := make(map[uint64]cause)
	for _, found := range finder.findCauses(now) {
		causes[found.Attribute] = cause{evidence: found, latest: now - found.LatestAge}
		if _, before := finder.causes[found.Attribute]; !before {
			blamed = append(blamed, found)
		}
	}
	if len(causes) > 0 {
		finder.reviewBy(now + expiryInterval)
	}
	for attribute := range finder.causes {
		if _, still := causes[attribute]; !still {
			cleared = append(cleared, attribute)
		}
	}
	finder.causes = causes
	slices.SortFunc(blamed, func(left, right event.CrashCause) int { return cmp.Compare(left.Attribute, right.Attribute) })
	slices.Sort(cleared)
	return blamed, cleared
}

// forgetExpired deletes old interruptions, and indexes the others anew.
func (finder *Finder) forgetExpired(now time.Duration) {
	finder.forgetTrials(now)
	clear(finder.evidence)
	clear(finder.interrupted)
	for _, attempt := range finder.interruptions.Keys() {
		row, _ := finder.interruptions.Get(attempt)
		if now-row.at >= memoryTime {
			finder.interruptions.Delete(attempt)
			continue
		}
		finder.index(attempt, row)
	}
}

// findCauses returns the causes. It blames the best candidate, leaves out the crashes that
// this one explains, and so on.
func (finder *Finder) findCauses(now time.Duration) []event.CrashCause {
	crashes, candidates := finder.collect(now)
	var chosen []candidate
	for {
		best, found := choose(crashes, candidates)
		if !found {
			break
		}
		chosen = append(chosen, best)
		for _, occurrence := range best.unexplained {
			crashes[occurrence.crash].explained = true
		}
	}
	var causes []event.CrashCause
	for _, cause := range withoutRedundant(chosen) {
		causes = append(causes, cause.evidence(now, crashes))
	}
	return causes
}

// collect groups the interruptions into crashes and lists those that count against each
// attribute, once they are confirmed.
func (finder *Finder) collect(now time.Duration) ([]crash, []*candidate) {
	rows := finder.unrefuted()
	crashes, indexes := groupCrashes(rows)
	crashed := crashedUpstreams(rows)
	candidates := table.New[uint64, *candidate]()
	for i, row := range rows {
		for depth, attribute := range row.attributes {
			survivors := row.survivors[attribute]
			if disproved(survivors, crashed[attribute]) {
				continue
			}
			listed, ok := candidates.Get(attribute)
			if !ok {
				listed = finder.newCandidate(attribute, depth)
				candidates.Put(attribute, listed)
			}
			if confirmedAt := row.at + listed.confirmationTime(); now < confirmedAt {
				finder.reviewBy(confirmedAt)
				continue
			}
			listed.add(indexes[i], row.sentAt, survivors)
		}
	}
	var list []*candidate
	for _, attribute := range candidates.Keys() {
		if listed, _ := candidates.Get(attribute); len(listed.crashes) >= limit {
			list = append(list, listed)
		}
	}
	return crashes, list
}

// groupCrashes groups interruptions into crashes, and returns the index of the crash for
// each interruption. What an upstream breaks off before it can have restarted belongs to the
// same crash.
func groupCrashes(rows []interruption) (crashes []crash, indexes []int) {
	current := make(map[string]int)
	latest := make(map[string]time.Duration)
	for _, row := range rows {
		index, found := current[row.upstream]
		if !found || row.at-latest[row.upstream] >= MinRestartTime {
			index = len(crashes)
			current[row.upstream] = index
			crashes = append(crashes, crash{upstream: row.upstream, at: row.at})
		}
		latest[row.upstream] = row.at
		indexes = append(indexes, index)
	}
	return crashes, indexes
}

// crashedUpstreams returns the upstreams that crashed under each attribute.
func crashedUpstreams(rows []interruption) map[uint64]map[string]bool {
	crashed := make(map[uint64]map[string]bool)
	for _, row := range rows {
		for _, attribute := range row.attributes {
			if crashed[attribute] == nil {
				crashed[attribute] = make(map[string]bool)
			}
			crashed[attribute][row.upstream] = true
		}
	}
	return crashed
}

// disproved returns whether the survivors show that a crash had another cause than the
// attribute: one of them also crashed under it, or they are many. Others may be upstreams
// that the attribute never crashes. A peer of an earlier version names no upstream.
func disproved(survivors []string, crashed map[string]bool) bool {
	return len(survivors) >= maxSurvivors || slices.ContainsFunc(survivors, func(upstream string) bool { return upstream == "" || crashed[upstream] })
}

// unrefuted returns the interruptions that may be crashes, in order of time.
func (finder *Finder) unrefuted() []interruption {
	var rows []interruption
	for _, attempt := range finder.interruptions.Keys() {
		if row, _ := finder.interruptions.Get(attempt); !row.refuted && row.upstream != "" {
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(left, right interruption) int { return cmp.Compare(left.at, right.at) })
	return rows
}

// inARow counts the crashes that followed each other: each under a request that was sent
// after the one before. Upstreams that fail at the same time, with a rack or a link, count
// as one.
func inARow(crashes []crash, occurrences []occurrence) int {
	count := 0
	var before time.Duration
	for _, occurrence := range occurrences {
		at := crashes[occurrence.crash].at
		if count == 0 || occurrence.sentAt+clockError > before && at > before+clockError {
			count++
			before = at
		}
	}
	return count
}

// choose returns the best candidate for a cause of the crashes that are not explained yet.
// One has to have the crashes in a row that blame it; others may be better.
func choose(crashes []crash, candidates []*candidate) (best candidate, found bool) {
	var possible, likely []candidate
	for _, listed := range candidates {
		left := listed.leaveOutExplained(crashes)
		count := inARow(crashes, left.unexplained)
		if survived := len(left.survivors); survived > 0 && min(count, left.crashedUpstreams(crashes)) <= survived {
			continue
		}
		possible = append(possible, left)
		if count >= left.crashLimit() {
			likely = append(likely, left)
		}
	}
	if len(likely) == 0 {
		return candidate{}, false
	}
	slices.SortStableFunc(possible, byCrashes)
	best = slices.MinFunc(likely, byCrashes)
	for _, other := range possible {
		if other.better(best) {
			best = other
		}
	}
	return best, true
}

// withoutRedundant leaves out causes of whose crashes each is also explained by another
// cause.
func withoutRedundant(causes []candidate) []candidate {
	slices.SortStableFunc(causes, func(left, right candidate) int { return cmp.Compare(len(left.crashes), len(right.crashes)) })
	var kept []candidate
	for i, cause := range causes {
		others := slices.Concat(kept, causes[i+1:])
		redundant := !slices.ContainsFunc(cause.crashes, func(occurrence occurrence) bool {
			return !slices.ContainsFunc(others, func(other candidate) bool { return other.has(occurrence.crash) })
		})
		if !redundant {
			kept = append(kept, cause)
		}
	}
	return kept
}
