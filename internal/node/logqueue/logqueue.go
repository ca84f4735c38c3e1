// Package logqueue keeps a slow or stuck reader of the log from delaying work.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Queue is a writer that never blocks: lines go through a bounded queue to one
// goroutine. Lines that find it full are dropped and counted, and the count is
// written once there is room.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	target  io.Writer
}

// New returns a queue of at most bound lines in front of the target.
func New(target io.Writer, bound int) *Queue {
	queue := &Queue{lines: make(chan []byte, bound), done: make(chan struct{}), target: target}
	go queue.run()
	return queue
}

// Write implements io.Writer. It takes one line and never fails.
func (queue *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case queue.lines <- copied:
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes out what waits, at most for the timeout.
func (queue *Queue) Close(timeout time.Duration) {
	close(queue.lines)
	select {
	case <-queue.done:
	case <-time.After(timeout):
	}
}

func (queue *Queue) run() {
	defer close(queue.done)
	for line := range queue.lines {
		if dropped := queue.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(queue.target, "event=log-lines-dropped count=%d\n", dropped)
		}
		_, _ = queue.target.Write(line)
	}
}
