package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, and writes it to record.txt.
type Record struct {
	mutex sync.Mutex
	start time.Time
	lines []string
	runs  []Run
}

// Run is one request that reached a runner and was run.
type Run struct {
	At      time.Time
	Attempt string
	Runner  string
	Version string
	After   string
	Prefix  string
	Bytes   int
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{start: time.Now()}
}

// Add adds a line with the time since the start.
func (record *Record) Add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.lines = append(record.lines, fmt.Sprintf("%8.3f s  ", time.Since(record.start).Seconds())+fmt.Sprintf(format, values...))
}

// Ran adds a run.
func (record *Record) Ran(run Run) {
	record.mutex.Lock()
	record.runs = append(record.runs, run)
	record.mutex.Unlock()
	text := fmt.Sprintf("runner %s (version %s) runs %s", run.Runner, run.Version, run.Attempt)
	if run.After != "" {
		text += " from behind event " + run.After
	}
	record.Add("%s", text)
}

// Runs returns the runs so far.
func (record *Record) Runs() []Run {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return append([]Run(nil), record.runs...)
}

// Write writes the record to the file.
func (record *Record) Write(path string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if err := os.WriteFile(path, []byte(strings.Join(record.lines, "\n")+"\n"), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
