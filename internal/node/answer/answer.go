// Package answer hands the parts of an answer from the core to the goroutine
// that writes to the caller.
package answer

import (
	"context"
	"sync"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// Queue is a bounded queue of parts with one reader. Push never blocks: a
// caller who reads too slowly overflows it, and the request is cancelled.
type Queue struct {
	mutex    sync.Mutex
	parts    []message.Chunk
	bytes    int
	bound    int
	overflow bool
	finish   *event.Finish
	signal   chan struct{}
}

// New returns an answer that holds at most bound bytes unread.
func New(bound int) *Queue {
	return &Queue{bound: bound, signal: make(chan struct{}, 1)}
}

// Push appends a part and says whether it fits.
func (answer *Queue) Push(chunk message.Chunk) bool {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if answer.overflow || answer.bytes+len(chunk.Data) > answer.bound {
		answer.overflow = true
		return false
	}
	answer.bytes += len(chunk.Data)
	answer.parts = append(answer.parts, chunk)
	answer.wake()
	return true
}

// Finish records the final word.
func (answer *Queue) Finish(finish event.Finish) {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	answer.finish = &finish
	answer.wake()
}

// Next waits for parts or the final word; the parts come first. It returns the
// context's error if the caller goes first.
func (answer *Queue) Next(ctx context.Context) (parts []message.Chunk, finish *event.Finish, err error) {
	for {
		parts, finish = answer.take()
		if len(parts) > 0 || finish != nil {
			return parts, finish, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-answer.signal:
		}
	}
}

func (answer *Queue) take() ([]message.Chunk, *event.Finish) {
	answer.mutex.Lock()
	defer answer.mutex.Unlock()
	if len(answer.parts) == 0 {
		return nil, answer.finish
	}
	parts := answer.parts
	answer.parts = nil
	answer.bytes = 0
	return parts, nil
}

func (answer *Queue) wake() {
	select {
	case answer.signal <- struct{}{}:
	default:
	}
}
