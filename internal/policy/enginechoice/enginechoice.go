// Package enginechoice picks a model engine for a request by what the request
// would wait there and by what it would cost the streams that run there.
package enginechoice

import "time"

// Candidate is an engine as the entry believes it, with the work of all entries.
type Candidate struct {
	// Running counts requests, Batch is how many run at a time.
	Running int
	Batch   int
	// Reading counts the prompt tokens that are still to be read for others.
	Reading int
	// Urgent counts running streams with a short target between tokens.
	Urgent int
	// Unread counts the tokens of the request's own prompt that are not kept there.
	Unread int
	// Apart says that the engine is set apart for urgent streams.
	Apart bool
	// Far says that the engine is in another failure domain.
	Far bool
}

// Ask is what the choice needs to know of the request. Urgent is true for a
// stream with a short target between tokens.
type Ask struct {
	Urgent bool
	// Split says that some engines are set apart.
	Split bool
	// Within is the time left until the answer is to begin, 0 if it is late anyway
	// or has no target.
	Within time.Duration
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
func Choose(ask Ask, candidates []Candidate) int {
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
func (candidate Candidate) Cost(ask Ask) float64 {
	reading := float64(candidate.Reading) / tokensPerMs
	own := float64(candidate.Unread) / tokensPerMs
	cost := reading + readCost*own + streamCost*float64(candidate.Running)
	if ask.Within > 0 && ReadingTime(candidate.Reading+candidate.Unread) > ask.Within {
		cost += lateCost
	}
	if ask.Urgent {
		cost += readingHurts * reading
	}
	if ask.Split && ask.Urgent && !candidate.Apart {
		cost += borrowCost
	}
	if ask.Split && !ask.Urgent && candidate.Apart {
		cost += intrudeCost
	}
	if candidate.Batch > 0 && candidate.Running >= candidate.Batch {
		cost += fullCost * float64(candidate.Running-candidate.Batch+1) / float64(candidate.Batch)
	}
	if candidate.Far {
		cost += farCost
	}
	return cost
}

// ReadingTime returns how long an engine takes to read so many tokens.
func ReadingTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
}
