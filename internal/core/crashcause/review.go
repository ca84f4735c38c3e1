package crashcause

import (
	"cmp"
	"slices"
	"time"

	"endivepost/internal/data/table"
)

// crash is one crash of an upstream, at the time of its first interruption.
type crash struct {
	at        time.Duration
	explained bool
}

// candidate is an attribute that may be the cause of crashes. Depth is its place among the
// attributes of a request: the higher, the fewer requests share it. Crashes are those since
// the last survival, in their order, unexplained those that no chosen cause explains.
type candidate struct {
	attribute   uint64
	depth       int
	survived    bool
	crashes     []occurrence
	unexplained []occurrence
}

// occurrence is the index of a crash at which requests with an attribute were in flight,
// and the time at which the latest of them had been sent.
type occurrence struct {
	crash  int
	sentAt time.Duration
}

// Review finds the causes anew if something was reported since the last review. It returns
// the attributes that were not blamed before and those that no longer are.
func (finder *Finder) Review(now time.Duration) (blamed, cleared []uint64) {
	if !finder.changed {
		return nil, nil
	}
	finder.changed = false
	finder.forgetExpired(now)
	causes := finder.findCauses()
	for attribute := range causes {
		if _, before := finder.causes[attribute]; !before {
			blamed = append(blamed, attribute)
		}
	}
	for attribute := range finder.causes {
		if _, still := causes[attribute]; !still {
			cleared = append(cleared, attribute)
		}
	}
	finder.causes = causes
	slices.Sort(blamed)
	slices.Sort(cleared)
	return blamed, cleared
}

// forgetExpired deletes old interruptions, and indexes the others anew.
func (finder *Finder) forgetExpired(now time.Duration) {
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

// findCauses returns when the blame of each cause ends. It blames the best candidate,
// leaves out the crashes that this one explains, and so on.
func (finder *Finder) findCauses() map[uint64]time.Duration {
	causes := make(map[uint64]time.Duration)
	crashes, candidates := finder.collect()
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
	for _, cause := range withoutRedundant(chosen) {
		last := cause.crashes[len(cause.crashes)-1]
		causes[cause.attribute] = crashes[last.crash].at + blameTime
	}
	return causes
}

// collect groups the interruptions into crashes and lists the crashes of each attribute
// since it last survived.
func (finder *Finder) collect() ([]crash, []*candidate) {
	rows := finder.unrefuted()
	var crashes []crash
	current := make(map[string]int)
	candidates := table.New[uint64, *candidate]()
	for _, row := range rows {
		index, found := current[row.upstream]
		if !found || row.at-crashes[index].at >= minRestartTime {
			index = len(crashes)
			current[row.upstream] = index
			crashes = append(crashes, crash{at: row.at})
		}
		for depth, attribute := range row.attributes {
			if slices.Contains(row.cleared, attribute) {
				continue
			}
			listed, ok := candidates.Get(attribute)
			if !ok {
				_, survived := finder.survivals.Get(attribute)
				listed = &candidate{attribute: attribute, depth: depth, survived: survived}
				candidates.Put(attribute, listed)
			}
			listed.add(index, row.sentAt)
		}
	}
	var list []*candidate
	for _, attribute := range candidates.Keys() {
		listed, _ := candidates.Get(attribute)
		if len(listed.crashes) >= limit {
			list = append(list, listed)
		}
	}
	return crashes, list
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

// add adds a crash at which a request with the attribute was in flight.
func (candidate *candidate) add(crash int, sentAt time.Duration) {
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

// choose returns the best candidate for a cause of the crashes that are not explained yet:
// the one with most of them, or one with nearly as many that is more specific.
func choose(crashes []crash, candidates []*candidate) (best candidate, found bool) {
	var likely []candidate
	for _, listed := range candidates {
		if left := listed.leaveOutExplained(crashes); inARow(crashes, left.unexplained) >= left.crashLimit() {
			likely = append(likely, left)
		}
	}
	if len(likely) == 0 {
		return candidate{}, false
	}
	slices.SortStableFunc(likely, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(len(right.unexplained), len(left.unexplained)), cmp.Compare(left.attribute, right.attribute))
	})
	best = likely[0]
	for _, other := range likely[1:] {
		if moreSpecific(other, best) && explainsMost(other, best) {
			best = other
		}
	}
	return best, true
}

// crashLimit returns from how many crashes in a row the attribute is blamed.
func (candidate candidate) crashLimit() int {
	if candidate.survived {
		return survivorLimit
	}
	return limit
}

// moreSpecific returns whether the candidate is less likely than the other to affect sound
// requests: it never survived and the other one did, or fewer requests share it.
func moreSpecific(candidate, other candidate) bool {
	if candidate.survived != other.survived {
		return other.survived
	}
	return candidate.depth > other.depth
}

// explainsMost returns whether three quarters or more of the crashes of the other
// candidate are also those of this one.
func explainsMost(candidate, other candidate) bool {
	const numerator, denominator = 3, 4
	common := 0
	for _, occurrence := range other.unexplained {
		if candidate.has(occurrence.crash) {
			common++
		}
	}
	return denominator*common >= numerator*len(other.unexplained)
}

func (candidate candidate) has(crash int) bool {
	return slices.ContainsFunc(candidate.crashes, func(occurrence occurrence) bool { return occurrence.crash == crash })
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
