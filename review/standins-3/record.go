package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // run.sh names the file
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes a line with the time since the start.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.writer, "%8.3f s  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line and prints it.
func (record *record) say(format string, values ...any) {
	record.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
