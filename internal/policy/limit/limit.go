// Package limit defines how many requests an upstream runs at a time.
package limit

import "time"

// Policy is a concurrency limit. Limit returns how many requests may run at a
// time. Observe records a measured latency; now is the uptime of the process.
type Policy interface {
	Limit() int
	Observe(now time.Duration, sample Sample)
}

// Sample is one latency measured against the target of a class. Ratio is the
// measured time over the target, so values above 1 miss the target. Running is
// the number of requests running at the upstream at the time of the measurement.
// FirstToken marks a time to first token, or the total latency of a request without
// a target for it. A request has one such sample and many inter-token latencies.
type Sample struct {
	Ratio      float64
	Running    int
	FirstToken bool
}
