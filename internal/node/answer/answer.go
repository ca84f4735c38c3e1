// Package answer passes the chunks of a response from the core to the goroutine that writes
// to the caller.
package answer

import (
	"context"
	"sync"

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
}

// New returns a queue that holds at most capacity bytes of data that were not read yet.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, signal: make(chan struct{}, 1)}
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
	queue.wake()
	return true
}

// Finish sets the final outcome, which ends the response.
func (queue *Queue) Finish(finish event.Finish) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
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
