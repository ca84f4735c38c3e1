package dispatch

import (
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
)

const (
	// silentAfter is how long an upstream may send nothing at all while it has
	// work, beside the time for reading its prompts.
	silentAfter = 700 * time.Millisecond
	// readingSlack multiplies the predicted time of reading, which grows with the
	// length of the prompts.
	readingSlack = 1.5
)

// quietFor returns for how long the upstream has had work and sent nothing.
func (row upstreamRow) quietFor(now time.Duration) time.Duration {
	if row.use.Running == 0 {
		return 0
	}
	return now - max(row.heard, row.busySince)
}

// silent says whether the upstream has sent nothing for longer than the work of
// all entries explains.
func (dispatcher *Dispatcher) silent(now time.Duration, name string, row upstreamRow) bool {
	reading := enginechoice.PrefillTime(dispatcher.allUses()[name].PrefillTokens)
	return row.quietFor(now) > silentAfter+time.Duration(readingSlack*float64(reading))
}

// moveFromSilent takes repeatable requests away from upstreams that have gone
// silent: with a crash that nobody announces, connections stay open and nothing
// comes. Requests that must not be repeated stay.
func (dispatcher *Dispatcher) moveFromSilent(now time.Duration) {
	if now < dispatcher.listenDue {
		return
	}
	dispatcher.listenDue = now + listenEvery
	for _, name := range dispatcher.upstreams.Keys() {
		held, _ := dispatcher.upstreams.Get(name)
		if now < held.avoidUntil || !dispatcher.silent(now, name, held) {
			continue
		}
		dispatcher.upstreams.Put(name, held.WithFailure(now))
		upstream, _ := dispatcher.roster.Find(name)
		dispatcher.emit(event.StateChanged{
			State: event.Unresponsive, Name: name, Address: upstream.Address, Version: uint64(held.quietFor(now).Milliseconds()),
		})
		dispatcher.moveAll(now, name)
	}
}

func (dispatcher *Dispatcher) moveAll(now time.Duration, name string) {
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if row.state != running || row.upstream != name || !row.mayRepeat(now) {
			continue
		}
		if _, ok := dispatcher.choose(now, row.WithTried(name)); !ok {
			continue
		}
		row.state = stopping
		dispatcher.requests.Put(id, row)
		dispatcher.emit(event.StopRun{ID: id})
	}
}
