package dispatch

import (
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
	// A pool is overloaded once the mean pending prefill of its engines, dedicated
	// ones aside, exceeds maxPrefillTokens divided by overloadDivisor.
	overloadDivisor = 3
	// A pass over the queue ends once more than maxSkipped groups of requests have
	// found no capacity, and admitInterval is the minimum time between two passes:
	// both limit the processor time of the entry.
	maxSkipped    = 16
	admitInterval = 10 * time.Millisecond
)

// hasCapacity returns whether the upstream may be sent the request now. Its rate limit, if
// it named one, must leave a request. An engine must also have a free batch slot and enough
// KV cache, and have nothing to prefill or stay within maxPrefillTokens, and the request must
// leave the more urgent tiers their part of each. A request to a plain service, one that
// bypasses the queue and an interrupted stream that the caller has received in part are sent
// in any case; one that bypasses the queue waits for a batch slot and KV cache if more urgent
// tiers need them.
func (dispatcher *Dispatcher) hasCapacity(now time.Duration, row requestRow, chosen choice) bool {
	if !dispatcher.withinLimit(now, chosen.upstream.Name) {
		return false
	}
	pool, ok := dispatcher.config.Document().Pool(row.pool)
	if !ok || pool.Engine.Batch == 0 {
		return true
	}
	reserved := dispatcher.reservedAt(now, row, chosen.upstream.Name)
	if row.delivered || row.bypassesQueue() && !reserved.needed {
		return true
	}
	if !dispatcher.fitsBatch(row, chosen.upstream.Name, reserved) || !dispatcher.fitsKVCache(row, chosen.upstream.Name, chosen.load.UncachedTokens, reserved) {
		return false
	}
	if row.bypassesQueue() {
		return true
	}
	return dispatcher.endsInTime(now, row, chosen.upstream.Name) && dispatcher.fitsPrefill(now, row, chosen, reserved)
}

// fitsBatch returns whether the engine's batch has a slot for the request.
func (dispatcher *Dispatcher) fitsBatch(row requestRow, name string, reserved reservation) bool {
	return float64(dispatcher.allLoads()[name].Running+1)+reserved.Requests <= float64(dispatcher.batch(row.pool))
}

// fitsKVCache returns whether the engine's KV cache has space for the request
// besides those in progress. A request to an idle engine always fits. Under long
// prompts, an engine that runs out of KV cache becomes slow: it preempts requests
// and prefills them again.
func (dispatcher *Dispatcher) fitsKVCache(row requestRow, name string, uncached int, reserved reservation) bool {
	bound := maxKVCacheShare * float64(dispatcher.kvCacheTokens(row.pool))
	running := dispatcher.allLoads()[name].KVTokens
	return running == 0 || float64(running+row.kvTokens(uncached))+reserved.KVTokens <= bound
}

// fitsPrefill returns whether the engine may be sent the request's uncached tokens besides
// its pending prefill. An engine without any may be sent a prompt of any length, as long as
// the engines like it together leave the more urgent tiers their part.
func (dispatcher *Dispatcher) fitsPrefill(now time.Duration, row requestRow, chosen choice, reserved reservation) bool {
	pending, uncached := chosen.load.PrefillTokens, chosen.load.UncachedTokens
	if float64(pending+uncached)+reserved.PrefillTokens <= maxPrefillTokens {
		return true
	}
	if pending > 0 || reserved.PrefillTokens == 0 {
		return pending == 0
	}
	together, engines := dispatcher.pendingPrefill(now, row.pool, chosen.load.Dedicated)
	room := float64(engines)*(maxPrefillTokens-reserved.PrefillTokens) - float64(together)
	return together == 0 || float64(min(uncached, maxPrefillTokens)) <= room
}

// bypassesQueue returns whether the class's target for the first token is at most
// the time to prefill maxPrefillTokens and the request's own prompt; a class without
// such a target bypasses the queue too. Holding such a request would not help it:
// the engine prefills it before less urgent ones.
func (row requestRow) bypassesQueue() bool {
	first := time.Duration(row.request.Class.FirstToken)
	return first <= enginechoice.PrefillTime(maxPrefillTokens+row.request.Prompt.Tokens)
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
	// build is the only one at which a stream may go on, if begun is true.
	begun bool
	build string
}

func (row requestRow) queueGroup(now time.Duration) queueGroup {
	group := queueGroup{
		pool: row.pool, latencySensitive: row.latencySensitive, anyEngine: now >= row.spilloverAt(), tried: strings.Join(row.tried, " "),
		begun: row.begun, build: row.build,
	}
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
		if dedicated[upstream.Name] != row.latencySensitive {
			return false
		}
		load := dispatcher.allLoads()[upstream.Name]
		reserved := dispatcher.reservedAt(now, row, upstream.Name)
		return float64(load.PrefillTokens+row.request.Prompt.Tokens)+reserved.PrefillTokens <= maxPrefillTokens &&
			dispatcher.fitsBatch(row, upstream.Name, reserved) && dispatcher.fitsKVCache(row, upstream.Name, row.request.Prompt.Tokens, reserved) &&
			dispatcher.endsInTime(now, row, upstream.Name) && dispatcher.withinLimit(now, upstream.Name)
	})
}

// overloaded returns whether the pool's engines that are not dedicated to
// latency-sensitive streams have much pending prefill on average. Prefilling a
// prefix on one more engine would then only delay all of them.
func (dispatcher *Dispatcher) overloaded(now time.Duration, pool string) bool {
	prefill, engines := dispatcher.pendingPrefill(now, pool, false)
	return prefill > engines*maxPrefillTokens/overloadDivisor
}

// pendingPrefill returns the pending prefill tokens of the pool's engines that are dedicated
// to latency-sensitive streams, or of the others, and the number of these engines.
func (dispatcher *Dispatcher) pendingPrefill(now time.Duration, pool string, dedicated bool) (tokens, engines int) {
	snapshot := dispatcher.pool(now, pool)
	for _, upstream := range snapshot.usable {
		if snapshot.dedicated[upstream.Name] == dedicated {
			tokens += dispatcher.allLoads()[upstream.Name].PrefillTokens
			engines++
		}
	}
	return tokens, engines
}

// batch returns the number of requests that an engine of the pool runs at a time, 0 if the
// pool has plain services.
func (dispatcher *Dispatcher) batch(pool string) int {
	found, _ := dispatcher.config.Document().Pool(pool)
	return found.Engine.Batch
}
