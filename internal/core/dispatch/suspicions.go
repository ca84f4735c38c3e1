package dispatch

import (
	"fmt"
	"slices"
	"time"

	"endivepost/internal/core/event"
)

const (
	// settleAfter is how long after an upstream broke off an answer it may take
	// until what it had sent before is read; what comes later shows that it lives.
	settleAfter = 50 * time.Millisecond
	// restartAfter is the least time that an upstream takes to crash and start anew.
	restartAfter = time.Second
)

// blame is a request whose answer an upstream broke off.
type blame struct {
	fingerprint uint64
	at          time.Duration
}

// WithBlame returns the row with a request whose answer it broke off. Those that
// can no longer be cleared are left out.
func (row upstreamRow) WithBlame(now time.Duration, fingerprint uint64) upstreamRow {
	blamed := []blame{{fingerprint: fingerprint, at: now}}
	for _, held := range row.blamed {
		if now-held.at < restartAfter {
			blamed = append(blamed, held)
		}
	}
	row.blamed = blamed
	return row
}

// crashes returns how many upstreams the request is blamed for, as seen here or
// heard of, and how long that still lasts.
func (dispatcher *Dispatcher) crashes(now time.Duration, row requestRow) (int, time.Duration) {
	seen, seenFor := dispatcher.seen.Crashes(now, row.request.Fingerprint)
	heard, heardFor := dispatcher.heard.Crashes(now, row.request.Fingerprint)
	if heard > seen {
		return heard, heardFor
	}
	return seen, seenFor
}

func (dispatcher *Dispatcher) suspected(now time.Duration, row requestRow) bool {
	crashes, _ := dispatcher.crashes(now, row)
	return crashes >= refuseFrom
}

// blame counts a broken answer as a crash of the upstream by the request, until
// the upstream shows that it lives.
func (dispatcher *Dispatcher) blame(now time.Duration, row requestRow) {
	crashes, _ := dispatcher.crashes(now, row)
	dispatcher.seen.Raise(now, row.request.Fingerprint, crashes+1)
	dispatcher.noteSuspicion(event.Suspected, row.request.Fingerprint, crashes+1)
	dispatcher.upstreams.Put(row.upstream, dispatcher.upstream(row.upstream).WithBlame(now, row.request.Fingerprint))
}

// absolve takes a sign of life of an upstream: an answer that it broke off just
// before was lost on the way, and the upstream did not crash by it.
func (dispatcher *Dispatcher) absolve(now time.Duration, name string) {
	held := dispatcher.upstream(name)
	if len(held.blamed) == 0 {
		return
	}
	var open []blame
	for _, blame := range held.blamed {
		switch since := now - blame.at; {
		case since < settleAfter:
			open = append(open, blame)
		case since < restartAfter:
			dispatcher.seen.RemoveCrash(blame.fingerprint)
			dispatcher.tellCleared(blame.fingerprint)
		}
	}
	held.blamed = open
	dispatcher.upstreams.Put(name, held)
}

// clear takes a whole answer: the request does not crash upstreams.
func (dispatcher *Dispatcher) clear(now time.Duration, row requestRow) {
	if crashes, _ := dispatcher.crashes(now, row); crashes > 0 {
		dispatcher.tellCleared(row.request.Fingerprint)
	}
	dispatcher.seen.Clear(row.request.Fingerprint)
	dispatcher.heard.Clear(row.request.Fingerprint)
}

// noteSuspicion reports for the log what is believed of a request.
func (dispatcher *Dispatcher) noteSuspicion(belief event.State, fingerprint uint64, crashes int) {
	dispatcher.emit(event.StateChanged{State: belief, Name: fmt.Sprintf("%016x", fingerprint), Version: uint64(crashes)})
}

// tellCleared has the next beat tell the others. A beat has room for as many as
// for suspicions; what is left out lapses by itself.
func (dispatcher *Dispatcher) tellCleared(fingerprint uint64) {
	dispatcher.noteSuspicion(event.SuspicionCleared, fingerprint, 0)
	if len(dispatcher.cleared) < suspicionsPerBeat && !slices.Contains(dispatcher.cleared, fingerprint) {
		dispatcher.cleared = append(dispatcher.cleared, fingerprint)
	}
}
