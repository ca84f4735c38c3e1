// Package order defines the order in which queued requests run.
package order

import "time"

// Policy is a queue of items by key. Implementations differ in which item runs
// next and which one is evicted when the queue is full.
type Policy[K comparable] interface {
	// Add appends an item whose key is not in the queue yet.
	Add(now time.Duration, item Item[K])
	// Remove drops the key and returns whether it was queued.
	Remove(key K) bool
	// Pick removes and returns the item to run next, and false if there is none.
	// Items for which skip returns true stay in the queue; a nil skip skips none.
	Pick(now time.Duration, skip func(Item[K]) bool) (Item[K], bool)
	// Victim returns the item to evict for a new item of the given tier, and false
	// if the new item is to be refused instead. It does not remove the victim.
	Victim(tier int) (Item[K], bool)
	// Ahead returns how many items would run before a new one of the given tier.
	Ahead(tier int) int
	// Fits returns whether an item may be added to a queue of the given capacity
	// without evicting another.
	Fits(item Item[K], capacity int) bool
}

// Item is a queued request. Tier 1 is the highest. Work is the cost of running the
// request, in one unit for all items of a queue: 1 per request, or the prompt tokens
// that the upstream has not cached.
type Item[K comparable] struct {
	Key     K
	Tier    int
	Class   string
	Account string
	Work    float64
	// SendBy is the latest time at which the request can be sent and still meet
	// its target; 0 if it has no target.
	SendBy time.Duration
}

// Late returns whether it is too late to meet the item's target.
func (item Item[K]) Late(now time.Duration) bool {
	return item.SendBy > 0 && now >= item.SendBy
}
