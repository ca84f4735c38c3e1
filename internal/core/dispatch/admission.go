package dispatch

import (
	"strings"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

const (
	// mostReading is the reading, in tokens, that all entries together give an
	// engine ahead of time: what waits inside an engine is out of reach of order.
	mostReading = 18_000
	// memoryShare is the part of an engine's memory that requests may be sent to
	// fill: the prefixes that they share with others need the rest.
	memoryShare = 0.75
	// shortestAnswer is the least time that an answer takes; a request that has
	// less left is given up.
	shortestAnswer = 500 * time.Millisecond
	// answerSmoothing is the number of answers over which the usual time is smoothed.
	answerSmoothing = 8
	// drainSpan is the time over which the rate of letting through is measured.
	drainSpan = time.Second
	// longestReturn bounds what a caller is told: an overload seldom lasts longer.
	longestReturn = 10 * time.Second
	// overloadShare is the part of mostReading, as a divisor, that engines have to
	// read on the average from which on the whole pool counts as overloaded.
	overloadShare = 3
	// mostSkipped bounds the waiting requests that are looked at in one pass, and
	// admitEvery the passes: both are processor time of the entry.
	mostSkipped = 16
	admitEvery  = 10 * time.Millisecond
)

// hasRoom says whether the engine may be given the request now: it has nothing to
// read, or the request fits into what it may have ahead. A stream that its caller
// has part of is not held.
func (dispatcher *Dispatcher) hasRoom(row requestRow, chosen choice) bool {
	pool, ok := dispatcher.config.Document().Pool(row.pool)
	if !ok || pool.Engine.Batch == 0 {
		return true
	}
	if row.delivered || row.impatient() {
		return true
	}
	if chosen.view.Running >= pool.Engine.Batch || !dispatcher.fits(row, chosen.upstream.Name, chosen.view.UncachedTokens) {
		return false
	}
	return chosen.view.PrefillTokens == 0 || chosen.view.PrefillTokens+chosen.view.UncachedTokens <= mostReading
}

// fits says whether the engine's memory holds the request beside what runs there.
// It answers the load in which engines turn slow under long prompts: an engine that
// runs out of memory interrupts requests and reads them again.
func (dispatcher *Dispatcher) fits(row requestRow, name string, unread int) bool {
	bound := memoryShare * float64(dispatcher.cacheTokens(row.pool))
	running := dispatcher.allUses()[name].KVTokens
	return running == 0 || float64(running+row.memory(unread)) <= bound
}

// queue lets a request wait for room.
func (dispatcher *Dispatcher) queue(now time.Duration, row requestRow, chosen choice) {
	giveUpAt := row.until - dispatcher.answerTime(row)
	if now >= giveUpAt {
		dispatcher.giveUp(now, row, message.Overload)
		return
	}
	row.state = waiting
	row.queued = true
	row.giveUpAt = giveUpAt
	dispatcher.requests.Put(row.request.ID, row)
	dispatcher.requestDue.Set(row.request.ID, min(max(row.spillAt(), now), giveUpAt))
	dispatcher.waitingWork += float64(row.request.Prompt.Tokens)
	dispatcher.settings.Queue.Add(now, order.Item[message.RequestID]{
		Key: row.request.ID, Tier: row.request.Tier, Class: row.request.Class.Name, Account: row.request.Account,
		Work: float64(chosen.view.UncachedTokens), SendBy: row.lateAt(),
	})
}

// impatient says whether the target for the first token is shorter than what
// engines may have ahead. To hold such a request would not help it: the engine
// reads it before what is less urgent.
func (row requestRow) impatient() bool {
	first := time.Duration(row.request.Class.FirstToken)
	return first <= enginechoice.PrefillTime(mostReading+row.request.Prompt.Tokens)
}

// lateAt returns when the request must be sent to meet the target for its first
// token with what an engine may have to read before it.
func (row requestRow) lateAt() time.Duration {
	first := time.Duration(row.request.Class.FirstToken)
	if first == 0 {
		return 0
	}
	return row.arrived + first - enginechoice.PrefillTime(mostReading+row.request.Prompt.Tokens)
}

// admit sends requests that wait, in their order, as far as engines have room.
func (dispatcher *Dispatcher) admit(now time.Duration) {
	if !dispatcher.freed || now < dispatcher.admitDue {
		return
	}
	dispatcher.freed = false
	dispatcher.admitDue = now + admitEvery
	full := make(map[group]bool)
	for {
		var chosen choice
		item, ok := dispatcher.settings.Queue.Pick(now, func(item order.Item[message.RequestID]) bool {
			if len(full) > mostSkipped {
				return true
			}
			row, _ := dispatcher.requests.Get(item.Key)
			alike := row.group(now)
			if full[alike] {
				return true
			}
			found := false
			chosen, found = dispatcher.chooseWaiting(now, row)
			if !found {
				full[alike] = true
			}
			return !found
		})
		if !ok {
			return
		}
		row, _ := dispatcher.requests.Get(item.Key)
		dispatcher.drain.Dispatched(now, float64(row.request.Prompt.Tokens))
		dispatcher.send(now, row, chosen)
	}
}

// group names requests that wait for room at the same engines.
type group struct {
	pool   string
	prefix uint64
	urgent bool
	// spills says that any engine will do, tried names those that will not.
	spills bool
	tried  string
}

func (row requestRow) group(now time.Duration) group {
	alike := group{pool: row.pool, urgent: row.urgent(), spills: now >= row.spillAt(), tried: strings.Join(row.tried, " ")}
	if parts := row.request.Prompt.Parts; len(parts) > 1 {
		alike.prefix = parts[len(parts)-2].ID
	}
	return alike
}

// chooseWaiting returns an upstream with room for a request that waits, if there
// is one. At first only the one that suits it best will do; once half of the time
// that it may wait is over, any with room unless the pool is overloaded: a prefix
// that many ask for at once gets further homes in this way.
func (dispatcher *Dispatcher) chooseWaiting(now time.Duration, row requestRow) (choice, bool) {
	chosen, found := dispatcher.choose(now, row)
	if !found || dispatcher.hasRoom(row, chosen) {
		return chosen, found
	}
	if now < row.spillAt() || dispatcher.overloaded(now, row.pool) {
		return choice{}, false
	}
	apart := dispatcher.view(now, row.pool).apart
	return dispatcher.chooseFrom(now, row, func(upstream event.Upstream) bool {
		use := dispatcher.allUses()[upstream.Name]
		room := use.PrefillTokens+row.request.Prompt.Tokens <= mostReading && dispatcher.fits(row, upstream.Name, row.request.Prompt.Tokens)
		return apart[upstream.Name] == row.urgent() && room
	})
}

// overloaded says whether the engines of the pool that are not set apart have
// much to read on the whole. Then a prefix that is read once more would only make
// all of them later.
func (dispatcher *Dispatcher) overloaded(now time.Duration, pool string) bool {
	view := dispatcher.view(now, pool)
	reading, engines := 0, 0
	for _, upstream := range view.usable {
		if !view.apart[upstream.Name] {
			reading += dispatcher.allUses()[upstream.Name].PrefillTokens
			engines++
		}
	}
	return reading > engines*mostReading/overloadShare
}

// spillAt returns when the request may go to any engine with room.
func (row requestRow) spillAt() time.Duration {
	return row.arrived + max(row.lateAt()-row.arrived, 0)/2
}

// leaveQueue records that a request no longer waits for room.
func (dispatcher *Dispatcher) leaveQueue(row requestRow) {
	if row.queued {
		dispatcher.waitingWork -= float64(row.request.Prompt.Tokens)
	}
	dispatcher.settings.Queue.Remove(row.request.ID)
}

// answerTime returns how long a whole answer to the class takes once it is sent,
// as measured; with less time left a request is not worth sending.
func (dispatcher *Dispatcher) answerTime(row requestRow) time.Duration {
	return max(dispatcher.answerTimes[row.request.Class.Name], shortestAnswer)
}

// measure takes the time of a whole answer into the class's usual time.
func (dispatcher *Dispatcher) measure(now time.Duration, row requestRow) {
	usual := dispatcher.answerTimes[row.request.Class.Name]
	dispatcher.answerTimes[row.request.Class.Name] = usual + (now-row.sentAt-usual)/answerSmoothing
}

// returnAfter tells a caller whose request was not run when to come back: at
// another entry at once if this one drains; after an overload when what waits
// now will have been let through.
func (dispatcher *Dispatcher) returnAfter(now time.Duration, reason message.Reason) time.Duration {
	if dispatcher.draining {
		return returnWhenDraining
	}
	soon := shortestReturn + time.Duration(dispatcher.settings.Random.Int64N(int64(shortestReturn)))
	if reason != message.Overload {
		return soon
	}
	wait, _ := dispatcher.drain.Wait(now, dispatcher.waitingWork)
	return min(max(wait, soon), longestReturn)
}
