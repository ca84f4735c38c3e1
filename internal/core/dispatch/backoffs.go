package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// trialTime is how long after the end of a backoff the first request is the only one, unless
// it is answered before. An upstream that turns it away does so at once.
const trialTime = 250 * time.Millisecond

// retrySpread is the part of a backoff over which callers that are refused meanwhile are
// spread when they come back.
const retrySpread = 4

// backoff is the time for which an upstream asked to be sent nothing. It is over once a
// request that was sent behind its end was answered, or trialTime after it.
type backoff struct {
	active  bool
	since   time.Duration
	until   time.Duration
	trialAt time.Duration
}

// admits returns whether the upstream may be sent a request.
func (backoff backoff) admits(now time.Duration) bool {
	return !backoff.active || now >= backoff.until && (backoff.trialAt == 0 || now >= backoff.trialAt+trialTime)
}

// next returns when the upstream may be sent a request, or another one.
func (backoff backoff) next() time.Duration {
	if backoff.trialAt > 0 {
		return backoff.trialAt + trialTime
	}
	return backoff.until
}

// admitsWork returns whether the upstream has not asked for a backoff that lasts.
func (dispatcher *Dispatcher) admitsWork(now time.Duration, name string) bool {
	return dispatcher.upstream(name).backoff.admits(now)
}

// handleBackoff handles a response in which an upstream asks to be sent nothing for a time. Of
// several such responses the one counts that ends last.
func (dispatcher *Dispatcher) handleBackoff(now time.Duration, input event.BackoffRequested) {
	upstream := dispatcher.upstream(input.Upstream)
	before := upstream.backoff
	until := now + input.For
	if until <= now || before.active && until <= before.until {
		return
	}
	upstream.backoff = backoff{active: true, since: now, until: until}
	if before.active {
		upstream.backoff.since = before.since
	}
	dispatcher.upstreams.Put(input.Upstream, upstream)
	dispatcher.scheduleBackoff(until)
	if before.admits(now) || before.trialAt > 0 {
		dispatcher.emit(event.StateChanged{State: event.BackoffStarted, Source: event.OwnResponses, Name: input.Upstream, For: input.For})
	}
	dispatcher.rejectInBackoff(now)
}

// startTrial records that an upstream is sent a request, which after a backoff is the first.
func (row upstreamRow) startTrial(now time.Duration) upstreamRow {
	if row.backoff.active {
		row.backoff.trialAt = now
	}
	return row
}

// endBackoff records a response of the upstream to a request that was sent at the given time.
func (dispatcher *Dispatcher) endBackoff(now time.Duration, name string, sentAt time.Duration) {
	upstream := dispatcher.upstream(name)
	if !upstream.backoff.active || sentAt < upstream.backoff.until {
		return
	}
	lasted := now - upstream.backoff.since
	upstream.backoff = backoff{}
	dispatcher.upstreams.Put(name, upstream)
	dispatcher.capacityFreed = true
	dispatcher.upstreamsChanged = true
	dispatcher.emit(event.StateChanged{State: event.BackoffEnded, Source: event.OwnResponses, Name: name, For: lasted})
}

// scheduleBackoff has the waiting requests examined at the given time.
func (dispatcher *Dispatcher) scheduleBackoff(at time.Duration) {
	if dispatcher.backoffDue == 0 || at < dispatcher.backoffDue {
		dispatcher.backoffDue = at
	}
}

// checkBackoffs examines the waiting requests again once a backoff or a trial is over.
func (dispatcher *Dispatcher) checkBackoffs(now time.Duration) {
	if dispatcher.backoffDue == 0 || now < dispatcher.backoffDue {
		return
	}
	dispatcher.backoffDue = 0
	dispatcher.capacityFreed = true
	dispatcher.upstreamsChanged = true
	for _, name := range dispatcher.upstreams.Keys() {
		if backoff := dispatcher.upstream(name).backoff; backoff.active && backoff.next() > now {
			dispatcher.scheduleBackoff(backoff.next())
		}
	}
}

// backoffEnd returns when the first of the pool's upstreams may be sent a request again, and
// false if one may be sent one now or there are none.
func (dispatcher *Dispatcher) backoffEnd(now time.Duration, pool string) (time.Duration, bool) {
	earliest := time.Duration(0)
	for _, upstream := range dispatcher.pool(now, pool).usable {
		backoff := dispatcher.upstream(upstream.Name).backoff
		if backoff.admits(now) {
			return 0, false
		}
		if next := backoff.next(); earliest == 0 || next < earliest {
			earliest = next
		}
	}
	return earliest, earliest > 0
}

// outlastedByBackoff returns whether all upstreams that could serve the waiting request want
// nothing until it has waited for too long.
func (dispatcher *Dispatcher) outlastedByBackoff(now time.Duration, row requestRow) bool {
	limit := row.waitDeadline
	if row.queued {
		limit = row.queueDeadline
	}
	end, found := dispatcher.backoffEnd(now, row.pool)
	return found && end >= limit
}

// rejectInBackoff rejects the waiting requests whose upstreams want nothing for too long.
func (dispatcher *Dispatcher) rejectInBackoff(now time.Duration) {
	for _, id := range dispatcher.requests.Keys() {
		row, ok := dispatcher.requests.Get(id)
		if ok && row.state == waiting && dispatcher.outlastedByBackoff(now, row) {
			dispatcher.abort(now, row, message.QueueFull)
		}
	}
}

// backoffRetryAfter returns when the caller of a request for the pool may retry, if all of its
// upstreams asked for a backoff: after the first of their ends, spread over some time.
func (dispatcher *Dispatcher) backoffRetryAfter(now time.Duration, pool string) (time.Duration, bool) {
	end, found := dispatcher.backoffEnd(now, pool)
	if !found {
		return 0, false
	}
	spread := max((end-now)/retrySpread, minRetryAfter)
	return end - now + time.Duration(dispatcher.settings.Random.Int64N(int64(spread))), true
}
