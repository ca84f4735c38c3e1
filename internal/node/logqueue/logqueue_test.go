package logqueue_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"endivepost/internal/node/logqueue"
)

// gate is a writer that writes nothing until it is opened.
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

// TestNobodyReads: lines that nobody reads hold nothing up; the number of those
// that were dropped is in the log once it is read again.
func TestNobodyReads(t *testing.T) {
	stuck := &gate{open: make(chan struct{})}
	queue := logqueue.New(stuck, 10)
	for range 1000 {
		if _, err := queue.Write([]byte("event=x\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(stuck.open)
	queue.Close(time.Minute)
	text := stuck.written.String()
	if !strings.Contains(text, "event=log-lines-dropped count=") {
		t.Errorf("no word of the dropped lines in %q", text)
	}
	if kept := strings.Count(text, "event=x"); kept > 12 {
		t.Errorf("%d lines were kept in a queue of 10", kept)
	}
}
