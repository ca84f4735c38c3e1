// Package dedicated sizes the part of an engine pool that is dedicated to
// latency-sensitive streams, those with a short target for the inter-token latency.
package dedicated

import "time"

// Sizer computes how many engines the latency-sensitive streams need. An engine
// prefills a prompt in chunks between the decode steps of its streams, so long
// prompts delay the tokens of the streams beside them. Long prompts and
// latency-sensitive streams are therefore kept on different engines as far as there are
// enough.
type Sizer struct {
	// size is the number of engines needed, even if maxShare allows fewer. It shrinks
	// later than the need.
	size int
	// shrinkAt is the uptime from which size may shrink.
	shrinkAt time.Duration
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
	// maxShare is the largest share of the engines that are dedicated, rounded down.
	maxShare = 0.5
	// shrinkDelay is how long fewer engines must suffice before one is released.
	shrinkDelay = 2500 * time.Millisecond
)

// New returns a sizer that starts without dedicated engines.
func New() *Sizer {
	return &Sizer{}
}

// Size returns the current number of dedicated engines. It grows at once and
// shrinks by one engine per shrinkDelay, so that prefixes stay on their preferred
// engines. Now is the uptime of the process.
func (sizer *Sizer) Size(now time.Duration, load Load) int {
	needed := load.needed()
	limit := int(maxShare * float64(load.Engines))
	if needed >= sizer.size {
		sizer.size = needed
		sizer.shrinkAt = now + shrinkDelay
	} else if now >= sizer.shrinkAt {
		sizer.size--
		sizer.shrinkAt = now + shrinkDelay
	}
	return min(sizer.size, limit)
}

// needed returns the number of engines that the streams fill, rounded, plus one, and 0
// without streams.
func (load Load) needed() int {
	if load.LatencySensitive == 0 {
		return 0
	}
	return 1 + (load.LatencySensitive+streamsPerEngine/2)/streamsPerEngine
}
