package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/dedicated"
	"endivepost/internal/policy/rendezvous"
)

// poolSnapshot is the state of a pool during one step. It is computed once per
// step, since a step may choose upstreams for many waiting requests.
type poolSnapshot struct {
	usable   []event.Upstream
	outliers map[string]bool
	// dedicated are the engines that serve latency-sensitive streams by preference.
	dedicated map[string]bool
}

func (dispatcher *Dispatcher) pool(now time.Duration, pool string) poolSnapshot {
	if found, ok := dispatcher.pools[pool]; ok {
		return found
	}
	usable := dispatcher.membership.InPool(now, pool)
	names := make([]string, len(usable))
	for i, upstream := range usable {
		names[i] = upstream.Name
	}
	snapshot := poolSnapshot{
		usable:    usable,
		outliers:  dispatcher.outliers.Outliers(now, names),
		dedicated: dispatcher.dedicatedEngines(now, pool, names),
	}
	dispatcher.pools[pool] = snapshot
	return snapshot
}

// dedicatedEngines returns the pool's engines that are dedicated to
// latency-sensitive streams. All entries rank the engines in the same order and
// receive each other's loads, so without further coordination they disagree by one
// or two engines at most.
func (dispatcher *Dispatcher) dedicatedEngines(now time.Duration, pool string, names []string) map[string]bool {
	loads := dispatcher.allLoads()
	latencySensitive := 0
	for _, name := range names {
		latencySensitive += loads[name].LatencySensitive
	}
	size := dispatcher.sizer(pool).Size(now, dedicated.Load{
		LatencySensitive: latencySensitive, Engines: len(names), StreamsPerEngine: dispatcher.streamsPerEngine(pool),
	})
	engines := make(map[string]bool, size)
	if size == 0 {
		return engines
	}
	for _, name := range rendezvous.Rank([]byte(pool), names)[:size] {
		engines[name] = true
	}
	return engines
}

// streamsPerEngine returns how many latency-sensitive streams a dedicated engine of the
// pool runs within their target.
func (dispatcher *Dispatcher) streamsPerEngine(pool string) int {
	found, _ := dispatcher.config.Document().Pool(pool)
	perToken := dispatcher.classifier(pool).Strictest() / time.Duration(dispatcher.tokensPerEvent(pool))
	return dedicated.StreamsPerEngine(perToken, found.Engine.Batch)
}

func (dispatcher *Dispatcher) sizer(pool string) *dedicated.Sizer {
	return findOrAdd(dispatcher.sizers, pool, dedicated.New)
}

// findOrAdd returns the value at the key, and adds a new one if there is none.
func findOrAdd[K comparable, V any](values map[K]V, key K, newValue func() V) V {
	found, ok := values[key]
	if !ok {
		found = newValue()
		values[key] = found
	}
	return found
}
