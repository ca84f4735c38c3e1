// Package timerqueue returns keys when their due time has come.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of keys by due time, with one due time per key. A step of
// a core takes the due keys only, so keys that are not due cost nothing. Times are
// the uptime of the process. The zero value is not usable; call New.
type Queue[K comparable] struct {
	items      itemHeap[K]
	byKey      map[K]*item[K]
	lastSerial uint64
}

// item is a key in the queue. Serial orders items with the same due time by their
// last Set, so that the order is deterministic. Position is the index in the heap.
type item[K comparable] struct {
	key      K
	due      time.Duration
	serial   uint64
	position int
}

// New returns an empty queue.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{byKey: make(map[K]*item[K])}
}

// Set sets the due time of the key and replaces an earlier one.
func (queue *Queue[K]) Set(key K, due time.Duration) {
	queue.lastSerial++
	if found, ok := queue.byKey[key]; ok {
		found.due = due
		found.serial = queue.lastSerial
		heap.Fix(&queue.items, found.position)
		return
	}
	added := &item[K]{key: key, due: due, serial: queue.lastSerial}
	queue.byKey[key] = added
	heap.Push(&queue.items, added)
}

// Remove removes the key, if it is queued.
func (queue *Queue[K]) Remove(key K) {
	found, ok := queue.byKey[key]
	if !ok {
		return
	}
	heap.Remove(&queue.items, found.position)
	delete(queue.byKey, key)
}

// Next returns the earliest due time, and false if the queue is empty.
func (queue *Queue[K]) Next() (time.Duration, bool) {
	if len(queue.items) == 0 {
		return 0, false
	}
	return queue.items[0].due, true
}

// PopDue removes and returns the keys that are due at or before now, earliest first.
func (queue *Queue[K]) PopDue(now time.Duration) []K {
	var due []K
	for len(queue.items) > 0 && queue.items[0].due <= now {
		popped, _ := heap.Pop(&queue.items).(*item[K])
		delete(queue.byKey, popped.key)
		due = append(due, popped.key)
	}
	return due
}

type itemHeap[K comparable] []*item[K]

func (items itemHeap[K]) Len() int { return len(items) }

func (items itemHeap[K]) Less(i, j int) bool {
	if items[i].due != items[j].due {
		return items[i].due < items[j].due
	}
	return items[i].serial < items[j].serial
}

func (items itemHeap[K]) Swap(i, j int) {
	items[i], items[j] = items[j], items[i]
	items[i].position = i
	items[j].position = j
}

// Push implements heap.Interface.
func (items *itemHeap[K]) Push(value any) {
	added, _ := value.(*item[K])
	added.position = len(*items)
	*items = append(*items, added)
}

// Pop implements heap.Interface.
func (items *itemHeap[K]) Pop() any {
	last := len(*items) - 1
	popped := (*items)[last]
	(*items)[last] = nil
	*items = (*items)[:last]
	return popped
}
