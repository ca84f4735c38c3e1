package dispatch

import (
	"math"
	"strings"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

const (
	// maxPrefillTokens bounds the pending prefill tokens that all entries together
	// send to an engine: requests that already wait inside an engine can no longer
	// be reordered by priority. That is 300 ms of prefill at the assumed rate, enough
	// that the engine does not idle.
	maxPrefillTokens = 18_000
	// maxKVCacheShare is the part of an engine's KV cache that the requests in
	// progress may fill: the rest is for cached prefixes that they share with other
	// requests.
	maxKVCacheShare = 0.75
	// minResponseTime is the least time to allow for a response; a request with
	// less time left is aborted.
	minResponseTime = 500 * time.Millisecond
	drainTimeFactor = 2
	// responseTimeSmoothing is the number of responses over which the response time
	// of a class is averaged.
	responseTimeSmoothing = 8
	// drainRateWindow is the length of the windows in which the rate of prompt tokens
	// that leave the queue is measured.
	drainRateWindow = time.Second
	// maxRetryAfter bounds the Retry-After of a rejected request: an overload
	// seldom lasts longer.
	maxRetryAfter = 10 * time.Second
	// A pool is overloaded once the mean pending prefill of its engines, dedicated
	// ones aside, exceeds maxPrefillTokens divided by overloadDivisor.
	overloadDivisor = 3
	// A pass over the queue ends once more than maxSkipped groups of requests have
	// found no capacity, and admitInterval is the minimum time between two passes:
	// both limit the processor time of the entry.
	maxSkipped    = 16
	admitInterval = 10 * time.Millisecond
	// lateCheckInterval is the time between two checks whether a queued request that
	// missed its target can still be served.
	lateCheckInterval = 500 * time.Millisecond
)

// hasCapacity returns whether the engine may be sent the request now: it has a free
// batch slot and enough KV cache, and it has nothing to prefill or stays within
// maxPrefillTokens. A request to a plain service, one that bypasses the queue and an
// interrupted stream that the caller has received in part are sent in any case.
func (dispatcher *Dispatcher) hasCapacity(now time.Duration, row requestRow, chosen choice) bool {
	pool, ok := dispatcher.config.Document().Pool(row.pool)
	if !ok || pool.Engine.Batch == 0 {
		return true
	}
	if row.delivered || row.bypassesQueue() {
		return true
	}
	if chosen.load.Running >= pool.Engine.Batch || !dispatcher.fitsKVCache(row, chosen.upstream.Name, chosen.load.UncachedTokens) {
		return false
	}
	if !dispatcher.endsInTime(now, row, chosen.upstream.Name) {
		return false
	}
	return chosen.load.PrefillTokens == 0 || chosen.load.PrefillTokens+chosen.load.UncachedTokens <= maxPrefillTokens
}

// fitsKVCache returns whether the engine's KV cache has space for the request
// besides those in progress. A request to an idle engine always fits. Under long
// prompts, an engine that runs out of KV cache becomes slow: it preempts requests
// and prefills them again.
func (dispatcher *Dispatcher) fitsKVCache(row requestRow, name string, uncached int) bool {
	bound := maxKVCacheShare * float64(dispatcher.kvCacheTokens(row.pool))
	running := dispatcher.allLoads()[name].KVTokens
	return running == 0 || float64(running+row.kvTokens(uncached)) <= bound
}

// enqueue holds a request until an engine has capacity for it, or aborts it if too
// little time is left for a response.
func (dispatcher *Dispatcher) enqueue(now time.Duration, row requestRow, chosen choice) {
	queueDeadline := dispatcher.latestStart(row)
	if now+dispatcher.queueWait(now, row) >= queueDeadline {
		dispatcher.abort(now, row, message.Overload)
		return
	}
	row.state = waiting
	row.queued = true
	row.queueDeadline = queueDeadline
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.requestDue.Set(row.request.ID, row.nextQueueCheck(now))
	dispatcher.queuedTokens[row.request.Tier] += row.request.Prompt.Tokens
	dispatcher.settings.Queue.Add(now, order.Item[message.RequestID]{
		Key: row.request.ID, Tier: row.request.Tier, Class: row.request.Class.Name, Account: row.request.Account,
		Work: float64(chosen.load.UncachedTokens), SendBy: row.sendBy(),
	})
}

// queueWait returns the time in which the queued requests of the row's tier and of higher
// ones are sent, at the present rate; 0 if none was sent lately.
func (dispatcher *Dispatcher) queueWait(now time.Duration, row requestRow) time.Duration {
	wait, _ := dispatcher.drainRate.Wait(now, float64(dispatcher.queuedAhead(row.request.Tier)))
	return wait
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

// nextQueueCheck returns when the queued request is examined next: when any engine may
// serve it, when its target can no longer be met and from then on every
// lateCheckInterval, and at last at queueDeadline.
func (row requestRow) nextQueueCheck(now time.Duration) time.Duration {
	next := now + lateCheckInterval
	switch {
	case now < row.spilloverAt():
		next = row.spilloverAt()
	case now < row.sendBy():
		next = row.sendBy()
	}
	return min(next, row.queueDeadline)
}

// bypassesQueue returns whether the class's target for the first token is at most
// the time to prefill maxPrefillTokens and the request's own prompt; a class without
// such a target bypasses the queue too. Holding such a request would not help it:
// the engine prefills it before less urgent ones.
func (row requestRow) bypassesQueue() bool {
	first := time.Duration(row.request.Class.FirstToken)
	return first <= enginechoice.PrefillTime(maxPrefillTokens+row.request.Prompt.Tokens)
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

// admit sends queued requests in the order of the queue policy while engines have
// capacity.
func (dispatcher *Dispatcher) admit(now time.Duration) {
	if !dispatcher.capacityFreed || now < dispatcher.admitDue {
		return
	}
	dispatcher.capacityFreed = false
	dispatcher.admitDue = now + admitInterval
	withoutCapacity := make(map[queueGroup]bool)
	for {
		var chosen choice
		item, ok := dispatcher.settings.Queue.Pick(now, func(item order.Item[message.RequestID]) bool {
			if len(withoutCapacity) > maxSkipped {
				return true
			}
			row, _ := dispatcher.requests.Get(item.Key)
			group := row.queueGroup(now)
			if withoutCapacity[group] {
				return true
			}
			found := false
			chosen, found = dispatcher.chooseForQueued(now, row)
			if !found {
				withoutCapacity[group] = true
			}
			return !found
		})
		if !ok {
			return
		}
		row, _ := dispatcher.requests.Get(item.Key)
		dispatcher.drainRate.Dispatched(now, float64(row.request.Prompt.Tokens))
		dispatcher.send(now, row, chosen)
	}
}

// queueGroup identifies queued requests that wait for capacity at the same engines:
// if one of them finds none, the others are skipped in this pass.
type queueGroup struct {
	pool string
	// prefix is the ID of the last prompt part that other requests may share, 0
	// without one.
	prefix           uint64
	latencySensitive bool
	// anyEngine is true once any engine may serve the request; tried lists the
	// upstreams that may not.
	anyEngine bool
	tried     string
}

func (row requestRow) queueGroup(now time.Duration) queueGroup {
	group := queueGroup{pool: row.pool, latencySensitive: row.latencySensitive, anyEngine: now >= row.spilloverAt(), tried: strings.Join(row.tried, " ")}
	if parts := row.request.Prompt.Parts; len(parts) > 1 {
		group.prefix = parts[len(parts)-2].ID
	}
	return group
}

// chooseForQueued returns an upstream with capacity for a queued request, if there
// is one. At first only the cheapest upstream is considered. From spilloverAt on, any
// with capacity is, unless the pool is overloaded, so that a prefix in high demand
// gets cached on further engines: a dedicated engine for a latency-sensitive stream,
// and one of the others for any other request.
func (dispatcher *Dispatcher) chooseForQueued(now time.Duration, row requestRow) (choice, bool) {
	chosen, found := dispatcher.choose(now, row)
	if !found || dispatcher.hasCapacity(now, row, chosen) {
		return chosen, found
	}
	if now < row.spilloverAt() || dispatcher.overloaded(now, row.pool) {
		return choice{}, false
	}
	dedicated := dispatcher.pool(now, row.pool).dedicated
	return dispatcher.chooseFrom(now, row, func(upstream event.Upstream) bool {
		load := dispatcher.allLoads()[upstream.Name]
		fits := load.PrefillTokens+row.request.Prompt.Tokens <= maxPrefillTokens && dispatcher.fitsKVCache(row, upstream.Name, row.request.Prompt.Tokens) &&
			dispatcher.endsInTime(now, row, upstream.Name)
		return dedicated[upstream.Name] == row.latencySensitive && fits
	})
}

// overloaded returns whether the pool's engines that are not dedicated to
// latency-sensitive streams have much pending prefill on average. Prefilling a
// prefix on one more engine would then only delay all of them.
func (dispatcher *Dispatcher) overloaded(now time.Duration, pool string) bool {
	snapshot := dispatcher.pool(now, pool)
	prefill, engines := 0, 0
	for _, upstream := range snapshot.usable {
		if !snapshot.dedicated[upstream.Name] {
			prefill += dispatcher.allLoads()[upstream.Name].PrefillTokens
			engines++
		}
	}
	return prefill > engines*maxPrefillTokens/overloadDivisor
}

// spilloverAt returns when the request may go to any engine with capacity: halfway
// from its arrival to its latest send time.
func (row requestRow) spilloverAt() time.Duration {
	return row.arrived + max(row.sendBy()-row.arrived, 0)/2
}

// dequeue removes a request from the queue if it is there.
func (dispatcher *Dispatcher) dequeue(row requestRow) {
	if row.queued {
		tier := row.request.Tier
		dispatcher.queuedTokens[tier] -= row.request.Prompt.Tokens
		if dispatcher.queuedTokens[tier] <= 0 {
			delete(dispatcher.queuedTokens, tier)
		}
	}
	dispatcher.settings.Queue.Remove(row.request.ID)
}

// responseTime returns the moving average of the time from sending a request of the
// class to the end of its response, at least minResponseTime. With less time left, a
// request is not worth sending.
func (dispatcher *Dispatcher) responseTime(row requestRow) time.Duration {
	return max(dispatcher.responseTimes[row.request.Class.Name], minResponseTime)
}

// latestStart returns the latest time at which the request is worth sending. While this
// process drains, the response must end before it exits; drainTimeFactor allows for
// responses that take longer than the average.
func (dispatcher *Dispatcher) latestStart(row requestRow) time.Duration {
	latest := row.deadline - dispatcher.responseTime(row)
	if dispatcher.exitAt > 0 {
		latest = min(latest, dispatcher.exitAt-drainTimeFactor*dispatcher.responseTime(row))
	}
	return latest
}

// recordResponseTime adds a completed response to the class's average response
// time.
func (dispatcher *Dispatcher) recordResponseTime(now time.Duration, row requestRow) {
	average := dispatcher.responseTimes[row.request.Class.Name]
	dispatcher.responseTimes[row.request.Class.Name] = average + (now-row.sentAt-average)/responseTimeSmoothing
}

// retryAfter returns the Retry-After for a request that was not run: a short one if
// this entry drains, since another entry can take the request at once; after an
// overload the time until the requests now queued ahead of its tier have been sent, within
// maxRetryAfter;
// otherwise one to two times minRetryAfter.
func (dispatcher *Dispatcher) retryAfter(now time.Duration, row requestRow, reason message.Reason) time.Duration {
	if dispatcher.draining {
		return drainingRetryAfter
	}
	short := minRetryAfter + time.Duration(dispatcher.settings.Random.Int64N(int64(minRetryAfter)))
	if reason != message.Overload {
		return short
	}
	return min(max(dispatcher.queueWait(now, row), short), maxRetryAfter)
}
