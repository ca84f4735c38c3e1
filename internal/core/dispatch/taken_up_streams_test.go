package dispatch_test

import (
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
	// unknowable is set if no entry can know which build began the streams.
	unknowable bool
}

const (
	// strikeAt is long enough after beforeRelease for all streams to have begun.
	strikeAt = beforeRelease + 3*time.Second
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
	if began, begun := fleet.streams[stream]; begun && began != pool {
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

// stopBefore has the first entry stop as after SIGTERM, with that time until it exits. Its exit cuts
// the streams that are left: the strike.
func (fleet *takeUpFleet) stopBefore(grace time.Duration) {
	entry := fleet.entries[0]
	fleet.at(strikeAt-grace, func() {
		fleet.deliver(entry, entry.generation, event.DrainStarted{ExitIn: grace, ReleasedIn: grace / 2})
	})
}

// restart starts an entry anew at the time.
func (fleet *takeUpFleet) restart(at time.Duration, number int) {
	fleet.at(at, func() { fleet.start(fleet.entries[number]) })
}

var killed = (*takeUpFleet).kill

var takeUpSettings = []takeUpSetting{
	{name: "one of two killed", entries: 2, struck: 1, strike: killed, gap: closedGap},
	{name: "two of three killed", entries: 3, struck: 2, strike: killed, gap: closedGap},
	{name: "one of two stopped", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.stopBefore(900 * time.Millisecond) }},
	{name: "the other of two has just started", entries: 2, struck: 1, strike: killed, gap: closedGap,
		prepare: func(fleet *takeUpFleet) { fleet.restart(strikeAt-time.Second, 1) }},
}

// TestStreamsAreTakenUpElsewhere guards against streams that are refused although sound engines of
// their build serve, since the entry that began them is dead, frozen or stopped or those left are alone, few or
// new; and against streams that go on at another pool or build instead.
func TestStreamsAreTakenUpElsewhere(t *testing.T) {
	t.Parallel()
	for _, setting := range takeUpSettings {
		t.Run(setting.name, func(t *testing.T) {
			t.Parallel()
			forEachFleetSeed(t, 2*fleetSeeds, func(t *testing.T, seed uint64) {
				fleet := newTakeUpFleet(t, setting, seed)
				fleet.play()
				fleet.check()
				t.Logf("%d of %d streams go on, %d of %d begin", fleet.resumed, fleet.taken, fleet.freshBegun, fleet.fresh)
			})
		})
	}
}
