// Package coldrate keeps one process to its part of the requests that many processes together
// may send to a cold upstream, which is one that has just started and crashes above that rate.
// The processes do not tell each other what they send.
package coldrate

import (
	"math"
	"time"
)

// Rate is what a cold upstream tolerates. In any one second all processes together may send
// it Over times PerSecond requests, and Slack requests more.
type Rate struct {
	PerSecond float64
	Over      float64
	Slack     float64
}

// Place is the place of this process among those that share the rate: Rank is from 0 to
// Count-1. Unsettled is set for a process that has just started: what an earlier process at
// its address sent may still count. Alone is set if it has never been connected to another
// although it was given the addresses of some: there may be many more than it knows.
type Place struct {
	Rank      int
	Count     int
	Unsettled bool
	Alone     bool
}

const (
	// SendTime is how long after it was emitted a request may still be written to its
	// upstream: the time to open a connection.
	SendTime = 350 * time.Millisecond
	// window is the span over which a process counts its requests. Requests that are emitted
	// within it may be written within the same second.
	window = time.Second + SendTime
	// SettleTime is how long a process that has just started sends nothing.
	SettleTime = window
	// maxBudget bounds the send times that are stored for an upstream.
	maxBudget = 256
	// partitions is the number of groups without contact that may each use the whole budget.
	partitions = 2
)

// Budget returns how many requests all processes of one group in contact send in a window, at
// least 1.
func (rate Rate) Budget() int {
	bound := rate.PerSecond*rate.Over + rate.Slack
	return int(min(max(math.Floor(min(rate.PerSecond, bound/partitions)), 1), maxBudget))
}

// Window returns the span in which the budget is sent. It is longer for a rate below one
// request per second.
func (rate Rate) Window() time.Duration {
	if rate.PerSecond >= 1 || rate.PerSecond <= 0 {
		return window
	}
	return time.Duration(float64(window) / rate.PerSecond)
}

// Share returns how many requests the process at the place may send in a window. It falls with
// the rank and with the count. So the shares add up to the budget at most if each process
// knows all others, whatever else it takes for one.
func (rate Rate) Share(place Place) int {
	count := max(place.Count, 1)
	if place.Unsettled {
		return 0
	}
	share := rate.Budget() / count
	if place.Rank < rate.Budget()%count {
		share++
	}
	if place.Alone && place.Rank > 0 {
		return 0
	}
	if place.Alone {
		return min(share, 1)
	}
	return share
}

// Sent has the times at which this process last sent requests to an upstream, the earliest
// first. It is an immutable value.
type Sent struct {
	times []time.Duration
}

// With returns the times with one more request.
func (sent Sent) With(now time.Duration) Sent {
	kept := sent.times
	for len(kept) > 0 && (len(kept) >= maxBudget || kept[0]+window <= now && len(kept) > 1) {
		kept = kept[1:]
	}
	times := make([]time.Duration, 0, len(kept)+1)
	return Sent{times: append(append(times, kept...), now)}
}

// Next returns the earliest time, now or later, at which the process at the place may send a
// request. It returns false if it may send none.
func (sent Sent) Next(now time.Duration, rate Rate, place Place) (time.Duration, bool) {
	share := rate.Share(place)
	if share == 0 {
		return 0, false
	}
	if len(sent.times) < share {
		return now, true
	}
	return max(now, sent.times[len(sent.times)-share]+rate.Window()), true
}
