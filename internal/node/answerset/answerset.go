// Package answerset holds the responses in progress of one process and bounds the memory that they
// take together.
package answerset

import (
	"sync"
	"sync/atomic"

	"endivepost/internal/core/event"
	"endivepost/internal/node/answer"
	"endivepost/internal/wire/message"
)

// Set is the responses in progress by request. Its methods may be called concurrently.
type Set struct {
	mutex  sync.Mutex
	queues map[message.RequestID]*answer.Queue
	// total is the memory that all responses take, and max its bound, 0 for none.
	total atomic.Int64
	max   int64
}

// New returns a set without any response, which may take maxBytes, or any memory with 0.
func New(maxBytes int64) *Set {
	return &Set{queues: make(map[message.RequestID]*answer.Queue), max: maxBytes}
}

// Add returns the queue of a new response, of which at most capacity bytes may be unread. Remove
// must follow.
func (set *Set) Add(id message.RequestID, capacity int) *answer.Queue {
	queue := answer.New(capacity, &set.total)
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.queues[id] = queue
	return queue
}

// Remove frees what the response takes.
func (set *Set) Remove(id message.RequestID) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if queue, found := set.queues[id]; found {
		queue.Free()
		delete(set.queues, id)
	}
}

// Deliver adds a chunk to its response. It returns the requests that are not served any further:
// the one whose caller reads too slowly, and where there is no memory the one whose response takes most.
func (set *Set) Deliver(delivered event.Deliver) (ended []message.RequestID) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	queue, found := set.queues[delivered.ID]
	if !found {
		return nil
	}
	size := int64(message.MemorySize(delivered.Chunk))
	for set.max > 0 && set.total.Load()+size > set.max {
		largest, held := set.largest()
		if held == 0 {
			break
		}
		set.queues[largest].Cut()
		ended = append(ended, largest)
		if largest == delivered.ID {
			return ended
		}
	}
	if !queue.Push(delivered.Chunk) {
		ended = append(ended, delivered.ID)
	}
	return ended
}

// largest returns the request whose response takes the most memory, and how much.
func (set *Set) largest() (id message.RequestID, held int64) {
	for candidate, queue := range set.queues {
		if bytes := queue.Held(); bytes > held {
			id, held = candidate, bytes
		}
	}
	return id, held
}

// Finish sets the final outcome of a response.
func (set *Set) Finish(finished event.Finish) {
	set.mutex.Lock()
	queue, found := set.queues[finished.ID]
	set.mutex.Unlock()
	if found {
		queue.Finish(finished)
	}
}
