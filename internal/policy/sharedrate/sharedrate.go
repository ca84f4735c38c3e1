// Package sharedrate keeps one process to its share of a rate limit that many processes
// share without telling each other what they send.
package sharedrate

import "time"

// Limit is a rate limit, with the time at which this process last used its share. It is an
// immutable value.
//
// Few processes each send at the limit divided by their number, one request at a time. Many
// processes of a low limit could then all send at once after a pause. These take turns: each
// sends in slots of its own, which follow each other from a common epoch on. A slot that is
// not used is lost.
type Limit struct {
	perSecond float64
	epoch     time.Duration
	lastSent  time.Duration
}

// Share is which of how many processes share the limit. Rank is from 0 to Count-1.
type Share struct {
	Rank  int
	Count int
}

const (
	// minPerSecond is the least rate of all processes together. Below it the upstream
	// would hardly get a request in whose response it can end the limit.
	minPerSecond = 0.1
	// slotLength is how long a process may use its slot.
	slotLength = 1500 * time.Millisecond
	// Up to burstAllowance processes, and burstSeconds more for each request per second,
	// may send at the same time.
	burstAllowance = 4
	burstSeconds   = 2
)

// New returns a limit in requests per second. The slots are counted from the epoch on, which
// is the same for all processes but for the error of their clocks.
func New(now time.Duration, perSecond float64, epoch time.Duration) Limit {
	return Limit{lastSent: now, epoch: epoch}.WithRate(perSecond)
}

// WithRate returns the limit with another rate.
func (limit Limit) WithRate(perSecond float64) Limit {
	limit.perSecond = max(perSecond, minPerSecond)
	return limit
}

// WithEpoch returns the limit with another epoch.
func (limit Limit) WithEpoch(epoch time.Duration) Limit {
	limit.epoch = epoch
	return limit
}

// WithSent returns the limit after a request was sent.
func (limit Limit) WithSent(now time.Duration) Limit {
	limit.lastSent = now
	return limit
}

// Next returns the earliest time, now or later, at which the process with the share may
// send a request.
func (limit Limit) Next(now time.Duration, share Share) time.Duration {
	interval := limit.interval(share)
	if float64(share.Count) <= burstAllowance+burstSeconds*limit.perSecond {
		return max(now, limit.lastSent+interval)
	}
	start := limit.epoch + interval*time.Duration(share.Rank)/time.Duration(share.Count)
	return nextSlot(max(now, limit.lastSent+slotLength), start, interval)
}

// nextSlot returns the first time from the given one on that is within a slot. Slots recur
// with the interval, and one of them begins at the start.
func nextSlot(from, start, interval time.Duration) time.Duration {
	since := (from - start) % interval
	if since < 0 {
		since += interval
	}
	if since < slotLength {
		return from
	}
	return from + interval - since
}

// interval returns the time between two requests of one process.
func (limit Limit) interval(share Share) time.Duration {
	return time.Duration(float64(max(share.Count, 1)) / limit.perSecond * float64(time.Second))
}
