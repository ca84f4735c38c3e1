package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/dedicated"
	"endivepost/internal/policy/rendezvous"
)

// poolView is what a step believes of a pool as a whole. It is made once a step,
// since a step may choose for many waiting requests.
type poolView struct {
	usable   []event.Upstream
	outliers map[string]bool
	// apart are the engines that are set apart for urgent streams.
	apart map[string]bool
}

func (dispatcher *Dispatcher) view(now time.Duration, pool string) poolView {
	if found, ok := dispatcher.views[pool]; ok {
		return found
	}
	usable := dispatcher.roster.InPool(now, pool)
	names := make([]string, len(usable))
	for i, upstream := range usable {
		names[i] = upstream.Name
	}
	made := poolView{
		usable:   usable,
		outliers: dispatcher.rates.Outliers(now, names),
		apart:    dispatcher.apart(now, pool, names),
	}
	dispatcher.views[pool] = made
	return made
}

// apart returns the engines of the pool that are set apart for urgent streams.
// All entries rank the engines alike and hear of each other's streams, so they
// agree without talking but for the last one or two.
func (dispatcher *Dispatcher) apart(now time.Duration, pool string, names []string) map[string]bool {
	uses := dispatcher.allUses()
	urgent := 0
	for _, name := range names {
		urgent += uses[name].LatencySensitive
	}
	size := dispatcher.split(pool).Size(now, dedicated.Load{LatencySensitive: urgent, Engines: len(names)})
	apart := make(map[string]bool, size)
	if size == 0 {
		return apart
	}
	for _, name := range rendezvous.Rank([]byte(pool), names)[:size] {
		apart[name] = true
	}
	return apart
}

func (dispatcher *Dispatcher) split(pool string) *dedicated.Sizer {
	found, ok := dispatcher.splits[pool]
	if !ok {
		found = dedicated.New()
		dispatcher.splits[pool] = found
	}
	return found
}
