// Package fifo is the baseline queue order: first in, first out.
package fifo

import (
	"time"

	"endivepost/internal/policy/order"
)

// Queue implements order.Policy without regard to tiers.
type Queue[K comparable] struct {
	waiting []order.Item[K]
}

// New returns an empty queue.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{}
}

// Add implements order.Policy.
func (queue *Queue[K]) Add(_ time.Duration, item order.Item[K]) {
	queue.waiting = append(queue.waiting, item)
}

// Remove implements order.Policy.
func (queue *Queue[K]) Remove(key K) bool {
	for i, item := range queue.waiting {
		if item.Key == key {
			queue.waiting = append(queue.waiting[:i], queue.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Pick implements order.Policy.
func (queue *Queue[K]) Pick(_ time.Duration, skip func(order.Item[K]) bool) (order.Item[K], bool) {
	for _, item := range queue.waiting {
		if skip != nil && skip(item) {
			continue
		}
		queue.Remove(item.Key)
		return item, true
	}
	var none order.Item[K]
	return none, false
}

// Victim implements order.Policy. It never evicts a queued item.
func (queue *Queue[K]) Victim(int) (order.Item[K], bool) {
	var none order.Item[K]
	return none, false
}

// Ahead implements order.Policy.
func (queue *Queue[K]) Ahead(int) int {
	return len(queue.waiting)
}

// Fits implements order.Policy.
func (queue *Queue[K]) Fits(_ order.Item[K], capacity int) bool {
	return len(queue.waiting) < capacity
}
