// Package enginechoice picks a model engine for a request by what the request
// would wait there and by what it would cost the streams that run there.
package enginechoice

import "time"

// Candidate is an engine as the entry believes it, with the work of all entries.
type Candidate struct {
	// Running counts requests, Batch is how many run at a time.
	Running int
	Batch   int
	// PrefillTokens counts the prompt tokens that are still to be read for others.
	PrefillTokens int
	// LatencySensitive counts running streams with a short target between tokens.
	LatencySensitive int
	// UncachedTokens counts the tokens of the request's own prompt that are not kept there.
	UncachedTokens int
	// Dedicated says that the engine is set apart for urgent streams.
	Dedicated bool
	// Remote says that the engine is in another failure domain.
	Remote bool
}

// Request is what the choice needs to know of the request. Urgent is true for a
// stream with a short target between tokens.
type Request struct {
	LatencySensitive bool
	// HasDedicated says that some engines are set apart.
	HasDedicated bool
	// FirstTokenBudget is the time left until the answer is to begin, 0 if it is late anyway
	// or has no target.
	FirstTokenBudget time.Duration
}

const (
	// tokensPerMs is how fast an engine reads prompts, for engines that do not
	// publish it; only the proportion to the other costs matters.
	tokensPerMs = 60.0
	// streamCost is what a running stream adds to each step of the others, in ms
	// over the length of an answer.
	streamCost = 2.0
	// readingHurts weighs a millisecond of reading that delays an urgent stream.
	readingHurts = 3.0
	// readCost weighs a millisecond of reading for the request itself: it also
	// delays all who read and stream there.
	readCost = 20.0
	// lateCost is for an answer that is predicted to begin late, in ms: more than
	// to read the prefix of a short prompt again, less than that of a long one.
	lateCost = 3000.0
	// borrowCost is what an urgent stream risks among long prompts, in ms, and
	// intrudeCost what a long prompt costs the urgent streams that it joins: more
	// than it can gain there.
	borrowCost  = 150.0
	intrudeCost = 12000.0
	// fullCost is the wait for a place in a full batch, in ms.
	fullCost = 400.0
	// farCost is the time for a hop between failure domains, in ms.
	farCost = 3.0
)

// Choose returns the index of the cheapest candidate, the first of equals, and
// -1 without candidates. It answers three load patterns: long prompts that arrive
// in a burst and delay the tokens of all streams beside them, prompts with a common
// prefix that are read again wherever they have not run before, and short prompts
// whose first token would be late behind long ones where their prefix is kept.
func Choose(ask Request, candidates []Candidate) int {
	best := -1
	least := 0.0
	for i, candidate := range candidates {
		cost := candidate.Cost(ask)
		if best < 0 || cost < least {
			best = i
			least = cost
		}
	}
	return best
}

// Cost returns the cost of the candidate for the request, in ms.
func (candidate Candidate) Cost(ask Request) float64 {
	reading := float64(candidate.PrefillTokens) / tokensPerMs
	own := float64(candidate.UncachedTokens) / tokensPerMs
	cost := reading + readCost*own + streamCost*float64(candidate.Running)
	if ask.FirstTokenBudget > 0 && PrefillTime(candidate.PrefillTokens+candidate.UncachedTokens) > ask.FirstTokenBudget {
		cost += lateCost
	}
	if ask.LatencySensitive {
		cost += readingHurts * reading
	}
	if ask.HasDedicated && ask.LatencySensitive && !candidate.Dedicated {
		cost += borrowCost
	}
	if ask.HasDedicated && !ask.LatencySensitive && candidate.Dedicated {
		cost += intrudeCost
	}
	if candidate.Batch > 0 && candidate.Running >= candidate.Batch {
		cost += fullCost * float64(candidate.Running-candidate.Batch+1) / float64(candidate.Batch)
	}
	if candidate.Remote {
		cost += farCost
	}
	return cost
}

// PrefillTime returns how long an engine takes to read so many tokens.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
}
