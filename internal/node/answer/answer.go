// Package answer passes the chunks of a response from the core to the goroutine that writes
// to the caller.
package answer

import (
	"context"
	"sync"
	"sync/atomic"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// Queue is a bounded queue of the chunks of one response, with one reader. Push never
// blocks: if a caller reads so slowly that the queue overflows, it returns false, and the
// entry cancels the request.
type Queue struct {
	mutex      sync.Mutex
	chunks     []message.Chunk
	bytes      int
	capacity   int
	overflowed bool
	finish     *event.Finish
	signal     chan struct{}
	// held is the memory of the chunks that were pushed, until the reader frees it. Total is that
	// of all queues that share it.
	held  int64
	total *atomic.Int64
	cut   bool
}

// New returns a queue that holds at most capacity bytes of data that were not read yet. The
// memory that it takes is added to the total.
func New(capacity int, total *atomic.Int64) *Queue {
	return &Queue{capacity: capacity, total: total, signal: make(chan struct{}, 1)}
}

// Push appends a chunk. It returns false, without appending, if the queue overflows or has
// overflowed before.
func (queue *Queue) Push(chunk message.Chunk) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.overflowed || queue.bytes+len(chunk.Data) > queue.capacity {
		queue.overflowed = true
		return false
	}
	queue.bytes += len(chunk.Data)
	queue.chunks = append(queue.chunks, chunk)
	queue.hold(int64(message.MemorySize(chunk)))
	queue.wake()
	return true
}

func (queue *Queue) hold(bytes int64) {
	queue.held += bytes
	queue.total.Add(bytes)
}

// Held returns the memory that the response takes.
func (queue *Queue) Held() int64 {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.held
}

// FreeRead records that the reader no longer needs the chunks that it has read.
func (queue *Queue) FreeRead() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	unread := int64(0)
	for _, chunk := range queue.chunks {
		unread += int64(message.MemorySize(chunk))
	}
	queue.hold(unread - queue.held)
}

// Free records that nothing of the response is needed any more.
func (queue *Queue) Free() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.drop()
}

// Cut ends the response as incomplete, since there is no memory for more of it.
func (queue *Queue) Cut() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.cut = true
	queue.overflowed = true
	queue.finish = &event.Finish{Outcome: message.Incomplete, Reason: message.TooLarge}
	queue.drop()
	queue.wake()
}

// drop drops the chunks that were not read.
func (queue *Queue) drop() {
	queue.chunks = nil
	queue.bytes = 0
	queue.hold(-queue.held)
}

// Finish sets the final outcome, which ends the response.
func (queue *Queue) Finish(finish event.Finish) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.cut {
		return
	}
	queue.finish = &finish
	queue.wake()
}

// Next waits for and returns all queued chunks, with a nil finish, or the final outcome once
// there are no more chunks. The error is the context's.
func (queue *Queue) Next(ctx context.Context) (chunks []message.Chunk, finish *event.Finish, err error) {
	for {
		chunks, finish = queue.take()
		if len(chunks) > 0 || finish != nil {
			return chunks, finish, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-queue.signal:
		}
	}
}

func (queue *Queue) take() ([]message.Chunk, *event.Finish) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if len(queue.chunks) == 0 {
		return nil, queue.finish
	}
	chunks := queue.chunks
	queue.chunks = nil
	queue.bytes = 0
	return chunks, nil
}

// wake ends a wait of Next, now or when it next waits. One pending signal is enough.
func (queue *Queue) wake() {
	select {
	case queue.signal <- struct{}{}:
	default:
	}
}
