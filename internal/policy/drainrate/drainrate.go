// Package drainrate estimates how long a queue takes to drain. Refused requests
// get the estimate as the time after which to retry.
package drainrate

import "time"

// Rate measures how much queued work is dispatched over time. Under sustained
// overload, callers that retry before the queue has drained only lengthen it.
type Rate struct {
	window       time.Duration
	windowStart  time.Duration
	work         float64
	previousWork float64
}

// New returns a rate measured over windows of the given length.
func New(window time.Duration) *Rate {
	return &Rate{window: window}
}

// Dispatched records work that left the queue. The caller chooses the unit of
// work, which must be the same in Wait.
func (rate *Rate) Dispatched(now time.Duration, work float64) {
	rate.advance(now)
	rate.work += work
}

// Wait returns the time to dispatch the given work at the rate measured over the
// current and the previous window, and false if nothing was dispatched in them.
func (rate *Rate) Wait(now time.Duration, work float64) (time.Duration, bool) {
	rate.advance(now)
	dispatched := rate.previousWork + rate.work
	if dispatched <= 0 {
		return 0, false
	}
	measured := rate.window + now - rate.windowStart
	return time.Duration(work / dispatched * float64(measured)), true
}

// PerSecond returns the work dispatched per second in the current and the previous window.
func (rate *Rate) PerSecond(now time.Duration) float64 {
	rate.advance(now)
	return (rate.previousWork + rate.work) / (rate.window + now - rate.windowStart).Seconds()
}

// advance starts a new window when the current one is over.
func (rate *Rate) advance(now time.Duration) {
	if now-rate.windowStart < rate.window {
		return
	}
	rate.previousWork = rate.work
	if now-rate.windowStart >= 2*rate.window {
		rate.previousWork = 0
	}
	rate.work = 0
	rate.windowStart = now
}
