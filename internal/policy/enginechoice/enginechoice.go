// Package enginechoice picks the model engine of a pool on which a request costs
// least: its own wait there, plus the delay that it causes to the streams running
// there.
package enginechoice

import "time"

// Candidate is an engine with its load from all entries, as far as this entry
// knows.
type Candidate struct {
	// Running is the number of running requests, Batch the number that the engine
	// runs at a time, 0 if unknown.
	Running int
	Batch   int
	// PrefillTokens is the number of prompt tokens of other requests that the
	// engine has not processed yet.
	PrefillTokens int
	// LatencySensitive is the number of running streams with a short target for the
	// inter-token latency. Cost does not use it.
	LatencySensitive int
	// UncachedTokens is the number of tokens of the request's own prompt that the
	// engine has not cached.
	UncachedTokens int
	// Dedicated is set if the engine is dedicated to latency-sensitive streams.
	Dedicated bool
	// Remote is set if the engine is in another failure domain.
	Remote bool
	// Cold is set if the engine has just started: it is slow.
	Cold bool
	// Slowdown is the factor by which work is expected to take longer than assumed, and
	// Slow a factor that is seldom exceeded; 0 if unknown.
	Slowdown float64
	Slow     float64
}

// Request is the part of a request that the cost depends on. LatencySensitive is
// set for a stream with a short target for the inter-token latency.
type Request struct {
	LatencySensitive bool
	// HasDedicated is set if some engines of the pool are dedicated.
	HasDedicated bool
	// FirstTokenBudget is the time left until the target for the first token; 0 if
	// the target is already missed or there is none.
	FirstTokenBudget time.Duration
	// BetweenEvents is the target for the time between two events, 0 for none, and
	// TokensPerEvent the number of tokens in an event.
	BetweenEvents  time.Duration
	TokensPerEvent int
}

const (
	// prefillTokensPerMs is the prefill rate assumed of every engine; it is not read
	// from the engines. In the weights below only its proportion to the other costs
	// matters. PrefillTime depends on its absolute value.
	prefillTokensPerMs = 60.0
	// runningStreamCostMs is the time that a running stream adds to the decode steps
	// of the others over the length of a response.
	runningStreamCostMs = 2.0
	// interferenceWeight weighs a millisecond of other requests' prefill that delays
	// a latency-sensitive stream.
	interferenceWeight = 3.0
	// ownPrefillWeight weighs a millisecond of the request's own prefill, which also
	// delays all requests that prefill and decode on the engine. For a long prompt it is a
	// millisecond at the assumed rate on any engine: otherwise prompts would leave the slow
	// engines that have their prefixes cached, and be prefilled again.
	ownPrefillWeight = 20.0
	// missedTargetCostMs is the cost of a first token that is predicted to miss its
	// target. It is more than the cost of prefilling the prefix of a short prompt
	// again and less than that of a long one.
	missedTargetCostMs = 3000.0
	// lateEventsCostMs is the cost to a stream of an engine on which its events are expected to
	// miss their target. It is less than that of prefilling the prefix of a long prompt again.
	lateEventsCostMs = 2000.0
	// stepMs is the time of a decode step without prefill, and prefillChunk the number of
	// prompt tokens that are prefilled between two steps at most, on an engine of usual speed.
	stepMs       = 4.6
	prefillChunk = 2048
	// dedicatedChunks is the number of chunks that a dedicated engine prefills during an event:
	// the prompts of other latency-sensitive streams.
	dedicatedChunks = 2
	// generalEngineCostMs is the cost of placing a latency-sensitive stream among
	// long prompts, on an engine that is not dedicated. dedicatedEngineCostMs is the
	// cost of any other request to the streams of a dedicated engine. It exceeds what
	// a long prompt can gain there.
	generalEngineCostMs   = 150.0
	dedicatedEngineCostMs = 12000.0
	// fullBatchCostMs is the time in which an engine completes as many requests as its
	// batch holds. On a full engine, a request waits until all requests above the batch
	// and one more have ended.
	fullBatchCostMs = 400.0
	// remoteCostMs is the time for a hop between failure domains.
	remoteCostMs = 3.0
	// coldCostMs is the time that a cold engine takes longer for a request. Another one is
	// chosen unless it is overloaded.
	coldCostMs = 200.0
)

// Choose returns the index of the candidate with the lowest cost, the first one
// among equals, and -1 without candidates. The costs handle three load patterns:
// bursts of long prompts that delay the tokens of all streams on the same engine,
// prompts with a common prefix that every engine without a cached copy prefills
// again, and short prompts whose first token would miss its target behind long
// prompts on the engine that has their prefix cached.
func Choose(request Request, candidates []Candidate) int {
	best := -1
	lowest := 0.0
	for i, candidate := range candidates {
		cost := candidate.Cost(request)
		if best < 0 || cost < lowest {
			best = i
			lowest = cost
		}
	}
	return best
}

// Cost returns the cost of running the request on the candidate, in ms.
func (candidate Candidate) Cost(request Request) float64 {
	slowdown := candidate.slowdown()
	prefill := float64(candidate.PrefillTokens) / prefillTokensPerMs * slowdown
	ownPrefill := float64(candidate.UncachedTokens) / prefillTokensPerMs
	if request.LatencySensitive {
		ownPrefill *= slowdown
	}
	cost := prefill + ownPrefillWeight*ownPrefill + runningStreamCostMs*float64(candidate.Running)*slowdown
	if request.FirstTokenBudget > 0 && SlowedPrefillTime(candidate.PrefillTokens+candidate.UncachedTokens, slowdown) > request.FirstTokenBudget {
		cost += missedTargetCostMs
	}
	if request.LatencySensitive {
		cost += interferenceWeight * prefill
	}
	if candidate.missesEvents(request) {
		cost += lateEventsCostMs
	}
	if request.HasDedicated && request.LatencySensitive && !candidate.Dedicated {
		cost += generalEngineCostMs
	}
	if request.HasDedicated && !request.LatencySensitive && candidate.Dedicated {
		cost += dedicatedEngineCostMs
	}
	if candidate.Batch > 0 && candidate.Running >= candidate.Batch {
		cost += fullBatchCostMs * slowdown * float64(candidate.Running-candidate.Batch+1) / float64(candidate.Batch)
	}
	if candidate.Remote {
		cost += remoteCostMs
	}
	if candidate.Cold {
		cost += coldCostMs
	}
	return cost
}

func (candidate Candidate) slowdown() float64 {
	if candidate.Slowdown == 0 {
		return 1
	}
	return candidate.Slowdown
}

// missesEvents returns whether the events of the stream would be late on the candidate while
// it is slow. Without an estimate of that they are not expected to be. A dedicated engine
// prefills dedicatedChunks during an event. The others prefill long prompts, also ones that
// come later, and so take a chunk between any two steps.
func (candidate Candidate) missesEvents(request Request) bool {
	if candidate.Slow == 0 || request.BetweenEvents == 0 {
		return false
	}
	tokens := float64(max(request.TokensPerEvent, 1))
	beside := tokens * prefillChunk
	if candidate.Dedicated {
		beside = dedicatedChunks * prefillChunk
	}
	gap := (tokens*stepMs + beside/prefillTokensPerMs) * candidate.Slow
	return gap > float64(request.BetweenEvents)/float64(time.Millisecond)
}

// SlowedPrefillTime returns PrefillTime on an engine where work takes longer by the slowdown.
func SlowedPrefillTime(tokens int, slowdown float64) time.Duration {
	return time.Duration(float64(PrefillTime(tokens)) * slowdown)
}

// Step returns by how much one request that was sent there within the age raises the cost of
// the next like it, on average: its prefill may have ended since.
func (candidate Candidate) Step(request Request, age time.Duration) float64 {
	cost := candidate.Cost(request)
	running, prefill := candidate, candidate
	running.Running++
	prefill.PrefillTokens += candidate.UncachedTokens
	pending := PrefillTime(prefill.PrefillTokens)
	share := 1.0
	if pending < age {
		share = float64(pending) / float64(age)
	}
	return running.Cost(request) - cost + share*(prefill.Cost(request)-cost)
}

// PrefillTime returns the estimated time in which an engine prefills the tokens, at
// prefillTokensPerMs.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
}
