// Package limit defines how many runs an upstream is given at once.
package limit

import "time"

// Policy says how many runs may be in progress. Observe is told of each run
// that ended and of each token, with the upstream's load at that time.
type Policy interface {
	Limit() int
	Observe(now time.Duration, sample Sample)
}

// Sample is one measurement against a class's target. Ratio is the measured
// time over the target; 1 means just met. First marks the time to a first token,
// of which there is one for each run, against many times between tokens.
type Sample struct {
	Ratio      float64
	Running    int
	FirstToken bool
}
