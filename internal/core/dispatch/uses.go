package dispatch

import (
	"cmp"
	"slices"
	"time"

	"endivepost/internal/wire/message"
)

// allUses adds what the other entries last reported to this entry's own work.
func (dispatcher *Dispatcher) allUses() map[string]message.UpstreamLoad {
	if dispatcher.total != nil {
		return dispatcher.total
	}
	total := make(map[string]message.UpstreamLoad)
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		total[name] = row.use
	}
	for _, beat := range dispatcher.mesh.Heartbeats() {
		for _, use := range beat.Loads {
			sum := total[use.Upstream]
			sum.Running += use.Running
			sum.PrefillTokens += use.PrefillTokens
			sum.LatencySensitive += use.LatencySensitive
			sum.KVTokens += use.KVTokens
			total[use.Upstream] = sum
		}
	}
	dispatcher.total = total
	return total
}

// usesChanged drops the sum of all uses, and has the requests that wait for room
// looked at again.
func (dispatcher *Dispatcher) usesChanged() {
	dispatcher.total = nil
	dispatcher.freed = true
}

// uses returns this entry's own work in progress, in a fixed order.
func (dispatcher *Dispatcher) uses() []message.UpstreamLoad {
	var uses []message.UpstreamLoad
	for _, name := range dispatcher.upstreams.Keys() {
		if row, _ := dispatcher.upstreams.Get(name); row.use.Running > 0 {
			uses = append(uses, row.use)
		}
	}
	slices.SortFunc(uses, func(left, right message.UpstreamLoad) int { return cmp.Compare(left.Upstream, right.Upstream) })
	return uses
}

// occupy records that the request was sent to its upstream.
func (dispatcher *Dispatcher) occupy(now time.Duration, row requestRow) {
	held := dispatcher.upstream(row.upstream)
	if held.use.Running == 0 {
		held.busySince = now
	}
	held.use.Running++
	held.use.PrefillTokens += row.reading
	held.use.KVTokens += row.memory(row.reading)
	if row.urgent() {
		held.use.LatencySensitive++
	}
	if parts := row.request.Prompt.Parts; len(parts) > 0 {
		dispatcher.announce(now, row, held)
		held = held.WithMemory(dispatcher.cacheTokens(row.pool))
		held.kept.Add(parts)
	}
	dispatcher.upstreams.Put(row.upstream, held)
	dispatcher.total = nil
}

// release undoes occupy at the end of an attempt.
func (dispatcher *Dispatcher) release(row requestRow) {
	held := dispatcher.upstream(row.upstream)
	held.use.Running--
	if !row.answered {
		held.use.PrefillTokens -= row.reading
	}
	held.use.KVTokens -= row.memory(row.reading)
	if row.urgent() {
		held.use.LatencySensitive--
	}
	dispatcher.upstreams.Put(row.upstream, held)
	dispatcher.usesChanged()
}
