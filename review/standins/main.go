// Command drill runs one case of the review: it starts the project's own program as separate
// processes, and clients, runners and the platform's store as stand-ins, all on loopback.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Stage is what a case has: the store, the machines and the record.
type Stage struct {
	Folder  string
	Trouble bool
	Record  *Record
	Store   *Store
	Entries []*Entry
}

var stage *Stage

// fail ends the case: it could not run.
func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	finish(2)
}

// finish ends all processes, writes the record and exits.
func finish(code int) {
	if stage != nil {
		for _, entry := range stage.Entries {
			entry.Kill()
		}
		stage.Record.Write(stage.Folder)
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temporary)
		}
	}
	os.Exit(code)
}

var temporary string

var cases = map[string]func(*Stage) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(2)
	}
	var err error
	temporary, err = os.MkdirTemp("", "drill-")
	if err != nil {
		fail("%v", err)
	}
	record, err := filepath.Abs(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	stage = &Stage{Folder: record, Trouble: os.Getenv("TROUBLE") != "0", Record: NewRecord()}
	stage.Store = NewStore()
	go func() {
		time.Sleep(115 * time.Second)
		fail("the case takes too long")
	}()
	broken := cases[os.Args[1]](stage)
	if broken {
		finish(1)
	}
	finish(0)
}

// Machines starts the entries and waits until they are ready.
func (stage *Stage) Machines(names ...string) []*Entry {
	stage.Entries = NewEntries(temporary, stage.Record, stage.Store, names...)
	for _, entry := range stage.Entries {
		entry.Start()
	}
	for _, entry := range stage.Entries {
		if !entry.AwaitReady(15 * time.Second) {
			fail("machine %s does not become ready", entry.Name)
		}
	}
	return stage.Entries
}

// Verdict prints and records the result.
func (stage *Stage) Verdict(broken bool, format string, values ...any) bool {
	text := fmt.Sprintf(format, values...)
	if broken {
		text = "BROKEN: " + text
	} else {
		text = "held: " + text
	}
	stage.Record.Add("%s", text)
	fmt.Println(text)
	return broken
}
