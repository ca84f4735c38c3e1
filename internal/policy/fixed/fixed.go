// Package fixed is the baseline concurrency limit: a constant.
package fixed

import (
	"time"

	"endivepost/internal/policy/limit"
)

// Limit implements limit.Policy with a constant number of requests.
type Limit int

// Limit returns the constant.
func (fixed Limit) Limit() int {
	return int(fixed)
}

// Observe ignores the sample.
func (Limit) Observe(time.Duration, limit.Sample) {}
