// Package loglimit bounds the log lines on what went well.
package loglimit

import (
	"sync"
	"time"
)

// Limiter lets so many lines through in a second and counts the others. It answers
// a load at which the log of what went well would cost more than the work.
type Limiter struct {
	mutex   sync.Mutex
	most    int
	since   time.Time
	written int
	leftOut int
}

// New returns a limit of most lines a second.
func New(most int) *Limiter {
	return &Limiter{most: most}
}

// Allow says whether a line may be written now. LeftOut is the number of lines
// of an earlier second that may not, to be logged once.
func (limit *Limiter) Allow(now time.Time) (allowed bool, leftOut int) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if now.Sub(limit.since) >= time.Second {
		leftOut = limit.leftOut
		limit.since = now
		limit.written = 0
		limit.leftOut = 0
	}
	if limit.written >= limit.most {
		limit.leftOut++
		return false, leftOut
	}
	limit.written++
	return true, leftOut
}
