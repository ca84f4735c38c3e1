// Package loglimit limits the rate of log lines on requests that completed.
package loglimit

import (
	"sync"
	"time"
)

// Limiter allows a number of lines per second and counts the suppressed ones. At a high
// request rate, logging every completed request would cost more than serving it.
type Limiter struct {
	mutex      sync.Mutex
	maxLines   int
	since      time.Time
	written    int
	suppressed int
}

// New returns a limiter that allows maxLines lines per second.
func New(maxLines int) *Limiter {
	return &Limiter{maxLines: maxLines}
}

// Allow reports whether a line may be logged now. Suppressed is the number of lines that
// were not allowed in the previous period; it is returned once, on the first call of the
// next one.
func (limiter *Limiter) Allow(now time.Time) (allowed bool, suppressed int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if now.Sub(limiter.since) >= time.Second {
		suppressed = limiter.suppressed
		limiter.since = now
		limiter.written = 0
		limiter.suppressed = 0
	}
	if limiter.written >= limiter.maxLines {
		limiter.suppressed++
		return false, suppressed
	}
	limiter.written++
	return true, suppressed
}
