package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/core/event"
)

// TestStreamsGoOnAtNameWithOtherBuild guards against a stream that goes on at an upstream that is
// back under its name with another build, which nobody can read while the store is down.
// Streams must go on at the others meanwhile.
func TestStreamsGoOnAtNameWithOtherBuild(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{2, 5} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Parallel()
			forEachFleetSeed(t, 2*fleetSeeds, func(t *testing.T, seed uint64) {
				fleet := newStreamFleet(t, entries, seed)
				fleet.started = func(run *fleetRun) {
					fleet.checkBuild(run)
					if stream, _ := run.user.(*callerStream); run.request.TakenUp && stream.reset {
						stream.reset = false
						fleet.wentOn++
					}
				}
				end := beforeRelease + 25*time.Second
				fleet.every(end+3*time.Second, func() time.Duration { return fleet.upTo(50 * time.Millisecond) }, fleet.newStream)
				fleet.every(end+3*time.Second, func() time.Duration { return fleet.upTo(400 * time.Millisecond) }, fleet.resetOne)
				fleet.at(beforeRelease, func() {
					for number := range entries {
						fleet.readers[number].refusedUntil = end
					}
				})
				for i, engine := range fleet.engines[:2] {
					fleet.at(beforeRelease+time.Second+time.Duration(i)*6*time.Second, func() {
						fleet.crash(engine)
						fleet.after(fleet.engineRestart, func() { fleet.builds[engine.name] = "v2" })
						fleet.at(end+fleet.upTo(2*time.Second), func() {
							row := fleet.states[engine.name].row
							row.Started, row.Build = row.Started+1, "v2"
							fleet.write(row)
						})
					})
				}
				fleet.runUntil(t, end+callerPatience)
				if fleet.resets < minTakenUp || 2*fleet.wentOn < fleet.resets {
					t.Errorf("%d of %d streams go on, want at least half of %d or more", fleet.wentOn, fleet.resets, minTakenUp)
				}
			})
		})
	}
}

// resetOne has the caller of a stream that the first build has begun leave and take it up again.
func (fleet *streamFleet) resetOne() {
	for _, id := range fleet.runs.Keys() {
		run, _ := fleet.runs.Get(id)
		stream, _ := run.user.(*callerStream)
		if !run.running || !run.began || stream.build != "v1" || stream.reset {
			continue
		}
		stream.reset = true
		fleet.resets++
		fleet.deliver(run.entry, run.entry.generation, event.CallerDisconnected{ID: id})
		return
	}
}

// restartAs ends the engine, and starts it again a second later under its name, as one of the build.
func (fleet *streamFleet) restartAs(engine *fleetEngine, build string) {
	fleet.crash(engine)
	fleet.after(fleet.engineRestart, func() {
		fleet.builds[engine.name] = build
		row := fleet.states[engine.name].row
		row.Started, row.Build = row.Started+1, build
		fleet.write(row)
	})
}

// TestEntryCutOffFromStoreHearsOfRestarts guards against streams that go on at an upstream which is back
// under its name with another build, at an entry that is cut off from the store and had no
// connection to that upstream. Another entry knows.
func TestEntryCutOffFromStoreHearsOfRestarts(t *testing.T) {
	t.Parallel()
	const streams, cutAt, cutFor = 12, beforeRelease + 4*time.Second, 5 * time.Second
	for _, entries := range []int{2, 40} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Parallel()
			forEachFleetSeed(t, 2*fleetSeeds, func(t *testing.T, seed uint64) {
				fleet := newTakeUpFleet(t, takeUpSetting{name: "cut off from the store", entries: entries, struck: 1}, seed)
				fleet.engineRestart = time.Second
				cut, first, others := fleet.entries[0], fleet.engines[0], fleet.engines[1:3]
				for _, engine := range fleet.engines[1:] {
					fleet.remove(engine.name)
				}
				var all []*callerStream
				for range streams {
					stream := &callerStream{}
					all = append(all, stream)
					fleet.at(beforeRelease+fleet.upTo(time.Second), func() { fleet.beginAt(cut, stream) })
				}
				fleet.at(beforeRelease+2*time.Second, func() {
					for _, engine := range others {
						fleet.write(fleet.states[engine.name].row)
					}
				})
				fleet.at(cutAt, func() { fleet.readers[cut.number].refusedUntil = cutAt + cutFor })
				for i, engine := range append(others, first) {
					fleet.at(cutAt+time.Duration(300+1200*i)*time.Millisecond, func() { fleet.restartAs(engine, "v2") })
				}
				fleet.runUntil(t, cutAt+cutFor+5*time.Second)
				for _, stream := range all {
					if !stream.begun {
						t.Error("a stream did not begin before the cut")
					}
				}
			})
		})
	}
}
