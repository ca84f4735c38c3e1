// Package logqueue decouples logging from the reader of the log, so that a slow or blocked
// reader does not delay requests.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Queue is a writer that never blocks: lines go through a bounded queue to one goroutine.
// When the queue is full, lines are dropped and counted; the count is written before the
// next line.
type Queue struct {
	lines chan []byte
	// bytes is the size of the queued lines.
	bytes atomic.Int64
	// dropped counts the dropped lines not yet reported in the log, total all of them.
	dropped atomic.Int64
	total   atomic.Int64
	closing chan struct{}
	done    chan struct{}
	target  io.Writer
}

const (
	// maxLineBytes bounds a line: it may quote what a faulty peer has sent. The rest is left out.
	maxLineBytes = 64 << 10
	// maxQueuedBytes bounds the queued lines together.
	maxQueuedBytes = 4 << 20
)

// New returns a queue of at most capacity lines and 4 MiB that writes to the target.
func New(target io.Writer, capacity int) *Queue {
	queue := &Queue{lines: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{}), target: target}
	go queue.run()
	return queue
}

// Write implements io.Writer. It queues or drops one line and never returns an error.
func (queue *Queue) Write(line []byte) (int, error) {
	if !queue.push(shorten(line)) {
		queue.dropped.Add(1)
		queue.total.Add(1)
	}
	return len(line), nil
}

// push queues the line. It returns false if the queue is full.
func (queue *Queue) push(line []byte) bool {
	size := int64(len(line))
	if queue.bytes.Add(size) > maxQueuedBytes {
		queue.bytes.Add(-size)
		return false
	}
	select {
	case queue.lines <- line:
		return true
	default:
		queue.bytes.Add(-size)
		return false
	}
}

// shorten returns a copy of the line, of at most maxLineBytes.
func shorten(line []byte) []byte {
	const mark = "... (cut)\n"
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	return append(bytes.Clone(line[:maxLineBytes-len(mark)]), mark...)
}

// Dropped returns the number of lines dropped since the start.
func (queue *Queue) Dropped() int64 {
	return queue.total.Load()
}

// Close waits until the queued lines are written, at most for the timeout. Lines written
// after Close are lost. It must be called only once.
func (queue *Queue) Close(timeout time.Duration) {
	close(queue.closing)
	select {
	case <-queue.done:
	case <-time.After(timeout):
	}
}

// run writes the lines. It takes queued lines first and looks at closing only when there are
// none, so that Close loses no queued line.
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

// put writes a line, preceded by the number of dropped lines if there are any. Errors of the
// target are ignored: it is the log itself, and there is nowhere else to report them.
func (queue *Queue) put(line []byte) {
	if dropped := queue.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(queue.target, "event=log-lines-dropped count=%d\n", dropped)
	}
	_, _ = queue.target.Write(line)
	queue.bytes.Add(-int64(len(line)))
}
