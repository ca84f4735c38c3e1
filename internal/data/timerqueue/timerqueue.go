// Package agenda tells which rows of a table are due.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of keys by the time at which each is due. A system
// asks it for the due keys only, so a row that waits costs nothing on a tick.
// Times are the process's uptime.
type Queue[K comparable] struct {
	items itemHeap[K]
	index map[K]*item[K]
	next  uint64
}

type item[K comparable] struct {
	key    K
	due    time.Duration
	serial uint64
	place  int
}

// New returns an empty agenda.
func New[K comparable]() *Queue[K] {
	return &Queue[K]{index: make(map[K]*item[K])}
}

// Set makes the key due at the given time, in place of any earlier setting.
func (agenda *Queue[K]) Set(key K, due time.Duration) {
	agenda.next++
	if found, ok := agenda.index[key]; ok {
		found.due = due
		found.serial = agenda.next
		heap.Fix(&agenda.items, found.place)
		return
	}
	added := &item[K]{key: key, due: due, serial: agenda.next}
	agenda.index[key] = added
	heap.Push(&agenda.items, added)
}

// Remove drops the key, if it is there.
func (agenda *Queue[K]) Remove(key K) {
	found, ok := agenda.index[key]
	if !ok {
		return
	}
	heap.Remove(&agenda.items, found.place)
	delete(agenda.index, key)
}

// Next returns the earliest due time and whether there is one.
func (agenda *Queue[K]) Next() (time.Duration, bool) {
	if len(agenda.items) == 0 {
		return 0, false
	}
	return agenda.items[0].due, true
}

// PopDue removes and returns the keys due at or before now, earliest first.
func (agenda *Queue[K]) PopDue(now time.Duration) []K {
	var due []K
	for len(agenda.items) > 0 && agenda.items[0].due <= now {
		popped, _ := heap.Pop(&agenda.items).(*item[K])
		delete(agenda.index, popped.key)
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
	items[i].place = i
	items[j].place = j
}

// Push implements heap.Interface.
func (items *itemHeap[K]) Push(value any) {
	added, _ := value.(*item[K])
	added.place = len(*items)
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
