package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/data/revision"
)

const (
	// applyTime bounds when a change of the configuration, or a departure, is in force.
	applyTime = 2 * time.Second
	// rewriteTime is how long after a restore the engines and the operator have written again.
	rewriteTime = 2 * time.Second
	pollTime    = 100 * time.Millisecond
)

// restoredFleet is a fleet whose entries read a store that comes back from a copy now and
// then. Engines leave and come, the configuration changes, and entries are restarted, paused,
// cut off from each other and refused by the store meanwhile.
type restoredFleet struct {
	*fleet
	t     *testing.T
	store publishedStore
	// history has the store's contents after each change of the current era, and when.
	history []publishedStore
	states  map[string]engineState
	// newest is the version of the newest acknowledged document, since when newestAt.
	newest     uint64
	newestAt   time.Duration
	readers    map[int]*storeReader
	restoredAt time.Duration
	// writers are the start times of the processes that wrote the rows, by revision.
	writers map[revision.Revision]int64
	// idleWatch is how long a read waits for a change, 0 for none.
	idleWatch time.Duration
	// departures are what the entries learned of engines that left, by entry and engine.
	departures map[knownEngine]knownDeparture
	// versions are the highest versions that the entries had since their starts.
	versions map[*fleetEntry]entryVersion
}

// publishedStore is the contents of the store at a time.
type publishedStore struct {
	at       time.Duration
	revision revision.Revision
	rows     map[string]event.Upstream
	version  uint64
}

// engineState is what an engine says of itself. A departed one has left at departedAt, as
// acknowledged by the store.
type engineState struct {
	row        event.Upstream
	gone       bool
	departedAt time.Duration
}

// storeReader is how far an entry has read the store.
type storeReader struct {
	at           revision.Revision
	readAt       time.Duration
	generation   uint64
	refused      bool
	refusedUntil time.Duration
}

type knownEngine struct {
	entry  int
	engine string
}

// knownDeparture is when an entry learned, since its latest start, that a process has left.
type knownDeparture struct {
	at         time.Duration
	generation uint64
	started    int64
}

type entryVersion struct {
	generation uint64
	version    uint64
}

func newRestoredFleet(t *testing.T, entries int, seed uint64) *restoredFleet {
	const engines = 6
	created := &restoredFleet{
		t: t, fleet: newFleet(0, engines, seed), states: make(map[string]engineState), readers: make(map[int]*storeReader),
		versions: make(map[*fleetEntry]entryVersion), departures: make(map[knownEngine]knownDeparture),
		writers: make(map[revision.Revision]int64),
	}
	created.stateChanged = created.recordDeparture
	created.published = func(*fleetEntry) []event.Input { return nil }
	created.arrivedAt = created.checkArrival
	created.readChanges = created.readAgain
	created.store = publishedStore{revision: revision.New(1, 100), rows: make(map[string]event.Upstream)}
	created.publishDocument()
	for _, engine := range created.engines {
		created.write(event.Upstream{Name: engine.name, Pool: "pool", Address: engine.name, Domain: "a", Started: 1000})
	}
	for i := range entries {
		created.entries = append(created.entries, &fleetEntry{number: i})
		created.readers[i] = &storeReader{}
	}
	for _, entry := range created.entries {
		created.start(entry)
		created.after(time.Duration(created.random.Int64N(int64(pollTime))), func() { created.poll(entry) })
	}
	return created
}

// change gives out the next revision and records the contents.
func (fleet *restoredFleet) change(apply func(store *publishedStore)) {
	fleet.store.rows = maps.Clone(fleet.store.rows)
	fleet.store.revision.Number++
	fleet.store.at = fleet.now
	apply(&fleet.store)
	fleet.history = append(fleet.history, fleet.store)
}

// write publishes what an engine says of itself.
func (fleet *restoredFleet) write(row event.Upstream) {
	fleet.change(func(store *publishedStore) {
		row.Era, row.Revision = store.revision.Era, store.revision.Number
		store.rows[row.Name] = row
		fleet.writers[store.revision] = row.Started
	})
	state := engineState{row: row}
	if row.Leaving {
		state.departedAt = fleet.now
		if before := fleet.states[row.Name]; before.row.Leaving && before.row.Started == row.Started {
			state.departedAt = before.departedAt
		}
	}
	fleet.states[row.Name] = state
}

func (fleet *restoredFleet) remove(name string) {
	fleet.change(func(store *publishedStore) { delete(store.rows, name) })
}

func (fleet *restoredFleet) publishDocument() {
	fleet.newest += 1 + fleet.random.Uint64N(3)
	fleet.newestAt = fleet.now
	fleet.change(func(store *publishedStore) { store.version = fleet.newest })
}

// restore brings the store back from a copy of the given age. Engines and the operator write
// again what the copy lacks; an engine that is gone expires.
func (fleet *restoredFleet) restore(age time.Duration) {
	saved := fleet.history[0]
	for _, past := range fleet.history {
		if past.at <= fleet.now-age {
			saved = past
		}
	}
	fleet.restoredAt = fleet.now
	era := fleet.store.revision.Era + 1
	fleet.store = saved
	fleet.store.revision.Era = era
	fleet.store.rows = make(map[string]event.Upstream, len(saved.rows))
	for name, row := range saved.rows {
		row.Era = era
		fleet.store.rows[name] = row
		fleet.writers[revision.New(era, row.Revision)] = row.Started
	}
	fleet.history = []publishedStore{fleet.store}
	fleet.after(fleet.upTo(rewriteTime), func() {
		if fleet.store.version < fleet.newest {
			fleet.change(func(store *publishedStore) { store.version = fleet.newest })
		}
	})
	for _, engine := range fleet.engines {
		fleet.after(fleet.upTo(rewriteTime), func() { fleet.rewrite(engine.name) })
		fleet.after(listExpiry, func() { fleet.expire(engine.name) })
	}
}

// rewrite writes the row of a running engine if the store has another one.
func (fleet *restoredFleet) rewrite(name string) {
	state := fleet.states[name]
	published, listed := fleet.store.rows[name]
	if !state.gone && (!listed || published.Leaving != state.row.Leaving || published.Started != state.row.Started) {
		fleet.write(state.row)
	}
}

func (fleet *restoredFleet) expire(name string) {
	if _, listed := fleet.store.rows[name]; listed && fleet.states[name].gone {
		fleet.remove(name)
	}
}

func (fleet *restoredFleet) upTo(limit time.Duration) time.Duration {
	return time.Duration(fleet.random.Int64N(int64(limit)))
}

// poll has an entry read the store: the whole list first and in a new era, else what changed.
func (fleet *restoredFleet) poll(entry *fleetEntry) {
	fleet.after(pollTime, func() { fleet.poll(entry) })
	reader := fleet.readers[entry.number]
	if fleet.now < entry.pausedUntil {
		return
	}
	if reader.generation != entry.generation {
		*reader = storeReader{generation: entry.generation, refusedUntil: reader.refusedUntil}
	}
	if fleet.now < reader.refusedUntil {
		if !reader.refused {
			fleet.deliver(entry, entry.generation, event.StoreUnreachable{})
		}
		reader.refused = true
		return
	}
	if !reader.refused && reader.at == fleet.store.revision && fleet.now-reader.readAt < fleet.idleWatch {
		return
	}
	fleet.read(entry, event.UpstreamListConfirmed{})
}

// readAgain has an entry read at once what changed.
func (fleet *restoredFleet) readAgain(entry *fleetEntry, asked event.ReadUpstreamChanges) {
	reader, generation := fleet.readers[entry.number], entry.generation
	fleet.after(storeDelay, func() {
		if entry.generation == generation && reader.generation == generation && fleet.now >= reader.refusedUntil && !reader.refused {
			fleet.read(entry, event.UpstreamListConfirmed(asked))
		}
	})
}

// read delivers what the store has that the entry does not know, then the confirmation.
func (fleet *restoredFleet) read(entry *fleetEntry, confirmed event.UpstreamListConfirmed) {
	reader := fleet.readers[entry.number]
	inputs := []event.Input{event.DocumentRead{Raw: fleet.document(fleet.store.version)}}
	if reader.refused {
		inputs = append(inputs, event.StoreReachable{})
	}
	reader.refused = false
	reader.readAt = fleet.now
	if reader.at.Era != fleet.store.revision.Era {
		rows := slices.SortedFunc(maps.Values(fleet.store.rows), func(a, b event.Upstream) int { return int(a.Revision) - int(b.Revision) })
		inputs = append(inputs, event.UpstreamListRead{Upstreams: rows, Revision: fleet.store.revision})
	} else {
		inputs = append(inputs, fleet.changesSince(reader.at)...)
	}
	reader.at = fleet.store.revision
	fleet.deliver(entry, entry.generation, append(inputs, confirmed)...)
}

func (fleet *restoredFleet) changesSince(at revision.Revision) []event.Input {
	var inputs []event.Input
	for i, past := range fleet.history {
		if !past.revision.After(at) || i == 0 {
			continue
		}
		for name := range fleet.history[i-1].rows {
			if _, listed := past.rows[name]; !listed {
				inputs = append(inputs, event.UpstreamRemoved{Name: name, Revision: past.revision})
			}
		}
		for _, row := range past.rows {
			if row.Revision == past.revision.Number {
				inputs = append(inputs, event.UpstreamUpdated{Upstream: row})
			}
		}
	}
	return inputs
}

// settled returns whether the entry was undisturbed and the store served it for contact.
func (fleet *restoredFleet) settled(entry *fleetEntry) bool {
	return fleet.inTouch(entry) && fleet.now-fleet.readers[entry.number].refusedUntil >= contact
}

func (fleet *restoredFleet) recordDeparture(entry *fleetEntry, change event.StateChanged) {
	started := fleet.writers[revision.New(change.Era, change.Version)]
	if state := fleet.states[change.Name]; change.State == event.Leaving && state.departedAt > 0 && state.row.Started == started {
		fleet.departures[knownEngine{entry.number, change.Name}] = knownDeparture{at: fleet.now, generation: entry.generation, started: started}
	}
}

// checkArrival checks that no engine gets a request after it has left: none from an entry that
// knew of it, and none at all while the store does not list what is gone.
func (fleet *restoredFleet) checkArrival(run *fleetRun) {
	state := fleet.states[run.engine.name]
	known := fleet.departures[knownEngine{run.entry.number, run.engine.name}]
	sure := fleet.settled(run.entry) && fleet.now-fleet.restoredAt > listExpiry+2*pollTime
	knew := known.generation == run.entry.generation && known.started == state.row.Started && fleet.now-known.at > applyTime
	if state.departedAt > 0 && fleet.now-state.departedAt > applyTime && (sure || knew) {
		fleet.t.Errorf("at %s: %s sent a request to %s, which left at %s", fleet.now, address(run.entry.number), run.engine.name, state.departedAt)
	}
}

// checkVersions checks that the newest document is in force, and no entry goes back to an
// older one.
func (fleet *restoredFleet) checkVersions() {
	for _, entry := range fleet.entries {
		version := entry.dispatcher.ConfigVersion()
		if fleet.settled(entry) && fleet.now-fleet.newestAt > applyTime && version < fleet.newest {
			fleet.t.Errorf("at %s: %s has version %d, want %d", fleet.now, address(entry.number), version, fleet.newest)
		}
		if before := fleet.versions[entry]; before.generation == entry.generation && version < before.version {
			fleet.t.Errorf("at %s: %s went from version %d back to %d", fleet.now, address(entry.number), before.version, version)
		}
		fleet.versions[entry] = entryVersion{generation: entry.generation, version: version}
	}
}

// disturb changes the store, an engine or an entry.
func (fleet *restoredFleet) disturb(turn int) {
	engine := fleet.engines[fleet.random.IntN(len(fleet.engines)-2)].name
	state := fleet.states[engine]
	switch {
	case turn%4 == 0:
		fleet.publishDocument()
	case turn%4 == 1 && state.row.Leaving:
		// Another process starts under the name, or the engine leaves for good.
		state.row.Started++
		state.row.Leaving = false
		fleet.write(state.row)
	case turn%4 == 1:
		state.row.Leaving = true
		fleet.write(state.row)
	case turn%4 == 2 && state.row.Leaving && !state.gone:
		state.gone = true
		fleet.states[engine] = state
		fleet.remove(engine)
	case turn%8 == 3:
		fleet.restore(fleet.upTo(9 * time.Second))
	default:
		fleet.disruptEntry(fleet.random.IntN(3 * len(fleet.entries)))
		fleet.readers[fleet.random.IntN(len(fleet.entries))].refusedUntil = fleet.now + fleet.upTo(8*time.Second)
	}
}

// TestStoreIsRestoredAgainAndAgain guards against entries that act on a revision of before a
// restore: a departed engine gets requests, a document is not in force or comes back older,
// or an engine that runs is lost.
func TestStoreIsRestoredAgainAndAgain(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{3, 40} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			forEachFleetSeed(t, fleetSeeds, func(t *testing.T, seed uint64) {
				fleet := newRestoredFleet(t, entries, seed)
				const disturbed, calm = 90 * time.Second, 20 * time.Second
				for turn := 0; fleet.now < disturbed; turn++ {
					fleet.runUntil(t, fleet.now+fleet.upTo(time.Second))
					fleet.disturb(turn)
					fleet.checkVersions()
					fleet.submitToAll()
				}
				fleet.runUntil(t, fleet.now+calm)
				fleet.checkVersions()
				fleet.checkUsable()
			})
		})
	}
}

// submitToAll sends a few requests to each entry.
func (fleet *restoredFleet) submitToAll() {
	for _, entry := range fleet.entries {
		for range 2 {
			fleet.submit(entry, nil, false, nil)
		}
	}
}

// checkUsable checks that the entries use just the engines that run and do not leave.
func (fleet *restoredFleet) checkUsable() {
	want := 0
	for _, state := range fleet.states {
		if !state.row.Leaving && !state.gone {
			want++
		}
	}
	for _, entry := range fleet.entries {
		if got, _ := entry.dispatcher.FleetSize(fleet.now - entry.startedAt); got != want {
			fleet.t.Errorf("%s has %d usable engines, want %d", address(entry.number), got, want)
		}
	}
}
