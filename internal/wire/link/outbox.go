package link

import (
	"sync"

	"endivepost/internal/wire/message"
)

// outbox is a bounded queue with one reader that takes memory only for what
// waits in it: a process holds hundreds of connections, and nearly all are idle.
type outbox struct {
	mutex   sync.Mutex
	waiting []message.Message
	unsent  int
	bound   int
	filled  chan struct{}
}

func newOutbox(bound int) *outbox {
	return &outbox{bound: bound, filled: make(chan struct{}, 1)}
}

// push appends a message and says whether there was room.
func (outbox *outbox) push(body message.Message) bool {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if outbox.unsent >= outbox.bound {
		return false
	}
	outbox.waiting = append(outbox.waiting, body)
	outbox.unsent++
	select {
	case outbox.filled <- struct{}{}:
	default:
	}
	return true
}

// take returns all that waits.
func (outbox *outbox) take() []message.Message {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	taken := outbox.waiting
	outbox.waiting = nil
	return taken
}

// written records that one message that was taken has been written.
func (outbox *outbox) written() {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	outbox.unsent--
}

// pending returns the number of messages not written yet.
func (outbox *outbox) pending() int {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	return outbox.unsent
}
