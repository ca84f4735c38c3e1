package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
)

// takeUpFleet is a fleet whose first entries are struck while streams run at them. The callers
// take their streams up at the other entries, once each.
type takeUpFleet struct {
	*streamFleet
	setting takeUpSetting
	// pools are the pools of the engines, and of the streams that have begun.
	pools   map[string]string
	streams map[*callerStream]string
	// fresh counts the new streams at the entries at which streams are taken up.
	fresh, freshBegun int
}

// takeUpSetting is a fleet, and what happens to it while streams run.
type takeUpSetting struct {
	name    string
	entries int
	// struck is the number of entries at which the streams run and which are then struck.
	struck int
	strike func(fleet *takeUpFleet, entry *fleetEntry)
	// gap is the time from the strike until the callers take their streams up.
	gap time.Duration
	// prepare changes the fleet before it runs.
	prepare func(fleet *takeUpFleet)
	// moves is set if the class is served by another pool when the streams are taken up.
	moves bool
	// unknowable is set if no entry can know which build began the streams.
	unknowable bool
}

const (
	// strikeAt is long enough after beforeRelease for all streams to have begun.
	strikeAt = beforeRelease + 3*time.Second
	// joinAt is when a second build joins before the streams begin.
	joinAt = beforeRelease - 100*time.Millisecond
	// A caller whose entry closes its connection comes back at once, another one after a gap
	// of two seconds without an event, the last of which came somewhat earlier.
	closedGap, silentGap = 50 * time.Millisecond, 1900 * time.Millisecond
	// deadTime is how long a killed entry is gone, frozenTime how long one stands still.
	deadTime, frozenTime = time.Second, 4 * time.Second
	// streamsPerCase is the number of streams that are taken up.
	streamsPerCase = 16
	idleWatchTime  = 2 * time.Second
)

func newTakeUpFleet(t *testing.T, setting takeUpSetting, seed uint64) *takeUpFleet {
	created := &takeUpFleet{
		streamFleet: newStreamFleet(t, setting.entries, seed), setting: setting, pools: make(map[string]string), streams: make(map[*callerStream]string),
	}
	created.class.TimeLimit = document.Duration(20 * time.Second)
	created.idleWatch = idleWatchTime
	created.refusesDials = true
	for _, engine := range created.engines {
		created.pools[engine.name] = "pool"
	}
	created.started = created.checkStart
	created.restarted = created.dropStreams
	created.finished = func(*fleetRun, event.Finish) {}
	if setting.prepare != nil {
		setting.prepare(created)
	}
	return created
}

// dropStreams breaks off the responses of an entry that was killed.
func (fleet *takeUpFleet) dropStreams(entry *fleetEntry) {
	for _, id := range fleet.runs.Keys() {
		if run, _ := fleet.runs.Get(id); run.entry == entry {
			run.running = false
			fleet.runs.Delete(id)
		}
	}
}

// checkStart checks that a stream goes on at the pool and build that began it, and counts it.
func (fleet *takeUpFleet) checkStart(run *fleetRun) {
	stream, _ := run.user.(*callerStream)
	pool := fleet.pools[run.engine.name]
	if began, begun := fleet.streams[stream]; begun && began != pool && !fleet.setting.moves {
		fleet.t.Errorf("%s: a stream of %s goes on at %s", fleet.setting.name, began, pool)
	}
	fleet.streams[stream] = pool
	if stream.isNew {
		stream.isNew = false
		fleet.freshBegun++
	}
	fleet.checkBuild(run)
}

// beginAt begins a stream that lasts at the entry, takeUpAt takes it up.
func (fleet *takeUpFleet) beginAt(entry *fleetEntry, stream *callerStream) {
	request := fleet.newRequest(entry)
	stream.stream = request.Stream
	fleet.submitLong(entry, request, stream)
}

func (fleet *takeUpFleet) takeUpAt(entry *fleetEntry, stream *callerStream) {
	if !stream.begun {
		return
	}
	request := fleet.newRequest(entry)
	request.TakenUp, request.Stream = true, stream.stream
	stream.isTaken = true
	fleet.taken++
	fleet.submitLong(entry, request, stream)
}

// submitLong submits a request whose response lasts longer than the test.
func (fleet *takeUpFleet) submitLong(entry *fleetEntry, request event.Request, stream *callerStream) {
	const delivery = 15 * time.Second
	request.Timeout = delivery
	fleet.submitRequest(entry, request, false, stream)
	if run, running := fleet.runs.Get(request.ID); running {
		run.delivery = delivery
	}
}

// survivor returns one of the entries that are not struck, in turn.
func (fleet *takeUpFleet) survivor(turn int) *fleetEntry {
	survivors := fleet.entries[fleet.setting.struck:]
	return survivors[turn%len(survivors)]
}

// play begins streams, strikes their entries, and has the callers take the streams up.
func (fleet *takeUpFleet) play() {
	for turn := range streamsPerCase {
		stream := &callerStream{}
		begin := beforeRelease + fleet.upTo(2*time.Second)
		fleet.at(begin, func() { fleet.beginAt(fleet.entries[turn%fleet.setting.struck], stream) })
		fleet.at(strikeAt+fleet.setting.gap+fleet.upTo(50*time.Millisecond), func() { fleet.takeUpAt(fleet.survivor(turn), stream) })
		fleet.at(strikeAt+fleet.setting.gap+fleet.upTo(time.Second), func() {
			fleet.fresh++
			fleet.beginAt(fleet.survivor(turn), &callerStream{isNew: true})
		})
	}
	for _, entry := range fleet.entries[:fleet.setting.struck] {
		fleet.at(strikeAt, func() { fleet.setting.strike(fleet, entry) })
	}
	fleet.runUntil(fleet.t, strikeAt+10*time.Second)
}

// check checks that streams go on at least half as often as new ones begin, or not at all if
// nobody can know their build.
func (fleet *takeUpFleet) check() {
	fleet.t.Helper()
	const least = 12
	if fleet.taken < least || fleet.freshBegun < least {
		fleet.t.Errorf("%d streams taken up, %d new ones begun, want at least %d", fleet.taken, fleet.freshBegun, least)
	}
	if fleet.setting.unknowable {
		return
	}
	if 2*fleet.resumed*fleet.fresh < fleet.taken*fleet.freshBegun {
		fleet.t.Errorf("%d of %d streams go on, while %d of %d begin, want at least half of that share", fleet.resumed, fleet.taken, fleet.freshBegun, fleet.fresh)
	}
}

// kill ends the entry. Another process starts in its place later.
func (fleet *takeUpFleet) kill(entry *fleetEntry) {
	fleet.start(entry)
	fleet.cutOff(entry, deadTime)
	fleet.readers[entry.number].refusedUntil = fleet.now + deadTime
}

// freeze stops the entry for a time.
func (fleet *takeUpFleet) freeze(entry *fleetEntry) { fleet.pause(entry, frozenTime) }

// stopBefore has the first entry stop as after SIGTERM, with that time until it exits. Its exit cuts
// the streams that are left: the strike.
func (fleet *takeUpFleet) stopBefore(grace time.Duration) {
	entry := fleet.entries[0]
	fleet.at(strikeAt-grace, func() {
		fleet.deliver(entry, entry.generation, event.DrainStarted{ExitIn: grace, ReleasedIn: grace / 2})
	})
}

// join has two engines of a second build join at the time.
func (fleet *takeUpFleet) join(at time.Duration) {
	fleet.at(at, func() {
		for range 2 {
			added := &fleetEngine{name: fmt.Sprintf("engine-%d", len(fleet.engines))}
			fleet.engines = append(fleet.engines, added)
			fleet.pools[added.name] = "pool"
			fleet.addEngine(added, "v2")
		}
	})
}

// split has the class served by two pools, the second of which has engines of the build.
func (fleet *takeUpFleet) split(build string) {
	fleet.addPool(build)
	fleet.serveBy(document.Share{Pool: "pool", Weight: 60}, document.Share{Pool: "second", Weight: 40})
}

// serveBy publishes that the class is served by the shares.
func (fleet *takeUpFleet) serveBy(shares ...document.Share) {
	fleet.class.Split = shares
	fleet.publishDocument()
}

// move has the class move shortly before the strike, to a second pool with engines of the build.
func (fleet *takeUpFleet) move(build string) {
	fleet.addPool(build)
	fleet.publishDocument()
	fleet.at(strikeAt-500*time.Millisecond, func() { fleet.serveBy(document.Share{Pool: "second", Weight: 1}) })
}

// addPool moves some engines to a second pool, as ones of the build.
func (fleet *takeUpFleet) addPool(build string) {
	fleet.secondPool = document.Pool{Name: "second"}
	for _, engine := range fleet.engines[:3] {
		fleet.pools[engine.name] = "second"
		fleet.builds[engine.name] = build
		row := fleet.states[engine.name].row
		row.Pool, row.Build = "second", build
		fleet.write(row)
	}
}

// loseStore takes the store away for all entries until long after the strike.
func (fleet *takeUpFleet) loseStore(from time.Duration) {
	fleet.at(from, func() {
		for _, reader := range fleet.readers {
			reader.refusedUntil = strikeAt + 10*time.Second
		}
	})
}

// cutSurvivors cuts the entries that are not struck off from the others, and has the store refuse
// them, until long after the strike.
func (fleet *takeUpFleet) cutSurvivors(from time.Duration, fromEntries, fromStore bool) {
	fleet.at(from, func() {
		for _, entry := range fleet.entries[fleet.setting.struck:] {
			if fromEntries {
				fleet.cutOff(entry, strikeAt+10*time.Second-from)
			}
			if fromStore {
				fleet.readers[entry.number].refusedUntil = strikeAt + 10*time.Second
			}
		}
	})
}

// freezeSurvivors has the entries that are not struck stand still until the strike.
func (fleet *takeUpFleet) freezeSurvivors(from time.Duration) {
	fleet.at(from, func() {
		for _, entry := range fleet.entries[fleet.setting.struck:] {
			fleet.pause(entry, strikeAt-from)
		}
	})
}

// restart starts an entry anew at the time.
func (fleet *takeUpFleet) restart(at time.Duration, number int) {
	fleet.at(at, func() { fleet.start(fleet.entries[number]) })
}

var (
	killed = (*takeUpFleet).kill
	frozen = (*takeUpFleet).freeze
)

var takeUpSettings = []takeUpSetting{
	{name: "one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap},
	{name: "one of two frozen", entries: 2, struck: 1, strike: frozen, gap: silentGap},
	{name: "one of three killed", entries: 3, struck: 1, strike: killed, gap: closedGap},
	{name: "one of three frozen", entries: 3, struck: 1, strike: frozen, gap: silentGap},
	{name: "two of three killed", entries: 3, struck: 2, strike: killed, gap: closedGap},
	{name: "two of three frozen", entries: 3, struck: 2, strike: frozen, gap: silentGap},
	{name: "one of two stopped", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.stopBefore(900 * time.Millisecond) }},
	{name: "one of three stopped", entries: 3, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.stopBefore(900 * time.Millisecond) }},
	{name: "eight of forty killed", entries: 40, struck: 8, strike: killed, gap: closedGap},
	{name: "eight of forty frozen", entries: 40, struck: 8, strike: frozen, gap: silentGap},
	{name: "the other of two has just started", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.restart(strikeAt-time.Second, 1) }},
	{name: "one of three has just started, another is frozen", entries: 3, struck: 1, strike: frozen, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.restart(strikeAt-time.Second, 1) }},
	{name: "split, one of three killed", entries: 3, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.split("v1") }},
	{name: "split, one of three frozen", entries: 3, struck: 1, strike: frozen, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.split("v1") }},
	{name: "split between two builds, one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.split("v2") }},
	{name: "split, forty entries", entries: 40, struck: 8, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.split("v1") }},
	{name: "moved to a pool of the same build, one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap, moves: true,
		prepare: func(fleet *takeUpFleet) { fleet.move("v1") }},
	{name: "moved to a pool of another build, one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap, moves: true, unknowable: true,
		prepare: func(fleet *takeUpFleet) { fleet.move("v2") }},
	{name: "moved, forty entries", entries: 40, struck: 8, strike: killed, gap: closedGap, moves: true,
		prepare: func(fleet *takeUpFleet) { fleet.move("v1") }},
	{name: "moved to another build, forty entries", entries: 40, struck: 8, strike: killed, gap: closedGap, moves: true, unknowable: true,
		prepare: func(fleet *takeUpFleet) { fleet.move("v2") }},
	{name: "two builds, one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(beforeRelease - 10*time.Second) }},
	{name: "two builds, one of three frozen", entries: 3, struck: 1, strike: frozen, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(beforeRelease - 10*time.Second) }},
	{name: "a second build joins while streams run", entries: 3, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(strikeAt - time.Second) }},
	{name: "a second build joins after the freeze", entries: 3, struck: 1, strike: frozen, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(strikeAt + 100*time.Millisecond) }},
	{name: "a second build joins after the kill", entries: 2, struck: 1, strike: killed, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(strikeAt + 100*time.Millisecond) }},
	{name: "a second build joins before the streams begin", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(joinAt) }},
	{name: "the others cannot read of a second build", entries: 3, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) {
			fleet.join(joinAt)
			fleet.cutSurvivors(joinAt, false, true)
		}},
	{name: "the others are cut off as a second build joins", entries: 3, struck: 1, strike: killed, gap: closedGap, unknowable: true,
		prepare: func(fleet *takeUpFleet) {
			fleet.join(joinAt)
			fleet.cutSurvivors(joinAt, true, true)
		}},
	{name: "the others are cut off from entries as a second build joins", entries: 2, struck: 1, strike: killed, gap: closedGap, unknowable: true,
		prepare: func(fleet *takeUpFleet) {
			fleet.join(joinAt)
			fleet.cutSurvivors(joinAt, true, false)
		}},
	{name: "the others stand still as a second build joins", entries: 3, struck: 1, strike: frozen, gap: closedGap,
		prepare: func(fleet *takeUpFleet) {
			fleet.join(joinAt)
			fleet.freezeSurvivors(joinAt - 10*time.Millisecond)
		}},
	{name: "the other of two stands still as a second build joins", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) {
			fleet.join(joinAt)
			fleet.freezeSurvivors(joinAt - 10*time.Millisecond)
		}},
	{name: "forty entries, a second build joins before the streams begin", entries: 40, struck: 8, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(joinAt) }},
	{name: "forty entries, a second build joins after the freeze", entries: 40, struck: 8, strike: frozen, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.join(strikeAt + 100*time.Millisecond) }},
	{name: "forty entries, the store goes away with the kill", entries: 40, struck: 8, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.loseStore(strikeAt - 100*time.Millisecond) }},
	{name: "the store is away, one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.loseStore(strikeAt - 10*time.Second) }},
	{name: "the store is away, one of three frozen", entries: 3, struck: 1, strike: frozen, gap: silentGap,
		prepare: func(fleet *takeUpFleet) { fleet.loseStore(strikeAt - 10*time.Second) }},
	{name: "the store goes away with the kill", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.loseStore(strikeAt - 100*time.Millisecond) }},
}

// TestStreamsAreTakenUpElsewhere guards against streams that are refused although sound engines of
// their build serve, since the entry that began them is dead, frozen or stopped or those left are alone, few or
// new; and against streams that go on at another pool or build instead.
func TestStreamsAreTakenUpElsewhere(t *testing.T) {
	t.Parallel()
	for _, setting := range takeUpSettings {
		t.Run(setting.name, func(t *testing.T) {
			t.Parallel()
			forEachFleetSeed(t, 2*fleetSeeds, func(t *testing.T, seed uint64) { playTakeUps(t, setting, seed) })
		})
	}
}

// TestStreamsOfLargeFleetWithoutStore guards against the same where the fleet is large, so that streams
// are not told to all, and the list cannot be read.
func TestStreamsOfLargeFleetWithoutStore(t *testing.T) {
	t.Parallel()
	setting := takeUpSetting{
		name: "forty entries, the store is away, eight killed", entries: 40, struck: 8, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.loseStore(strikeAt - 10*time.Second) },
	}
	forEachFleetSeed(t, fleetSeeds, func(t *testing.T, seed uint64) { playTakeUps(t, setting, seed) })
}

// playTakeUps plays the setting and checks it.
func playTakeUps(t *testing.T, setting takeUpSetting, seed uint64) {
	t.Helper()
	fleet := newTakeUpFleet(t, setting, seed)
	fleet.play()
	fleet.check()
	t.Logf("%d of %d streams go on, %d of %d begin", fleet.resumed, fleet.taken, fleet.freshBegun, fleet.fresh)
}
