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
	// StreamsPerEngine is the number of these streams that an engine runs within their
	// target.
	StreamsPerEngine int
}

const (
	// timePerStream is what a stream adds to the slowest decode steps of its engine, with
	// the prefill of the short prompts that come with it.
	timePerStream = 1670 * time.Microsecond
	// minStreams is the least number of streams per engine, maxBatchShare the largest share
	// of the batch.
	minStreams    = 8
	maxBatchShare = 0.75
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

// Idle returns whether no engine was needed lately.
func (sizer *Sizer) Idle() bool {
	return sizer.size == 0
}

// needed returns the number of engines that the streams fill, rounded, plus one, and 0
// without streams.
func (load Load) needed() int {
	if load.LatencySensitive == 0 {
		return 0
	}
	streams := max(load.StreamsPerEngine, minStreams)
	return 1 + (load.LatencySensitive+streams/2)/streams
}

// StreamsPerEngine returns how many latency-sensitive streams an engine runs if a token may
// take perToken. The batch is 0 if unknown.
func StreamsPerEngine(perToken time.Duration, batch int) int {
	streams := int(perToken / timePerStream)
	if batch > 0 {
		streams = min(streams, int(maxBatchShare*float64(batch)))
	}
	return max(streams, minStreams)
}
