// Package order defines how waiting requests are put in order.
package order

import "time"

// Policy is a queue of keys. Implementations differ in whom they pick next and
// whom they give up when the queue is full.
type Policy[K comparable] interface {
	// Add appends an item that is not in the queue yet.
	Add(now time.Duration, item Item[K])
	// Remove drops the key and says whether it was there.
	Remove(key K) bool
	// Pick removes and returns the item to run next. Skip leaves an item where
	// it is; nil skips none.
	Pick(now time.Duration, skip func(Item[K]) bool) (Item[K], bool)
	// Victim returns the item to give up for an arrival of the tier, or false
	// if the arrival itself is to be refused.
	Victim(tier int) (Item[K], bool)
	// Ahead returns how many items would run before a new one of the tier.
	Ahead(tier int) int
	// Fits says whether an item may be added to a queue of the given bound
	// without giving up another.
	Fits(item Item[K], bound int) bool
}

// Item is a waiting request. Tier 1 is the highest; Work is in tokens.
type Item[K comparable] struct {
	Key     K
	Tier    int
	Class   string
	Account string
	Work    float64
	// SendBy is when the item can no longer meet its target, 0 if it has none.
	SendBy time.Duration
}

// Late says whether the item can no longer meet its target.
func (item Item[K]) Late(now time.Duration) bool {
	return item.SendBy > 0 && now >= item.SendBy
}
