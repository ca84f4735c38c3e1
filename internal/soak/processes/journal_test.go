package processes

import (
	"net/http"
	"sync"
	"time"
)

// ending is how a call ended, as its caller saw it.
type ending string

const (
	whole     ending = "whole answer"
	cutOff    ending = "answer cut off"
	closed    ending = "closed without an answer"
	crossed   ending = "crossed a close"
	reset     ending = "reset without an answer"
	abandoned ending = "abandoned by the caller"
	malformed ending = "no HTTP response"
)

// call is one request of a caller, with what the caller saw of its answer.
type call struct {
	plan       plan
	process    *process
	connection string
	// began is when its first byte was sent, sent when the last one was, or zero.
	began  time.Time
	sent   time.Time
	ended  time.Time
	ending ending
	err    error
	status int
	seal   string
	id     string
	body   string
	// extra is set if bytes followed the answer.
	extra bool
}

// outcome is how a run ended at its upstream.
type outcome string

const (
	running   outcome = "running"
	finished  outcome = "finished"
	failed    outcome = "failed (500)"
	brokenOff outcome = "broken off by the upstream"
	overdue   outcome = "stopped at its deadline"
	cut       outcome = "connection closed by the entry"
)

// run is the arrival of a request at an upstream that did not decline it.
type run struct {
	id string
	// number counts the runs of the request from 1.
	number   int
	upstream string
	seal     string
	began    time.Time
	// ended is zero while it runs.
	ended time.Time
	// first and last are the IDs of its events, 0 for none.
	first   int
	last    int
	status  int
	outcome outcome
	// altered says what of the request is not as the caller sent it.
	altered string
}

// note is something that the test did, for the history of a violation.
type note struct {
	at   time.Time
	text string
}

// journal records what callers and upstreams saw, and what the test did.
type journal struct {
	// grace is the time from SIGTERM until SIGKILL.
	grace     time.Duration
	mutex     sync.Mutex
	start     time.Time
	calls     []*call
	runs      map[string][]*run
	notes     []note
	processes []*process
	declined  int
	// unasked are the callers that got bytes on a connection without a request.
	unasked []string
}

func newJournal() *journal {
	return &journal{start: time.Now(), runs: make(map[string][]*run)}
}

func (journal *journal) note(text string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.notes = append(journal.notes, note{at: time.Now(), text: text})
}

func (journal *journal) addCall(made *call) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.calls = append(journal.calls, made)
}

func (journal *journal) addUnasked(caller string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.unasked = append(journal.unasked, caller)
}

func (journal *journal) addProcess(started *process) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.processes = append(journal.processes, started)
}

func (journal *journal) begin(begun *run) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	begun.began, begun.outcome = time.Now(), running
	journal.runs[begun.id] = append(journal.runs[begun.id], begun)
	begun.number = len(journal.runs[begun.id])
}

func (journal *journal) decline() {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.declined++
}

// wrote records that the run wrote the event.
func (journal *journal) wrote(of *run, event int) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if of.first == 0 {
		of.first = event
	}
	of.last = event
}

// end records how a run ended, unless it has ended already.
func (journal *journal) end(of *run, how outcome) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if of.outcome != running {
		return
	}
	of.outcome, of.ended = how, time.Now()
	if how == failed {
		of.status = http.StatusInternalServerError
	}
}

func (journal *journal) since(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(journal.start).Seconds()
}
