package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// backoffLoad is a load in which engines turn requests away and ask for backoffs, several at
// a time, now and then all of them.
type backoffLoad struct {
	*fleet
	t       *testing.T
	settled map[knownEngine]askedBackoff
	// refused counts the requests that no engine ran, late those that arrived once no engine
	// turned requests away any more and were not served.
	refused int
	late    int
}

// askedBackoff is what an engine asked of an entry. Requests may reach it until from, and
// from until on; arrived counts those that did at first.
type askedBackoff struct {
	generation uint64
	from       time.Duration
	until      time.Duration
	arrived    int
}

const (
	backoffsUntil = 30 * time.Second
	// backoffSettleTime is how long after a backoff was asked for requests may still arrive.
	backoffSettleTime = 2 * fleetDelay
	// longestBackoff bounds the backoffs of the test.
	longestBackoff = 3 * time.Second
	// firstAnswerTime is the least time until an engine's response begins.
	firstAnswerTime = 50 * time.Millisecond
)

func newBackoffLoad(t *testing.T, entries int, rate float64, seed uint64) *backoffLoad {
	load := &backoffLoad{t: t, fleet: newFleet(entries, 6, seed), settled: make(map[knownEngine]askedBackoff)}
	load.arrivedAt = load.check
	load.turnedAway = load.ask
	load.finished = load.finish
	load.submitUntil(backoffsUntil+5*time.Second, rate)
	load.after(time.Second, load.turnSome)
	return load
}

func (load *backoffLoad) submitUntil(end time.Duration, rate float64) {
	if load.now >= end {
		return
	}
	load.after(time.Duration(load.random.ExpFloat64()/rate*float64(time.Second)), func() {
		load.submit(load.entries[load.random.IntN(len(load.entries))], nil, false, nil)
		load.submitUntil(end, rate)
	})
}

// turnSome has some engines, or all, turn requests away for a time, with backoffs of various
// lengths.
func (load *backoffLoad) turnSome() {
	if load.now >= backoffsUntil {
		for _, engine := range load.engines {
			engine.turnsAway = 0
		}
		return
	}
	all := load.random.IntN(4) == 0
	for _, engine := range load.engines {
		engine.turnsAway = 0
		if all || load.random.IntN(2) == 0 {
			engine.turnsAway = time.Duration(1 + load.random.Int64N(int64(longestBackoff)))
		}
	}
	load.after(time.Duration(load.random.Int64N(int64(longestBackoff))), load.turnSome)
}

// ask records the backoff that the engine asks for.
func (load *backoffLoad) ask(run *fleetRun) {
	key := knownEngine{run.entry.number, run.engine.name}
	before := load.settled[key]
	asked := askedBackoff{generation: run.entry.generation, from: load.now + backoffSettleTime, until: load.now + run.engine.turnsAway}
	if before.generation == asked.generation && before.until > load.now {
		asked.from = before.from
		asked.until = max(asked.until, before.until)
	}
	load.settled[key] = asked
}

// check checks that no request reaches an engine in a backoff, and one at first after it.
func (load *backoffLoad) check(run *fleetRun) {
	key := knownEngine{run.entry.number, run.engine.name}
	asked := load.settled[key]
	if asked.generation != run.entry.generation || load.now < asked.from || run.entry.pausedUntil > asked.from {
		return
	}
	if load.now < asked.until {
		load.t.Errorf("at %s: %s sent a request to %s, which wants none until %s", load.now, address(run.entry.number), run.engine.name, asked.until)
	}
	if load.now < asked.until+firstAnswerTime {
		asked.arrived++
		load.settled[key] = asked
		if asked.arrived == 2 {
			load.t.Errorf("at %s: %s sent a second request to %s right after its backoff, want an answer first", load.now, address(run.entry.number), run.engine.name)
		}
	}
}

// finish checks that a request that was not served is refused, with the time at which the
// first engine may be asked again if all of them want nothing now.
func (load *backoffLoad) finish(run *fleetRun, finish event.Finish) {
	if finish.Outcome == message.Complete {
		return
	}
	load.refused++
	if finish.Outcome != message.NotRun {
		load.t.Errorf("at %s: got outcome %s, want the request to be complete or not run", load.now, finish.Outcome)
	}
	if run.arrived > backoffsUntil+longestBackoff+time.Second {
		load.late++
	}
	if left := load.leastLeft(run.entry); finish.RetryAfter < left {
		load.t.Errorf("at %s: got Retry-After %s, want at least %s, after which the first engine may be asked", load.now, finish.RetryAfter, left)
	}
}

// leastLeft returns for how long the entry may not ask any engine, as far as it has heard.
func (load *backoffLoad) leastLeft(entry *fleetEntry) time.Duration {
	least := longestBackoff
	for _, engine := range load.engines {
		asked := load.settled[knownEngine{entry.number, engine.name}]
		if asked.generation != entry.generation || load.now < asked.from {
			return 0
		}
		least = min(least, asked.until-load.now)
	}
	return least
}

// TestRequestsInBackoff guards against requests to an engine in the time for which it asked
// to be sent none, whatever was asked before and whoever else serves, against a storm at its
// end, and against callers that are refused although they could be served, or are not told
// when to come back.
func TestRequestsInBackoff(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{20, 200} {
		for _, disrupted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%g per second, disrupted %t", rate, disrupted), func(t *testing.T) {
				t.Parallel()
				forEachFleetSeed(t, fleetSeeds, func(t *testing.T, seed uint64) {
					load := newBackoffLoad(t, 3, rate, seed)
					if disrupted {
						for turn := range 6 {
							load.after(time.Duration(5+4*turn)*time.Second, func() { load.disruptEntry(turn) })
						}
					}
					load.runUntil(t, backoffsUntil+15*time.Second)
					if load.refused == 0 || load.late > 0 {
						t.Errorf("%d requests were refused, %d of them after the backoffs, want some and none", load.refused, load.late)
					}
				})
			})
		}
	}
}

// TestShorterBackoffDoesNotShorten guards against a backoff that ends with a shorter one that
// was asked for later.
func TestShorterBackoffDoesNotShorten(t *testing.T) {
	harness := newHarness(t, 1, ampleRetries)
	harness.step(event.BackoffRequested{Upstream: "u-0", For: 10 * time.Second})
	harness.now += time.Second
	harness.step(event.BackoffRequested{Upstream: "u-0", For: time.Second})
	harness.now += 2 * time.Second
	finish := onlyOutput[event.Finish](t, harness.submit(nonIdempotentClass, 1))
	if finish.Outcome != message.NotRun || finish.RetryAfter < 7*time.Second {
		t.Errorf("got %v with Retry-After %s, want not-run and at least 7 s", finish.Outcome, finish.RetryAfter)
	}
	harness.now += 7 * time.Second
	harness.step()
	onlyOutput[event.Attempt](t, harness.submit(nonIdempotentClass, 2))
}
