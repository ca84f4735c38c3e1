// Package tiered orders requests by tier, with a floor for classes that wait
// and fair shares for client accounts.
package tiered

import (
	"sort"
	"time"

	"endivepost/internal/policy/order"
)

// Queue implements order.Policy. The highest tier goes first. Bare strict order
// would starve the lower tiers in a lasting burst, so a class that has waited
// for FloorWait gains a right to a freed slot, at most once in FloorEvery picks.
// With L waiting classes, the head of each is picked within FloorEvery x L picks
// from then on. The floor never takes a slot that is in use.
//
// Within a tier, the class and then the account with the least work served goes
// first; one that was idle starts at the level of the least served, so idleness
// earns no credit. A pick costs one pass over the lanes, not over the items.
type Queue[K comparable] struct {
	floorWait  time.Duration
	floorEvery int
	sinceFloor int
	lanes      []*lane[K]
	items      map[K]*entry[K]
}

// Floor bounds the wait of a class under pressure from higher tiers.
type Floor struct {
	Wait  time.Duration
	Every int
}

type entry[K comparable] struct {
	item  order.Item[K]
	queue *accountQueue[K]
}

type lane[K comparable] struct {
	tier     int
	class    string
	since    time.Duration
	served   float64
	count    int
	accounts []*accountQueue[K]
}

type accountQueue[K comparable] struct {
	lane    *lane[K]
	account string
	served  float64
	waiting []K
}

// New returns an empty queue. A Floor with Every 0 has no floor: strict order.
func New[K comparable](floor Floor) *Queue[K] {
	return &Queue[K]{floorWait: floor.Wait, floorEvery: floor.Every, items: make(map[K]*entry[K])}
}

// Add implements order.Policy.
func (queue *Queue[K]) Add(now time.Duration, item order.Item[K]) {
	lane := queue.laneFor(item.Tier, item.Class)
	if lane.count == 0 {
		lane.since = now
		lane.served = max(lane.served, queue.leastServed(lane))
	}
	account := lane.accountFor(item.Account)
	if len(account.waiting) == 0 {
		account.served = max(account.served, lane.leastServed(account))
	}
	account.waiting = append(account.waiting, item.Key)
	lane.count++
	queue.items[item.Key] = &entry[K]{item: item, queue: account}
}

// Remove implements order.Policy.
func (queue *Queue[K]) Remove(key K) bool {
	found, ok := queue.items[key]
	if !ok {
		return false
	}
	delete(queue.items, key)
	found.queue.remove(key)
	return true
}

// Pick implements order.Policy.
func (queue *Queue[K]) Pick(now time.Duration, skip func(order.Item[K]) bool) (order.Item[K], bool) {
	queue.sinceFloor++
	if queue.floorEvery > 0 && queue.sinceFloor >= queue.floorEvery {
		if item, ok := queue.pickFrom(queue.overdue(now), now, skip); ok {
			queue.sinceFloor = 0
			return item, true
		}
	}
	item, ok := queue.pickFrom(queue.byTier(), now, skip)
	if !ok {
		queue.sinceFloor--
	}
	return item, ok
}

// Victim implements order.Policy: the newest item of the lowest tier below the
// arrival's. The first item of each lane stands in a place of its own and is
// never given up, or a class could starve before it reaches the floor.
func (queue *Queue[K]) Victim(tier int) (order.Item[K], bool) {
	var lowest *lane[K]
	for _, lane := range queue.lanes {
		if lane.tier <= tier || lane.count < 2 {
			continue
		}
		if lowest == nil || lane.tier > lowest.tier {
			lowest = lane
		}
	}
	if lowest == nil {
		var none order.Item[K]
		return none, false
	}
	return queue.items[lowest.newestOfLongest()].item, true
}

// Ahead implements order.Policy.
func (queue *Queue[K]) Ahead(tier int) int {
	ahead := 0
	for _, lane := range queue.lanes {
		if lane.tier <= tier {
			ahead += lane.count
		}
	}
	return ahead
}

// Fits implements order.Policy. Each class has one place of its own, which does
// not count against the bound: a full queue of higher tiers would else keep a
// lower class out for ever, before the floor can help it.
func (queue *Queue[K]) Fits(item order.Item[K], bound int) bool {
	counted := len(queue.items)
	for _, lane := range queue.lanes {
		if lane.count > 0 {
			counted--
		}
	}
	return counted < bound || queue.laneFor(item.Tier, item.Class).count == 0
}

func (queue *Queue[K]) laneFor(tier int, class string) *lane[K] {
	for _, lane := range queue.lanes {
		if lane.tier == tier && lane.class == class {
			return lane
		}
	}
	added := &lane[K]{tier: tier, class: class}
	queue.lanes = append(queue.lanes, added)
	return added
}

// leastServed returns the lowest served work among the waiting lanes of the
// same tier.
func (queue *Queue[K]) leastServed(newcomer *lane[K]) float64 {
	least, found := 0.0, false
	for _, lane := range queue.lanes {
		if lane == newcomer || lane.tier != newcomer.tier || lane.count == 0 {
			continue
		}
		if !found || lane.served < least {
			least, found = lane.served, true
		}
	}
	return least
}

// overdue returns the lanes that have waited for the floor, longest first.
func (queue *Queue[K]) overdue(now time.Duration) []*lane[K] {
	var lanes []*lane[K]
	for _, lane := range queue.lanes {
		if lane.count > 0 && now-lane.since >= queue.floorWait {
			lanes = append(lanes, lane)
		}
	}
	sort.SliceStable(lanes, func(i, j int) bool { return lanes[i].since < lanes[j].since })
	return lanes
}

// byTier returns the waiting lanes by tier, then by work served.
func (queue *Queue[K]) byTier() []*lane[K] {
	var lanes []*lane[K]
	for _, lane := range queue.lanes {
		if lane.count > 0 {
			lanes = append(lanes, lane)
		}
	}
	sort.SliceStable(lanes, func(i, j int) bool {
		if lanes[i].tier != lanes[j].tier {
			return lanes[i].tier < lanes[j].tier
		}
		return lanes[i].served < lanes[j].served
	})
	return lanes
}

func (queue *Queue[K]) pickFrom(lanes []*lane[K], now time.Duration, skip func(order.Item[K]) bool) (order.Item[K], bool) {
	for _, lane := range lanes {
		for _, waiting := range queue.inOrder(now, lane) {
			if skip != nil && skip(waiting.item) {
				continue
			}
			queue.Remove(waiting.item.Key)
			lane.serve(now, waiting.queue, waiting.item.Work)
			return waiting.item, true
		}
	}
	var none order.Item[K]
	return none, false
}

// inOrder returns the items of a lane in the order in which they run. Those that
// can still meet their target go first: in a queue that is longer than the target
// all would be late otherwise.
func (queue *Queue[K]) inOrder(now time.Duration, lane *lane[K]) []*entry[K] {
	var inTime, late []*entry[K]
	for _, account := range lane.byService() {
		for _, key := range account.waiting {
			found := queue.items[key]
			if found.item.Late(now) {
				late = append(late, found)
				continue
			}
			inTime = append(inTime, found)
		}
	}
	return append(inTime, late...)
}

func (lane *lane[K]) serve(now time.Duration, account *accountQueue[K], work float64) {
	lane.since = now
	lane.served += work
	account.served += work
}

func (lane *lane[K]) accountFor(name string) *accountQueue[K] {
	for _, account := range lane.accounts {
		if account.account == name {
			return account
		}
	}
	added := &accountQueue[K]{lane: lane, account: name}
	lane.accounts = append(lane.accounts, added)
	return added
}

func (lane *lane[K]) leastServed(newcomer *accountQueue[K]) float64 {
	least, found := 0.0, false
	for _, account := range lane.accounts {
		if account == newcomer || len(account.waiting) == 0 {
			continue
		}
		if !found || account.served < least {
			least, found = account.served, true
		}
	}
	return least
}

// byService returns the accounts that wait, least served first.
func (lane *lane[K]) byService() []*accountQueue[K] {
	var accounts []*accountQueue[K]
	for _, account := range lane.accounts {
		if len(account.waiting) > 0 {
			accounts = append(accounts, account)
		}
	}
	sort.SliceStable(accounts, func(i, j int) bool { return accounts[i].served < accounts[j].served })
	return accounts
}

// newestOfLongest returns the last item of the account that waits with most.
func (lane *lane[K]) newestOfLongest() K {
	longest := lane.accounts[0]
	for _, account := range lane.accounts {
		if len(account.waiting) > len(longest.waiting) {
			longest = account
		}
	}
	return longest.waiting[len(longest.waiting)-1]
}

func (account *accountQueue[K]) remove(key K) {
	for i, waiting := range account.waiting {
		if waiting == key {
			account.waiting = append(account.waiting[:i], account.waiting[i+1:]...)
			account.lane.count--
			return
		}
	}
}
