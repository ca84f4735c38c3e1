package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endivepost/internal/wire/message"
)

// allLoads returns the load of all entries by upstream: this entry's own and what
// the connected entries last reported.
func (dispatcher *Dispatcher) allLoads() map[string]message.UpstreamLoad {
	if dispatcher.totalLoads != nil {
		return dispatcher.totalLoads
	}
	total := make(map[string]message.UpstreamLoad)
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		total[name] = row.load
	}
	for _, heartbeat := range dispatcher.mesh.Heartbeats() {
		for _, load := range heartbeat.Loads {
			sum := total[load.Upstream]
			sum.Running += load.Running
			sum.PrefillTokens += load.PrefillTokens
			sum.LatencySensitive += load.LatencySensitive
			sum.KVTokens += load.KVTokens
			total[load.Upstream] = sum
		}
	}
	dispatcher.totalLoads = total
	return total
}

// loadsChanged discards the sum of all loads and schedules another pass over the
// queue.
func (dispatcher *Dispatcher) loadsChanged() {
	dispatcher.totalLoads = nil
	dispatcher.capacityFreed = true
}

// ownLoads returns this entry's own load of each upstream with requests in progress,
// sorted by name.
func (dispatcher *Dispatcher) ownLoads(now time.Duration) []message.UpstreamLoad {
	var loads []message.UpstreamLoad
	for _, name := range dispatcher.upstreams.Keys() {
		if row, _ := dispatcher.upstreams.Get(name); row.load.Running > 0 {
			row.load.Speed = dispatcher.speedReport(now, name, row.speed)
			loads = append(loads, row.load)
		}
	}
	slices.SortFunc(loads, func(left, right message.UpstreamLoad) int { return cmp.Compare(left.Upstream, right.Upstream) })
	return loads
}

// withSpeeds returns the loads with what is known of the speeds now.
func (dispatcher *Dispatcher) withSpeeds(now time.Duration, loads []message.UpstreamLoad) []message.UpstreamLoad {
	refreshed := slices.Clone(loads)
	for i, load := range refreshed {
		refreshed[i].Speed = dispatcher.speedReport(now, load.Upstream, dispatcher.upstream(load.Upstream).speed)
	}
	return refreshed
}

// changedLoads returns this entry's own loads that have changed since they were told to the
// peers, and those that have ended.
func (dispatcher *Dispatcher) changedLoads(now time.Duration) []message.UpstreamLoad {
	told := make(map[string]message.UpstreamLoad, len(dispatcher.toldBefore.Loads))
	for _, load := range dispatcher.toldBefore.Loads {
		told[load.Upstream] = load
	}
	var changed []message.UpstreamLoad
	for _, load := range dispatcher.ownLoads(now) {
		if !told[load.Upstream].Same(load) {
			changed = append(changed, load)
		}
		delete(told, load.Upstream)
	}
	for _, name := range slices.Sorted(maps.Keys(told)) {
		changed = append(changed, message.UpstreamLoad{Upstream: name})
	}
	return changed
}

// addLoad adds the request to the load of its upstream when it is sent there. It also
// records the prompt's parts as cached there and announces the placement to the
// peers.
func (dispatcher *Dispatcher) addLoad(now time.Duration, row requestRow) {
	upstream := dispatcher.upstream(row.upstream)
	if upstream.load.Running == 0 {
		upstream.busySince = dispatcher.watched
	}
	upstream.load.Running++
	upstream.load.PrefillTokens += row.prefillTokens
	upstream.load.KVTokens += row.kvTokens(row.prefillTokens)
	if row.latencySensitive {
		upstream.load.LatencySensitive++
	}
	if parts := row.request.Prompt.Parts; len(parts) > 0 {
		dispatcher.announcePlacement(now, row, upstream)
		upstream = upstream.WithCache(dispatcher.kvCacheTokens(row.pool))
		upstream.cache.Add(parts)
	}
	dispatcher.upstreams.Put(row.upstream, upstream)
	dispatcher.totalLoads = nil
}

// removeLoad takes the request off the load of its upstream at the end of an
// attempt.
func (dispatcher *Dispatcher) removeLoad(row requestRow) {
	upstream := dispatcher.upstream(row.upstream)
	upstream.load.Running--
	if !row.firstByteReceived {
		upstream.load.PrefillTokens -= row.prefillTokens
	}
	upstream.load.KVTokens -= row.kvTokens(row.prefillTokens)
	if row.latencySensitive {
		upstream.load.LatencySensitive--
	}
	dispatcher.upstreams.Put(row.upstream, upstream)
	dispatcher.loadsChanged()
}
