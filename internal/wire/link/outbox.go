package link

import (
	"context"
	"sync"

	"endivepost/internal/wire/message"
)

// outbox is a bounded queue with one reader. Unlike a buffered channel it takes
// memory only for the messages in it: a process has hundreds of connections, and
// nearly all are idle. The capacity is in bytes: many small messages at once, as the rest
// of many responses, are no sign of a peer that does not read. The counts unsent and
// unsentBytes include the messages that were taken and are not written yet. The channel filled holds a value after a push until the reader
// receives it. Shrunk is signalled after each written message and when the outbox is closed.
type outbox struct {
	mutex       sync.Mutex
	queued      []message.Message
	unsent      int
	unsentBytes int
	capacity    int
	filled      chan struct{}
	shrunk      *sync.Cond
	closed      bool
}

// newOutbox returns an outbox that holds messages of at most capacity bytes.
func newOutbox(capacity int) *outbox {
	created := &outbox{capacity: capacity, filled: make(chan struct{}, 1)}
	created.shrunk = sync.NewCond(&created.mutex)
	return created
}

// push appends a message. It returns false if the outbox is full.
func (outbox *outbox) push(body message.Message) bool {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	size := message.MemorySize(body)
	if outbox.unsentBytes+size > outbox.capacity {
		return false
	}
	outbox.queued = append(outbox.queued, body)
	outbox.unsent++
	outbox.unsentBytes += size
	select {
	case outbox.filled <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns all queued messages. They count as unsent until written
// is called for each.
func (outbox *outbox) take() []message.Message {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	taken := outbox.queued
	outbox.queued = nil
	return taken
}

// written records that the message, one of those that take returned, was written to the
// connection.
func (outbox *outbox) written(body message.Message) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	outbox.unsent--
	outbox.unsentBytes -= message.MemorySize(body)
	outbox.shrunk.Broadcast()
}

// close ends all waits.
func (outbox *outbox) close() {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	outbox.closed = true
	outbox.shrunk.Broadcast()
}

// await waits until at most the given number of bytes are unsent, the outbox is closed or the
// context is done.
func (outbox *outbox) await(ctx context.Context, bytes int) {
	stop := context.AfterFunc(ctx, func() {
		outbox.mutex.Lock()
		defer outbox.mutex.Unlock()
		outbox.shrunk.Broadcast()
	})
	defer stop()
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	for outbox.unsentBytes > bytes && !outbox.closed && ctx.Err() == nil {
		outbox.shrunk.Wait()
	}
}

// pending returns the number of messages not yet written to the connection.
func (outbox *outbox) pending() int {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	return outbox.unsent
}
