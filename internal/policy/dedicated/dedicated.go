// Package dedicated sizes the part of an engine pool that is dedicated to
// latency-sensitive streams, those with a short target between tokens.
package dedicated

import "time"

// Sizer computes how many engines the latency-sensitive streams need. An engine
// prefills a prompt in chunks between the decode steps of its streams, so long
// prompts delay the tokens of the streams beside them. Both are therefore kept on
// different engines as far as there are enough.
type Sizer struct {
	size        int
	shrinkAfter time.Duration
}

// Load is the load of the pool from all entries: the number of running
// latency-sensitive streams and the number of engines.
type Load struct {
	LatencySensitive int
	Engines          int
}

const (
	// streamsPerEngine is the number of latency-sensitive streams that an engine
	// runs within a short target, including the prefill of their short prompts.
	streamsPerEngine = 24
	// maxShare limits the share of the engines that are dedicated.
	maxShare = 0.5
	// shrinkDelay is how long fewer engines must suffice before one is released.
	shrinkDelay = 2500 * time.Millisecond
)

// New returns a sizer that starts without dedicated engines.
func New() *Sizer {
	return &Sizer{}
}

// Size returns the current number of dedicated engines. It grows at once and
// shrinks by one engine at a time, so that prefixes stay on their preferred
// engines. Now is the uptime of the process.
func (sizer *Sizer) Size(now time.Duration, load Load) int {
	needed := load.needed()
	limit := int(maxShare * float64(load.Engines))
	if needed >= sizer.size {
		sizer.size = needed
		sizer.shrinkAfter = now + shrinkDelay
	} else if now >= sizer.shrinkAfter {
		sizer.size--
		sizer.shrinkAfter = now + shrinkDelay
	}
	return min(sizer.size, limit)
}

func (load Load) needed() int {
	if load.LatencySensitive == 0 {
		return 0
	}
	return 1 + (load.LatencySensitive+streamsPerEngine/2)/streamsPerEngine
}
