// Package tiered orders queued requests by tier, with a minimum share for classes
// that wait too long and fair shares for client accounts.
package tiered

import (
	"sort"
	"time"

	"endivepost/internal/policy/order"
)

// Queue implements order.Policy with one queue per class and account. The highest
// tier goes first. Strict priority alone would starve the lower tiers in a lasting
// burst. A minimum share, the floor, prevents that: once a class has waited for
// Floor.Wait, its first item is picked before those of higher tiers. This happens at
// most once in Floor.Every picks. With N waiting classes, the first item of each is
// picked within N x Floor.Every further picks. Running requests are not interrupted.
//
// Within a tier, the class with the least work served goes first, and within a class
// the account with the least. The served work of a class or account that had no queued
// items is raised to the least of the others, so being idle earns no credit. A pick
// costs one pass over the class queues and one over the items of each class queue that
// it tries.
type Queue[K comparable] struct {
	floorWait       time.Duration
	floorEvery      int
	picksSinceFloor int
	classQueues     []*classQueue[K]
	items           map[K]*queuedItem[K]
}

// Floor is the anti-starvation rule for classes below a busy tier. The classes that
// have waited for Wait get one of Every picks, shared among them. With Every 0 there is
// no floor.
type Floor struct {
	Wait  time.Duration
	Every int
}

// queuedItem is an item with the account queue that holds it.
type queuedItem[K comparable] struct {
	item  order.Item[K]
	queue *accountQueue[K]
}

// classQueue holds the items of one class and tier. Since is the time of its last
// pick, or of its first item after it was empty. Served is the work of the items picked
// from it; an item added to the empty queue raises it to the least of the other classes
// of its tier. Count is the number of queued items.
type classQueue[K comparable] struct {
	tier     int
	class    string
	since    time.Duration
	served   float64
	count    int
	accounts []*accountQueue[K]
}

// accountQueue holds the keys of one account in a class queue, oldest first. Served
// is the work of the items picked from it; an item added to the empty queue raises it to
// the least of the other accounts.
type accountQueue[K comparable] struct {
	classQueue *classQueue[K]
	name       string
	served     float64
	waiting    []K
}

// New returns an empty queue. A Floor with Every 0 means strict priority.
func New[K comparable](floor Floor) *Queue[K] {
	return &Queue[K]{floorWait: floor.Wait, floorEvery: floor.Every, items: make(map[K]*queuedItem[K])}
}

// Add implements order.Policy.
func (queue *Queue[K]) Add(now time.Duration, item order.Item[K]) {
	classQueue := queue.classQueueFor(item.Tier, item.Class)
	if classQueue.count == 0 {
		classQueue.since = now
		classQueue.served = max(classQueue.served, queue.leastServed(classQueue))
	}
	account := classQueue.accountFor(item.Account)
	if len(account.waiting) == 0 {
		account.served = max(account.served, classQueue.leastServed(account))
	}
	account.waiting = append(account.waiting, item.Key)
	classQueue.count++
	queue.items[item.Key] = &queuedItem[K]{item: item, queue: account}
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
	queue.picksSinceFloor++
	if queue.floorEvery > 0 && queue.picksSinceFloor >= queue.floorEvery {
		if item, ok := queue.pickFrom(queue.overdue(now), now, skip); ok {
			queue.picksSinceFloor = 0
			return item, true
		}
	}
	item, ok := queue.pickFrom(queue.byTier(), now, skip)
	if !ok {
		queue.picksSinceFloor--
	}
	return item, ok
}

// Victim implements order.Policy. Of the classes below the tier of the new item that
// have two or more queued items, it takes the first of the lowest tier, and returns the
// newest item of the account with the most. One item of each class has a reserved slot
// and is never evicted, or a class could starve before the floor applies to it.
func (queue *Queue[K]) Victim(tier int) (order.Item[K], bool) {
	var lowest *classQueue[K]
	for _, classQueue := range queue.classQueues {
		if classQueue.tier <= tier || classQueue.count < 2 {
			continue
		}
		if lowest == nil || classQueue.tier > lowest.tier {
			lowest = classQueue
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
	for _, classQueue := range queue.classQueues {
		if classQueue.tier <= tier {
			ahead += classQueue.count
		}
	}
	return ahead
}

// Fits implements order.Policy. Each class has one reserved slot, which does not
// count against the capacity. Otherwise a queue full of higher tiers would keep a
// lower class out for ever, and the floor could not apply to it.
func (queue *Queue[K]) Fits(item order.Item[K], capacity int) bool {
	counted := len(queue.items)
	for _, classQueue := range queue.classQueues {
		if classQueue.count > 0 {
			counted--
		}
	}
	return counted < capacity || queue.classQueueFor(item.Tier, item.Class).count == 0
}

// classQueueFor returns the queue of the class and tier. If there is none, it adds an
// empty one.
func (queue *Queue[K]) classQueueFor(tier int, class string) *classQueue[K] {
	for _, classQueue := range queue.classQueues {
		if classQueue.tier == tier && classQueue.class == class {
			return classQueue
		}
	}
	added := &classQueue[K]{tier: tier, class: class}
	queue.classQueues = append(queue.classQueues, added)
	return added
}

// leastServed returns the least work served among the other classes of the same
// tier with queued items, 0 if there are none.
func (queue *Queue[K]) leastServed(newcomer *classQueue[K]) float64 {
	least, found := 0.0, false
	for _, classQueue := range queue.classQueues {
		if classQueue == newcomer || classQueue.tier != newcomer.tier || classQueue.count == 0 {
			continue
		}
		if !found || classQueue.served < least {
			least, found = classQueue.served, true
		}
	}
	return least
}

// overdue returns the class queues that the floor applies to, longest wait first.
func (queue *Queue[K]) overdue(now time.Duration) []*classQueue[K] {
	var classQueues []*classQueue[K]
	for _, classQueue := range queue.classQueues {
		if classQueue.count > 0 && now-classQueue.since >= queue.floorWait {
			classQueues = append(classQueues, classQueue)
		}
	}
	sort.SliceStable(classQueues, func(i, j int) bool { return classQueues[i].since < classQueues[j].since })
	return classQueues
}

// byTier returns the class queues with items by tier, then by work served.
func (queue *Queue[K]) byTier() []*classQueue[K] {
	var classQueues []*classQueue[K]
	for _, classQueue := range queue.classQueues {
		if classQueue.count > 0 {
			classQueues = append(classQueues, classQueue)
		}
	}
	sort.SliceStable(classQueues, func(i, j int) bool {
		if classQueues[i].tier != classQueues[j].tier {
			return classQueues[i].tier < classQueues[j].tier
		}
		return classQueues[i].served < classQueues[j].served
	})
	return classQueues
}

func (queue *Queue[K]) pickFrom(classQueues []*classQueue[K], now time.Duration, skip func(order.Item[K]) bool) (order.Item[K], bool) {
	for _, classQueue := range classQueues {
		for _, waiting := range queue.inOrder(now, classQueue) {
			if skip != nil && skip(waiting.item) {
				continue
			}
			queue.Remove(waiting.item.Key)
			classQueue.serve(now, waiting.queue, waiting.item.Work)
			return waiting.item, true
		}
	}
	var none order.Item[K]
	return none, false
}

// inOrder returns the items of a class queue in the order in which they run. Items
// that can still meet their target go first: in a queue that is longer than the
// target, first-in first-out order would make all items late.
func (queue *Queue[K]) inOrder(now time.Duration, classQueue *classQueue[K]) []*queuedItem[K] {
	var inTime, late []*queuedItem[K]
	for _, account := range classQueue.byServed() {
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

func (classQueue *classQueue[K]) serve(now time.Duration, account *accountQueue[K], work float64) {
	classQueue.since = now
	classQueue.served += work
	account.served += work
}

// accountFor returns the queue of the account. If there is none, it adds an empty one.
func (classQueue *classQueue[K]) accountFor(name string) *accountQueue[K] {
	for _, account := range classQueue.accounts {
		if account.name == name {
			return account
		}
	}
	added := &accountQueue[K]{classQueue: classQueue, name: name}
	classQueue.accounts = append(classQueue.accounts, added)
	return added
}

// leastServed returns the least work served among the other accounts with queued items,
// 0 if there are none.
func (classQueue *classQueue[K]) leastServed(newcomer *accountQueue[K]) float64 {
	least, found := 0.0, false
	for _, account := range classQueue.accounts {
		if account == newcomer || len(account.waiting) == 0 {
			continue
		}
		if !found || account.served < least {
			least, found = account.served, true
		}
	}
	return least
}

// byServed returns the accounts with queued items, least served first.
func (classQueue *classQueue[K]) byServed() []*accountQueue[K] {
	var accounts []*accountQueue[K]
	for _, account := range classQueue.accounts {
		if len(account.waiting) > 0 {
			accounts = append(accounts, account)
		}
	}
	sort.SliceStable(accounts, func(i, j int) bool { return accounts[i].served < accounts[j].served })
	return accounts
}

// newestOfLongest returns the newest item of the account with the most queued items.
func (classQueue *classQueue[K]) newestOfLongest() K {
	longest := classQueue.accounts[0]
	for _, account := range classQueue.accounts {
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
			account.classQueue.count--
			return
		}
	}
}
