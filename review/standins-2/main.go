// Command standins2 plays the cases of the second review: it starts entries as the deploy file
// says, and plays the platform, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cantStart = 2
)

var cases = map[string]func(*World) int{}

// World is what a case is played in.
type World struct {
	record  *Record
	folder  string
	trouble bool
	entries []*Entry
	nextIP  int
}

// Record is the list of what was sent, answered and run.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// Add adds a line with the time since the start.
func (record *Record) Add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", arguments...)
	current.end()
	_ = os.RemoveAll(current.folder)
	os.Exit(cantStart)
}

// current is the world of the case that is played.
var current = &World{}

// Address returns a loopback address that no other part of this run uses.
func (world *World) Address(port int) string {
	world.nextIP++
	return fmt.Sprintf("127.%d.%d.%d:%d", 20+os.Getpid()%200, 1+(os.Getpid()/200)%250, world.nextIP, port)
}

// Machine returns an entry on an address of its own, with the settings of a small deployment.
func (world *World) Machine(name, zone, store string, seeds ...string) *Entry {
	address := world.Address(0)
	host := address[:len(address)-2]
	entry := &Entry{
		Name: name, Front: host + ":8227", Ready: host + ":8220", Control: host + ":8229", Store: store, MemoryMB: 284, MaxFDs: 4100, Grace: 8,
		Seeds: seeds, Zone: zone, folder: world.folder,
	}
	world.entries = append(world.entries, entry)
	return entry
}

// end ends all processes that the case started.
func (world *World) end() {
	for _, entry := range world.entries {
		if entry.command != nil {
			entry.Kill()
		}
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		os.Exit(cantStart)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantStart)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantStart)
	}
	current.record = &Record{file: file, started: time.Now()}
	current.folder = folder
	current.trouble = os.Getenv("TROUBLE") != "0"
	result := cases[os.Args[1]](current)
	current.end()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	current.record.Add("result: %d", result)
	os.Exit(result)
}
