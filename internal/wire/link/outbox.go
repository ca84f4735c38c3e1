package link

import (
	"sync"

	"endivepost/internal/wire/message"
)

// outbox is a bounded queue with one reader. Unlike a buffered channel it takes
// memory only for the messages in it: a process has hundreds of connections, and
// nearly all are idle. The capacity is in bytes: many small messages at once, as the rest
// of many responses, are no sign of a peer that does not read. The counts unsent and
// unsentBytes include the messages that were taken and are not written yet. The channel filled holds a value after a push until the reader
// receives it.
type outbox struct {
	mutex       sync.Mutex
	queued      []message.Message
	unsent      int
	unsentBytes int
	capacity    int
	filled      chan struct{}
}

// newOutbox returns an outbox that holds messages of at most capacity bytes.
func newOutbox(capacity int) *outbox {
	return &outbox{capacity: capacity, filled: make(chan struct{}, 1)}
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
}

// pending returns the number of messages not yet written to the connection.
func (outbox *outbox) pending() int {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	return outbox.unsent
}
