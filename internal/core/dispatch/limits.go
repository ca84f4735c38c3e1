package dispatch

import (
	"hash/fnv"
	"math"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/sharedrate"
	"endivepost/internal/wire/message"
)

const (
	// limitSettleTime is how long after a response that names a limit one without it is
	// taken for older: responses on different connections overtake each other.
	limitSettleTime = 500 * time.Millisecond
	// limitAgeError bounds the error of the age of a limit that peers report.
	limitAgeError = 100 * time.Millisecond
	// endedLimitTime is how long peers are told that a limit has ended.
	endedLimitTime = 5 * time.Second
)

// rateLimit is the rate limit that an upstream named, or the end of one. It was last named,
// or ended, at the given time, and first named at since.
type rateLimit struct {
	at        time.Duration
	since     time.Duration
	limited   bool
	perSecond float64
	share     sharedrate.Limit
}

// handleLimit handles what a response says of its upstream's rate limit.
func (dispatcher *Dispatcher) handleLimit(now time.Duration, input event.LimitReported) {
	if dispatcher.applyLimit(now, message.UpstreamLimit{Upstream: input.Upstream, Limited: input.Limited, PerSecond: input.PerSecond}) {
		dispatcher.heartbeatDue = min(dispatcher.heartbeatDue, now)
	}
}

// applyLimit applies a limit that was named or ended, unless a newer one is known, and
// returns whether that changes it. Entries agree on the earliest time at which it was named.
func (dispatcher *Dispatcher) applyLimit(now time.Duration, reported message.UpstreamLimit) bool {
	at := now - reported.Age
	upstream := dispatcher.upstream(reported.Upstream)
	before := upstream.limit
	if before.at > 0 && at <= before.at || !reported.Limited && (!before.limited || at < before.at+limitSettleTime) {
		return false
	}
	since := at - reported.Held
	current := rateLimit{at: at, since: since, limited: reported.Limited, perSecond: reported.PerSecond, share: sharedrate.New(now, reported.PerSecond, since)}
	if reported.Limited && before.limited {
		current.since = min(before.since, since)
		current.share = before.share.WithRate(reported.PerSecond).WithEpoch(current.since)
	}
	upstream.limit = current
	dispatcher.upstreams.Put(reported.Upstream, upstream)
	changed := before.limited != current.limited || before.perSecond != current.perSecond
	if changed {
		dispatcher.capacityFreed = true
		dispatcher.reportLimitChange(reported)
	}
	return changed
}

// reportLimitChange reports a changed limit for the log.
func (dispatcher *Dispatcher) reportLimitChange(limit message.UpstreamLimit) {
	state := event.LimitEnded
	if limit.Limited {
		state = event.Limited
	}
	const seconds = 1000
	dispatcher.emit(event.StateChanged{State: state, Name: limit.Upstream, Version: uint64(math.Round(seconds * limit.PerSecond))})
}

// handlePeerLimits applies the limits that a peer knows.
func (dispatcher *Dispatcher) handlePeerLimits(now time.Duration, limits []message.UpstreamLimit) {
	for _, limit := range limits {
		if _, listed := dispatcher.membership.Find(limit.Upstream); !listed {
			continue
		}
		if now-limit.Age > dispatcher.upstream(limit.Upstream).limit.at+limitAgeError {
			dispatcher.applyLimit(now, limit)
		}
	}
}

// knownLimits returns the limits that hold, and those that ended lately, for a heartbeat.
func (dispatcher *Dispatcher) knownLimits(now time.Duration) []message.UpstreamLimit {
	var limits []message.UpstreamLimit
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		limit := row.limit
		if limit.limited || limit.at > 0 && now-limit.at < endedLimitTime {
			limits = append(limits, message.UpstreamLimit{
				Upstream: name, Limited: limit.limited, PerSecond: limit.perSecond, Age: now - limit.at, Held: limit.at - limit.since,
			})
		}
	}
	return limits
}

// withinLimit returns whether this entry may send the upstream a request now. If not, the
// queue is examined again once it may.
func (dispatcher *Dispatcher) withinLimit(now time.Duration, name string) bool {
	if !dispatcher.withinColdRate(now, name) {
		return false
	}
	limit := dispatcher.upstream(name).limit
	if !limit.limited {
		return true
	}
	next := limit.share.Next(now, dispatcher.limitShare(now, name))
	if next <= now {
		return true
	}
	dispatcher.scheduleLimit(now, next)
	return false
}

// scheduleLimit has the queue examined again at the given time.
func (dispatcher *Dispatcher) scheduleLimit(now, at time.Duration) {
	if dispatcher.limitDue <= now || at < dispatcher.limitDue {
		dispatcher.limitDue = at
	}
}

// limitShare returns this entry's share of the upstream's limit. The ranks differ by
// upstream, so that an entry's turns at several upstreams are spread in time.
func (dispatcher *Dispatcher) limitShare(now time.Duration, name string) sharedrate.Share {
	rank, count := dispatcher.mesh.Rank(now)
	offset := fnv.New32a()
	_, _ = offset.Write([]byte(name))
	return sharedrate.Share{Rank: (rank + int(offset.Sum32()%uint32(count))) % count, Count: count}
}

// checkLimits schedules another pass over the queue if an upstream with a limit may be sent
// a request again.
func (dispatcher *Dispatcher) checkLimits(now time.Duration) {
	if dispatcher.limitDue > 0 && now >= dispatcher.limitDue {
		dispatcher.limitDue = 0
		dispatcher.capacityFreed = true
	}
}
