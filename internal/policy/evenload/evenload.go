// Package evenload picks an upstream by figures that are old and by which other processes
// choose too. The least loaded one of such figures is overrun until the next figures show it.
// So the choice is random, and its probabilities even out the costs after the requests that
// the figures do not contain yet (Dahlin, "Interpreting Stale Load Information", 2000).
package evenload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is an upstream. Cost is the cost of the request there by the figures, Step is by
// how much one more such request would raise it for the next.
type Candidate struct {
	Cost float64
	Step float64
}

// Figures tells what the costs are computed from. Age is the mean age of what is known of the
// other entries, Entries the number of entries that choose by such figures, this one included,
// and PerSecond the requests that all of them send.
type Figures struct {
	Age       time.Duration
	Entries   int
	PerSecond float64
}

const (
	// minStep keeps the share of an upstream finite whose cost does not rise with its load.
	minStep = 0.001
	// maxUnseen bounds the requests that are assumed to be missing in the figures.
	maxUnseen = 1e6
)

// Unseen returns how many requests of other entries the figures do not contain yet.
func (figures Figures) Unseen() float64 {
	if figures.Entries < 2 || figures.Age <= 0 || !(figures.PerSecond > 0) {
		return 0
	}
	others := float64(figures.Entries-1) / float64(figures.Entries)
	return min(figures.PerSecond*others*figures.Age.Seconds(), maxUnseen)
}

// Choose returns the index of the upstream to send the request to, -1 without candidates. It is
// the first one of the lowest cost if the figures lack nothing. Otherwise the requests that
// they lack are taken to raise the lowest costs to one level, and the probability of an upstream
// is its part of them. An upstream whose cost is above that level is not chosen, such as one
// that would have to prefill a prefix again at a cost above that of waiting.
func Choose(random *rand.Rand, figures Figures, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(left, right int) int { return cmp.Compare(candidates[left].Cost, candidates[right].Cost) })
	unseen := figures.Unseen()
	if unseen == 0 {
		return order[0]
	}
	level := levelAfter(unseen, order, candidates)
	drawn := random.Float64() * unseen
	for _, i := range order {
		share := (level - candidates[i].Cost) / candidates[i].step()
		if !(share > 0) {
			break
		}
		if drawn -= share; drawn < 0 {
			return i
		}
	}
	return order[0]
}

// levelAfter returns the cost to which the requests raise the cheapest candidates, if each goes
// to the cheapest at its time. The order is by cost.
func levelAfter(requests float64, order []int, candidates []Candidate) float64 {
	perCost, used, level := 0.0, 0.0, math.Inf(1)
	for _, i := range order {
		if candidates[i].Cost >= level {
			break
		}
		perCost += 1 / candidates[i].step()
		used += candidates[i].Cost / candidates[i].step()
		level = (requests + used) / perCost
	}
	return level
}

func (candidate Candidate) step() float64 {
	return max(candidate.Step, minStep)
}
