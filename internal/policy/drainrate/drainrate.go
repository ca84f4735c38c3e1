// Package drainrate tells a caller who is turned away when there will be room.
package drainrate

import "time"

// Rate measures how fast waiting work is let through. It answers a lasting
// overload: callers who come back before what waits has been let through only
// lengthen the queue.
type Rate struct {
	span   time.Duration
	since  time.Duration
	work   float64
	before float64
}

// New returns a rate measured over spans of the given length.
func New(span time.Duration) *Rate {
	return &Rate{span: span}
}

// Dispatched records work that was let through.
func (rate *Rate) Dispatched(now time.Duration, work float64) {
	rate.turn(now)
	rate.work += work
}

// Wait returns how long it takes to let through so much work, and false if
// nothing was let through lately.
func (rate *Rate) Wait(now time.Duration, work float64) (time.Duration, bool) {
	rate.turn(now)
	passed := rate.before + rate.work
	if passed <= 0 {
		return 0, false
	}
	measured := rate.span + now - rate.since
	return time.Duration(work / passed * float64(measured)), true
}

// turn begins a new span when the present one is over.
func (rate *Rate) turn(now time.Duration) {
	if now-rate.since < rate.span {
		return
	}
	rate.before = rate.work
	if now-rate.since >= 2*rate.span {
		rate.before = 0
	}
	rate.work = 0
	rate.since = now
}
