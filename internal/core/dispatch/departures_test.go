package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/membership"
	"endivepost/internal/data/revision"
	"endivepost/internal/wire/message"
)

// announcingFleet is a restoredFleet of which some engines announce in their responses that
// they leave, while the published list still calls them ready.
type announcingFleet struct {
	*restoredFleet
	// leaving are the engines that announce it, by the start time of the process.
	leaving map[string]int64
	// told are the announcements that the entries got.
	told map[knownEngine]knownDeparture
}

func newAnnouncingFleet(t *testing.T, entries int, seed uint64) *announcingFleet {
	created := &announcingFleet{
		restoredFleet: newRestoredFleet(t, entries, seed), leaving: make(map[string]int64), told: make(map[knownEngine]knownDeparture),
	}
	created.arrivedAt = created.checkAnnounced
	created.started = created.announce
	return created
}

// announce has the response that begins announce the leaving of its engine, unless the entry
// that sent the request was restarted.
func (fleet *announcingFleet) announce(run *fleetRun) {
	name := run.engine.name
	started, leaving := fleet.leaving[name]
	if !leaving || started != fleet.states[name].row.Started || run.user != run.entry.generation {
		return
	}
	fleet.report(run, event.LeavingAnnounced{Upstream: name, Started: run.attempt.Started})
	if run.attempt.Started == started {
		fleet.told[knownEngine{run.entry.number, name}] = knownDeparture{at: fleet.now, generation: run.entry.generation, started: started}
	}
}

// checkAnnounced checks that no request reaches an engine from an entry that it told of its
// leaving, unless the entry was restarted or paused since.
func (fleet *announcingFleet) checkAnnounced(run *fleetRun) {
	fleet.checkArrival(run)
	run.user = run.entry.generation
	name := run.engine.name
	known := fleet.told[knownEngine{run.entry.number, name}]
	same := known.generation == run.entry.generation && known.started == fleet.states[name].row.Started
	if !same || run.entry.pausedUntil > known.at {
		return
	}
	if fleet.now > known.at+2*fleetDelay {
		fleet.t.Errorf("at %s: %s sent a request to %s, which announced its leaving at %s", fleet.now, address(run.entry.number), name, known.at)
	}
}

// turnLeaving has an engine announce its leaving, or has another process start under the
// name of one that did.
func (fleet *announcingFleet) turnLeaving() {
	engine := fleet.engines[fleet.random.IntN(len(fleet.engines)-2)].name
	state := fleet.states[engine]
	if state.gone || state.row.Leaving {
		return
	}
	if started, leaving := fleet.leaving[engine]; !leaving || started != state.row.Started {
		fleet.leaving[engine] = state.row.Started
		return
	}
	state.row.Started++
	fleet.write(state.row)
}

// TestAnnouncedLeavingIsForgotten guards against requests to an engine that announced in a
// response that it leaves, while the store, restored again and again, or away, lists it as
// ready, and against losing the process that starts under its name.
func TestAnnouncedLeavingIsForgotten(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		entries   int
		disturbed time.Duration
	}{{3, 90 * time.Second}, {40, 12 * time.Second}} {
		t.Run(fmt.Sprintf("%d entries", row.entries), func(t *testing.T) {
			forEachFleetSeed(t, fleetSeeds, func(t *testing.T, seed uint64) {
				fleet := newAnnouncingFleet(t, row.entries, seed)
				const calm = 20 * time.Second
				for turn := 0; fleet.now < row.disturbed; turn++ {
					fleet.runUntil(t, fleet.now+fleet.upTo(time.Second))
					fleet.disturb(turn)
					fleet.turnLeaving()
					fleet.submitToAll()
				}
				for _, engine := range fleet.engines {
					if state := fleet.states[engine.name]; fleet.leaving[engine.name] == state.row.Started && !state.gone {
						state.row.Started++
						fleet.write(state.row)
					}
				}
				fleet.runUntil(t, fleet.now+calm)
				fleet.checkUsable()
			})
		})
	}
}

// announceAt steps the harness with an announcement of the upstream.
func (harness *harness) announceAt(name string) []event.Output {
	return harness.step(event.LeavingAnnounced{Upstream: name})
}

// TestAnnouncedLeavingOfAllUpstreams guards against requests that are sent, or said to have
// run, when all upstreams of a pool announced their leaving.
func TestAnnouncedLeavingOfAllUpstreams(t *testing.T) {
	harness := newHarness(t, 2, ampleRetries)
	running := onlyOutput[event.Attempt](t, harness.submit(nonIdempotentClass, 1))
	for _, name := range []string{"u-0", "u-1"} {
		for _, output := range harness.announceAt(name) {
			if stop, ok := output.(event.StopRun); ok {
				t.Errorf("got %+v, want the attempt to go on", stop)
			}
		}
	}
	if outputs := harness.submit(nonIdempotentClass, 2); len(outputs) > 0 {
		t.Fatalf("got %+v, want a request that waits", outputs)
	}
	harness.now += 400 * time.Millisecond
	if finish := onlyOutput[event.Finish](t, harness.step()); finish.Outcome != message.NotRun || finish.RetryAfter == 0 {
		t.Errorf("got %+v, want the outcome not-run with Retry-After", finish)
	}
	if finish := onlyOutput[event.Finish](t, harness.end(running, event.Completed)); finish.Outcome != message.Complete {
		t.Errorf("got %v, want the request that ran to be complete", finish.Outcome)
	}
}

// TestWithdrawnAttemptGoesElsewhere guards against a request that is lost, or counted as
// sent, because its upstream announced its leaving before anything was sent.
func TestWithdrawnAttemptGoesElsewhere(t *testing.T) {
	harness := newHarness(t, 2, ampleRetries)
	first := onlyOutput[event.Attempt](t, harness.submit(nonIdempotentClass, 1))
	harness.announceAt(first.Upstream)
	second := onlyOutput[event.Attempt](t, harness.end(first, event.Withdrawn))
	if second.Upstream == first.Upstream {
		t.Errorf("sent to %s again, want the other upstream", second.Upstream)
	}
	if finish := onlyOutput[event.Finish](t, harness.end(second, event.Completed)); finish.Attempts != 1 {
		t.Errorf("got %d attempts, want 1", finish.Attempts)
	}
}

// TestAnnouncedDepartureIsToldWithoutEnd guards against heartbeats that report departures of
// upstreams that the list no longer calls ready.
func TestAnnouncedDepartureIsToldWithoutEnd(t *testing.T) {
	listed := event.Upstream{Name: "u-1", Pool: "p", Revision: 10, Started: 5}
	members := membership.New(listExpiry)
	members.Update(0, listed)
	members.Announce(0, "u-1", 5, 0)
	reported := func(now time.Duration) int { return len(members.Departures(now)) }
	if reported(time.Hour) != 1 {
		t.Error("a departure that the list contradicts is not reported, want it to be")
	}
	members.Remove(time.Hour, "u-1", revision.New(0, 12))
	if reported(time.Hour) != 1 || reported(time.Hour+11*time.Second) != 0 {
		t.Error("a departure is not reported for 10 s after the row was removed, want it to be")
	}
	members.Update(time.Hour+20*time.Second, event.Upstream{Name: "u-1", Pool: "p", Revision: 13, Started: 5})
	if members.Usable(time.Hour+20*time.Second, "u-1") {
		t.Error("the upstream is usable once it is listed again, want it to be known as leaving")
	}
	members.Remove(time.Hour+30*time.Second, "u-1", revision.New(0, 14))
	if reported(2*time.Hour) != 0 || len(members.Rows()) != 0 {
		t.Errorf("got %d rows, want the one of an upstream that is gone to be deleted", len(members.Rows()))
	}
}
