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
	lines chan []byte
	// dropped counts the lines that the log does not tell of yet, total all.
	dropped atomic.Int64
	total   atomic.Int64
	closing chan struct{}
	done    chan struct{}
	target  io.Writer
}

// New returns a queue of at most bound lines in front of the target.
func New(target io.Writer, bound int) *Queue {
	queue := &Queue{lines: make(chan []byte, bound), closing: make(chan struct{}), done: make(chan struct{}), target: target}
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
		queue.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (queue *Queue) Dropped() int64 {
	return queue.total.Load()
}

// Close writes out what waits, at most for the timeout. What is written later is
// lost.
func (queue *Queue) Close(timeout time.Duration) {
	close(queue.closing)
	select {
	case <-queue.done:
	case <-time.After(timeout):
	}
}

func (queue *Queue) run() {
	defer close(queue.done)
	for {
		select {
		case line := <-queue.lines:
			queue.put(line)
			continue
		default:
		}
		select {
		case line := <-queue.lines:
			queue.put(line)
		case <-queue.closing:
			return
		}
	}
}

// put writes a line, and before it how many were dropped. There is nobody to tell
// that standard output fails.
func (queue *Queue) put(line []byte) {
	if dropped := queue.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(queue.target, "event=log-lines-dropped count=%d\n", dropped)
	}
	_, _ = queue.target.Write(line)
}
