// Command standins-3 plays the cases of the third review: it starts entries of the project as
// separate processes, plays the store, the runners and the clients around them, and checks the
// rule of a case. Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// A play is one run of a case.
type play struct {
	record  *record
	store   *store
	entries []*entry
	// trouble is false if the disruption is left out.
	trouble bool
	// started is the time that the record counts from.
	started time.Time
}

// cases holds the cases by their names. A case returns whether the rule was broken.
var cases = map[string]func(*play) (bool, error){
	"parts":    playParts,
	"versions": playVersions,
	"routes":   playRoutes,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD-FILE")
		return 2
	}
	written, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer written.close()
	current := &play{record: written, trouble: os.Getenv("TROUBLE") != "0", started: written.started}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		current.stop()
		os.Exit(2)
	}()
	broken, err := cases[args[0]](current)
	current.stop()
	switch {
	case err != nil:
		written.add("the case could not run: %v", err)
		return 2
	case broken:
		written.add("verdict: the rule was broken")
		return 1
	}
	written.add("verdict: the rule held")
	return 0
}

// stop ends the processes that the play started.
func (play *play) stop() {
	for _, entry := range play.entries {
		entry.stop()
	}
	if play.store != nil {
		play.store.close()
	}
}
