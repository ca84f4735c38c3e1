package dispatch

import (
	"cmp"
	"math"
	"time"

	"endivepost/internal/policy/accountshare"
	"endivepost/internal/policy/chance"
	"endivepost/internal/policy/drainrate"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/returntime"
	"endivepost/internal/wire/message"
)

const (
	// minResponseTime is the least time to allow for a response; a request with
	// less time left is aborted.
	minResponseTime = 500 * time.Millisecond
	// drainTimeFactor multiplies the average response time while the process drains: many
	// responses take longer.
	drainTimeFactor = 2
	// responseTimeSmoothing is the number of responses over which the response time
	// of a class is averaged.
	responseTimeSmoothing = 8
	// drainRateWindow is the length of the windows in which the rate of prompt tokens
	// that are sent to engines is measured.
	drainRateWindow = time.Second
	// lateCheckDelay is by how much later than due a queued request may be examined.
	lateCheckDelay = 20 * time.Millisecond
	// minRateShare is the part of the engines' assumed prefill rate that is counted on: they
	// may be four times slower, and most prompts have cached prefixes.
	minRateShare = 0.25
	// lateCheckInterval is the time between two checks whether a queued request that
	// missed its target can still be served.
	lateCheckInterval = 500 * time.Millisecond
)

// enqueue holds a request until an engine has capacity for it, or aborts it if too
// little time is left for a response.
func (dispatcher *Dispatcher) enqueue(now time.Duration, row requestRow, chosen choice) {
	queueDeadline := dispatcher.latestStart(row)
	late := now+dispatcher.queueWait(now, row) >= queueDeadline || dispatcher.comesLate(now, row) || !dispatcher.endsSomewhere(now, row, dispatcher.canEnd)
	if late && !dispatcher.calm(now, row.pool) {
		dispatcher.abort(now, row, message.Overload)
		return
	}
	row.state = waiting
	row.queued = true
	row.queueDeadline = queueDeadline
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.requestDue.Set(row.request.ID, row.nextQueueCheck(now))
	dispatcher.queuedTokens[row.request.Tier] += row.queuedTokens()
	dispatcher.share(row.pool).AddWaiting(row.request.Tier, row.request.Account, row.queuedTokens())
	dispatcher.queuedIn[row.pool]++
	dispatcher.settings.Queue.Add(now, order.Item[message.RequestID]{
		Key: row.request.ID, Tier: row.request.Tier, Class: row.request.Class.Name, Account: row.request.Account,
		Work: float64(chosen.load.UncachedTokens), SendBy: row.sendBy(),
	})
}

// queuedTokens returns the prompt tokens that the request adds to the queue, at least 1, so
// that a queue of prompts of unknown length does not count as empty.
func (row requestRow) queuedTokens() int {
	return max(row.request.Prompt.Tokens, 1)
}

// dequeue removes a request from the queue if it is there.
func (dispatcher *Dispatcher) dequeue(row requestRow) {
	if row.queued {
		tier := row.request.Tier
		dispatcher.queuedTokens[tier] -= row.queuedTokens()
		if dispatcher.queuedTokens[tier] <= 0 {
			delete(dispatcher.queuedTokens, tier)
		}
		dispatcher.queuedIn[row.pool]--
		dispatcher.share(row.pool).AddWaiting(tier, row.request.Account, -row.queuedTokens())
	}
	dispatcher.settings.Queue.Remove(row.request.ID)
}

// sendBy returns the latest send time that still meets the target for the first
// token if the engine prefills maxPrefillTokens of other requests before this one; 0
// without a target.
func (row requestRow) sendBy() time.Duration {
	first := time.Duration(row.request.Class.FirstToken)
	if first == 0 {
		return 0
	}
	return row.arrived + first - enginechoice.PrefillTime(maxPrefillTokens+row.request.Prompt.Tokens)
}

// spilloverAt returns when the request may go to any engine with capacity: halfway
// from its arrival to its latest send time.
func (row requestRow) spilloverAt() time.Duration {
	return row.arrived + max(row.sendBy()-row.arrived, 0)/2
}

// decideBy returns until when the request may be rejected at no cost to its caller.
func (row requestRow) decideBy() time.Duration {
	return row.arrived + chance.DecideBy(time.Duration(row.request.Class.FirstToken))
}

// nextQueueCheck returns when the queued request is examined next: when a rejection begins to
// cost its caller something, when any engine may serve it, when its target can no longer be
// met and from then on every lateCheckInterval, and at last at queueDeadline.
func (row requestRow) nextQueueCheck(now time.Duration) time.Duration {
	next := now + lateCheckInterval
	switch {
	case now < row.spilloverAt():
		next = row.spilloverAt()
	case now < row.sendBy():
		next = row.sendBy()
	}
	if now < row.decideBy() {
		next = min(next, row.decideBy())
	}
	return min(next, row.queueDeadline)
}

// tierOfPool is a tier of the requests for a pool.
type tierOfPool struct {
	pool string
	tier int
}

// queueWait returns the time in which the queued requests that go before the row's are sent,
// at the present rate; 0 if none was sent lately.
func (dispatcher *Dispatcher) queueWait(now time.Duration, row requestRow) time.Duration {
	ahead := dispatcher.queuedBefore(row)
	rate := dispatcher.sendRate(now, row)
	if ahead == 0 || rate == 0 {
		return 0
	}
	return time.Duration(min(float64(ahead)/rate, maxRequestTime.Seconds()) * float64(time.Second))
}

// queuedBefore returns the prompt tokens of the queued requests that go before the row's.
func (dispatcher *Dispatcher) queuedBefore(row requestRow) int {
	return dispatcher.share(row.pool).Ahead(row.request.Tier, row.request.Account, row.queuedTokens())
}

func (dispatcher *Dispatcher) share(pool string) *accountshare.Shares {
	return findOrAdd(dispatcher.shares, pool, accountshare.New)
}

// sendRate returns the prompt tokens per second that this entry sends to the pool's engines
// for requests of the row's tier and of lower ones: what more urgent ones get is not left for
// it. After a calm time that says little of what the engines can do, so that the rate is
// at least minRateShare of what they are assumed to prefill for each entry.
func (dispatcher *Dispatcher) sendRate(now time.Duration, row requestRow) float64 {
	sum := 0.0
	for key, rate := range dispatcher.sendRates {
		if key.pool == row.pool && key.tier >= row.request.Tier {
			sum += rate.PerSecond(now)
		}
	}
	if sum == 0 {
		return 0
	}
	_, engines := dispatcher.pendingPrefill(now, row.pool, row.latencySensitive)
	assumed := float64(engines) / enginechoice.PrefillTime(1).Seconds() / float64(max(dispatcher.mesh.EntryCount(now), 1))
	return max(sum, minRateShare*assumed)
}

func (dispatcher *Dispatcher) recordSent(now time.Duration, row requestRow) {
	if dispatcher.batch(row.pool) == 0 {
		return
	}
	key := tierOfPool{pool: row.pool, tier: row.request.Tier}
	findOrAdd(dispatcher.sendRates, key, func() *drainrate.Rate { return drainrate.New(drainRateWindow) }).Dispatched(now, float64(row.request.Prompt.Tokens))
	dispatcher.share(row.pool).AddServed(now, row.request.Tier, row.request.Account, row.queuedTokens())
}

// lowestTier is below the tier of any class.
const lowestTier = math.MaxInt

// queuedAhead returns the prompt tokens of the queued requests of the tier and of higher
// ones.
func (dispatcher *Dispatcher) queuedAhead(tier int) int {
	ahead := 0
	for queued, tokens := range dispatcher.queuedTokens {
		if queued <= tier {
			ahead += tokens
		}
	}
	return ahead
}

// comesLate returns whether the request is to be rejected, while that costs its caller
// nothing, since its first event would come after its target.
func (dispatcher *Dispatcher) comesLate(now time.Duration, row requestRow) bool {
	return chance.Arrival{
		Target: time.Duration(row.request.Class.FirstToken), Waited: now - row.arrived, QueueWait: dispatcher.queueWait(now, row),
		Prefill: enginechoice.PrefillTime(row.load.UncachedTokens),
	}.Reject()
}

// calm returns whether no request is to be rejected for lack of capacity in the pool.
func (dispatcher *Dispatcher) calm(now time.Duration, pool string) bool {
	load := chance.Pool{Waiting: dispatcher.queuedIn[pool] > 0}
	for _, upstream := range dispatcher.pool(now, pool).usable {
		load.Taken += dispatcher.allLoads()[upstream.Name].Running
		load.Slots += cmp.Or(upstream.Slots, dispatcher.batch(pool))
	}
	return load.Calm()
}

// waitsInVain returns whether a queued request cannot be served in time: the queue is too
// long, or its response would not end by its deadline on any engine that serves such
// requests. Its caller is told so rather than left to wait.
func (dispatcher *Dispatcher) waitsInVain(now time.Duration, row requestRow) bool {
	if now <= row.decideBy()+lateCheckDelay {
		return dispatcher.comesLate(now, row) || !dispatcher.endsSomewhere(now, row, dispatcher.endsInTime)
	}
	return now >= row.sendBy() && (now+dispatcher.queueWait(now, row) > row.queueDeadline || !dispatcher.endsSomewhere(now, row, dispatcher.canEnd))
}

// latestStart returns the latest time at which the request is worth sending. While this
// process drains, the response must end before it exits.
func (dispatcher *Dispatcher) latestStart(row requestRow) time.Duration {
	latest := row.deadline - dispatcher.responseTime(row)
	if dispatcher.exitAt > 0 {
		latest = min(latest, dispatcher.exitAt-drainTimeFactor*dispatcher.responseTime(row))
	}
	return latest
}

// responseTime returns the moving average of the time from sending a request of the
// class to the end of its response, at least minResponseTime. With less time left, a
// request is not worth sending.
func (dispatcher *Dispatcher) responseTime(row requestRow) time.Duration {
	return max(dispatcher.responseTimes[row.request.Class.Name], minResponseTime)
}

// recordResponseTime adds a completed response to the class's average response
// time.
func (dispatcher *Dispatcher) recordResponseTime(now time.Duration, row requestRow) {
	average := dispatcher.responseTimes[row.request.Class.Name]
	dispatcher.responseTimes[row.request.Class.Name] = average + (now-row.sentAt-average)/responseTimeSmoothing
}

// retryAfter returns the Retry-After for a request that was not run: for one that may
// crash upstreams, the time until such a request is tried; a short one if this entry
// drains, since another entry can take the request at once; the time until one of the pool's
// upstreams may be sent anything again if all of them asked for a backoff; after an overload the time until
// the requests of its tier and of higher ones have been sent that are queued now or were rejected before, and
// otherwise a short time, both spread by the number of rejected requests.
func (dispatcher *Dispatcher) retryAfter(now time.Duration, row requestRow, reason message.Reason) time.Duration {
	if wait, blamed := dispatcher.crashCauses.Cause(now, row.attributes); blamed && wait > 0 {
		return wait
	}
	if dispatcher.draining {
		return drainingRetryAfter
	}
	if wait, found := dispatcher.backoffRetryAfter(now, row.pool); found {
		return wait
	}
	rejected := returntime.Rejected{Tier: row.request.Tier, Work: float64(row.queuedTokens())}
	if reason == message.Overload {
		rejected.Ahead = float64(dispatcher.queuedBefore(row))
		rejected.PerSecond = dispatcher.sendRate(now, row)
	}
	return findOrAdd(dispatcher.returns, row.pool, returntime.New).After(now, rejected, dispatcher.settings.Random.Float64())
}

// waitsForOthers returns whether the request has to queue although there is capacity, since
// its account goes beyond its share while other accounts of its tier wait. That holds for
// requests that otherwise bypass the queue too, but not for a stream that the caller has in part.
func (dispatcher *Dispatcher) waitsForOthers(now time.Duration, row requestRow) bool {
	if row.delivered || dispatcher.queuedIn[row.pool] == 0 || !dispatcher.share(row.pool).Exceeds(now, row.request.Tier, row.request.Account) {
		return false
	}
	dispatcher.capacityFreed = true
	return true
}
