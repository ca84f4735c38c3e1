package logqueue_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"endivepost/internal/node/logqueue"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open    chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (gate *gate) Write(line []byte) (int, error) {
	<-gate.open
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.written.Write(line)
}

// TestBlockedTargetDropsLines guards against a Write that blocks while the log is not read,
// and against lines that are dropped without a count in the log.
func TestBlockedTargetDropsLines(t *testing.T) {
	blocked := &gate{open: make(chan struct{})}
	queue := logqueue.New(blocked, 10)
	for range 1000 {
		if _, err := queue.Write([]byte("event=x\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(blocked.open)
	queue.Close(time.Minute)
	text := blocked.written.String()
	if !strings.Contains(text, "event=log-lines-dropped count=") {
		t.Errorf("log after dropped lines: got %q, want a line with their count", text)
	}
	// 10 lines are queued and one is in the blocked Write; 12 allows for one more.
	if lines := strings.Count(text, "event=x"); lines > 12 {
		t.Errorf("lines written by a queue of 10: got %d, want at most 12", lines)
	}
}

// TestLongLinesAreBounded guards against lines that quote what faulty peers send, and take the
// memory of the process while the log is not read.
func TestLongLinesAreBounded(t *testing.T) {
	const lineBytes, maxLine, maxQueued, lines = 256 << 10, 64 << 10, 4 << 20, 1000
	blocked := &gate{open: make(chan struct{})}
	queue := logqueue.New(blocked, lines)
	for range lines {
		_, _ = queue.Write(append(bytes.Repeat([]byte("x"), lineBytes), '\n'))
	}
	close(blocked.open)
	queue.Close(time.Minute)
	longest := 0
	for line := range bytes.Lines(blocked.written.Bytes()) {
		longest = max(longest, len(line))
	}
	if longest != maxLine {
		t.Errorf("the longest line has %d bytes, want it cut to %d", longest, maxLine)
	}
	if written := blocked.written.Len(); written > maxQueued+maxLine+1000 {
		t.Errorf("%d bytes were queued, want about %d", written, maxQueued)
	}
}
