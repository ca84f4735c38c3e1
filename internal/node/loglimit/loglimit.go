// Package loglimit limits the rate of log lines on requests that completed.
package loglimit

import (
	"sync"
	"time"
)

// Limiter allows a number of lines per second and counts the suppressed ones. At a high
// request rate, logging every completed request would cost more than serving it.
type Limiter struct {
	mutex    sync.Mutex
	maxLines int
	// periodStart is when the current period began. A period ends with the first call at
	// least one second later.
	periodStart time.Time
	written     int
	suppressed  int
}

// New returns a limiter that allows maxLines lines per second.
func New(maxLines int) *Limiter {
	return &Limiter{maxLines: maxLines}
}

// Allow reports whether a line may be logged now. On the first call that is a second or more
// after the start of the current period, it starts a new one and returns the number of
// lines that it suppressed in the old one; on all other calls suppressed is 0.
func (limiter *Limiter) Allow(now time.Time) (allowed bool, suppressed int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if now.Sub(limiter.periodStart) >= time.Second {
		suppressed = limiter.suppressed
		limiter.periodStart = now
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
