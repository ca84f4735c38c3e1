package dispatch_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/dispatch"
	"endivepost/internal/core/event"
	"endivepost/internal/core/mesh"
	"endivepost/internal/data/revision"
	"endivepost/internal/data/table"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

// fleet runs entries that are linked to each other, and engines, in virtual time. Entries
// can be restarted, paused and cut off from the other entries.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	timers  timers
	entries []*fleetEntry
	engines []*fleetEngine
	runs    *table.Table[message.RequestID, *fleetRun]
	// The hooks are called when a request reaches an engine, is turned away there, begins its
	// response, crashes its engine, and has its final outcome.
	arrivedAt    func(run *fleetRun)
	turnedAway   func(run *fleetRun)
	started      func(run *fleetRun)
	crashedAt    func(run *fleetRun)
	stateChanged func(entry *fleetEntry, change event.StateChanged)
	finished     func(run *fleetRun, finish event.Finish)
	// readChanges answers an entry that asks for the changes of the published list.
	readChanges func(entry *fleetEntry, asked event.ReadUpstreamChanges)
	// published returns what an entry reads as it starts, restarted is called before.
	published func(entry *fleetEntry) []event.Input
	restarted func(entry *fleetEntry)
	class     document.Class
	pool      document.Pool
	// secondPool is in the document if it has a name.
	secondPool document.Pool
	sequence   uint64
	// prevented returns how an attempt ends that is not sent, 0 if it is.
	prevented func(run *fleetRun) event.AttemptResult
	// engineRestart is how long a crashed engine is down.
	engineRestart time.Duration
	// refusesDials is true if connections to an entry that is cut off are refused at once.
	refusesDials bool
	// resumeHold is that of the entries' settings.
	resumeHold time.Duration
}

// fleetEntry is one entry. Generation counts its starts; inputs for an earlier one are lost.
type fleetEntry struct {
	number      int
	dispatcher  *dispatch.Dispatcher
	generation  uint64
	startedAt   time.Duration
	pausedUntil time.Duration
	cut         bool
	// disruptedAt is the end of the last restart, pause or cut.
	disruptedAt time.Duration
	links       map[string]*fleetLink
}

// fleetLink is one end of a link between two entries.
type fleetLink struct {
	key        string
	number     uint64
	peer       int
	generation uint64
	remote     *fleetLink
}

// fleetEngine serves any number of requests at once, and none before downUntil. If robust,
// crashing requests do not crash it. If limited, its responses name limitPerSecond. If
// turnsAway is set, it runs no new requests and answers them by asking for a backoff of
// that length.
type fleetEngine struct {
	name           string
	downUntil      time.Duration
	robust         bool
	limited        bool
	limitPerSecond float64
	turnsAway      time.Duration
	// Until cutUntil requests to the engine are broken off, one for each idle connection, or
	// cannot connect. idleConnections counts those that an entry has left, by entry.
	cutUntil        time.Duration
	idleConnections map[int]int
}

// fleetRun is a request with its current attempt. Crashing requests crash the engine as
// they begin to write.
type fleetRun struct {
	request  event.Request
	entry    *fleetEntry
	attempt  event.Attempt
	engine   *fleetEngine
	running  bool
	began    bool
	delivery time.Duration
	crashing bool
	arrived  time.Duration
	// user is what the test knows of the request.
	user any
}

const (
	fleetDelay = time.Millisecond
	// dialRepeat is when TCP repeats the first packet of a connection, and dialTimeout when
	// the attempt to open a link fails.
	dialRepeat  = time.Second
	dialTimeout = 3 * time.Second
	// listExpiry is how long an engine that is gone stays in the published list.
	listExpiry = 3600 * time.Millisecond
	// crashDelay is the time from the begin of the response to the crash.
	crashDelay = 30 * time.Millisecond
)

var fleetClass = document.Class{
	Name: "chat", Tier: 1, Streamed: true, FirstToken: document.Duration(time.Second), TimeLimit: document.Duration(5 * time.Second),
	MaxAttempts: 2, Split: []document.Share{{Pool: "pool", Weight: 1}},
}

// address is the address of the numbered entry.
func address(number int) string {
	return fmt.Sprintf("entry-%d", number)
}

func newFleet(entries, engines int, seed uint64) *fleet {
	created := &fleet{
		random: rand.New(rand.NewPCG(seed, seed)), runs: table.New[message.RequestID, *fleetRun](), engineRestart: 3 * time.Second,
	}
	nothing := func(*fleetRun) {}
	created.arrivedAt, created.turnedAway, created.started, created.crashedAt = nothing, nothing, nothing, nothing
	created.stateChanged = func(*fleetEntry, event.StateChanged) {}
	created.finished = func(*fleetRun, event.Finish) {}
	for i := range engines {
		created.engines = append(created.engines, &fleetEngine{name: fmt.Sprintf("engine-%d", i)})
	}
	for i := range entries {
		created.entries = append(created.entries, &fleetEntry{number: i})
	}
	created.published = created.publishedAtStart
	created.restarted = func(*fleetEntry) {}
	created.readChanges = func(*fleetEntry, event.ReadUpstreamChanges) {}
	created.class = fleetClass
	created.pool = document.Pool{Name: "pool"}
	created.prevented = func(*fleetRun) event.AttemptResult { return 0 }
	for _, entry := range created.entries {
		created.start(entry)
	}
	return created
}

// start starts the entry, or restarts it without any of its state.
func (fleet *fleet) start(entry *fleetEntry) {
	for _, key := range slices.Sorted(maps.Keys(entry.links)) {
		fleet.closeLink(entry, entry.links[key])
	}
	entry.generation++
	entry.startedAt = fleet.now
	entry.disruptedAt = fleet.now
	entry.pausedUntil = 0
	entry.links = make(map[string]*fleetLink)
	random := rand.New(rand.NewPCG(uint64(entry.number), entry.generation))
	entry.dispatcher = dispatch.New(dispatch.Settings{
		Domain: "a", Random: random, Queue: tiered.New[message.RequestID](tiered.Floor{Wait: time.Second, Every: 6}),
		HeartbeatInterval: 200 * time.Millisecond, UpstreamWait: 400 * time.Millisecond,
		Mesh: mesh.Settings{
			Self: address(entry.number), Fanout: 8, HeartbeatTimeout: 2500 * time.Millisecond, RedialDelay: 300 * time.Millisecond, Random: random,
		},
		Retries: retrywindow.Settings{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}, ListExpiry: listExpiry, ResumeHold: fleet.resumeHold,
		Cold: dispatch.ColdBounds{Ratio: 1.5, Slack: 5},
	})
	fleet.restarted(entry)
	inputs := fleet.published(entry)
	for _, other := range fleet.entries {
		inputs = append(inputs, event.PeerDiscovered{Address: address(other.number)})
	}
	for _, input := range inputs {
		fleet.deliver(entry, entry.generation, input)
	}
}

// publishedAtStart returns the document and the list of all engines.
func (fleet *fleet) publishedAtStart(*fleetEntry) []event.Input {
	var listed []event.Upstream
	for _, engine := range fleet.engines {
		listed = append(listed, event.Upstream{Name: engine.name, Pool: "pool", Address: engine.name, Domain: "a", Revision: 1})
	}
	return []event.Input{event.DocumentRead{Raw: fleet.document(1)}, event.UpstreamListRead{Upstreams: listed, Revision: revision.New(0, 1)}}
}

// document returns the class document of the version, as JSON.
func (fleet *fleet) document(version uint64) []byte {
	pools := []document.Pool{fleet.pool}
	if fleet.secondPool.Name != "" {
		pools = append(pools, fleet.secondPool)
	}
	raw, _ := json.Marshal(document.Document{Version: version, SelfRegistration: true, Classes: []document.Class{fleet.class}, Pools: pools})
	return raw
}

// pause stops the entry for a time. Its inputs wait.
func (fleet *fleet) pause(entry *fleetEntry, duration time.Duration) {
	entry.pausedUntil = fleet.now + duration
	entry.disruptedAt = max(entry.disruptedAt, entry.pausedUntil)
}

// cutOff cuts the entry off from all other entries for a time. Messages are lost.
func (fleet *fleet) cutOff(entry *fleetEntry, duration time.Duration) {
	entry.cut = true
	entry.disruptedAt = max(entry.disruptedAt, fleet.now+duration)
	fleet.after(duration, func() { entry.cut = false })
}

// disruptEntry restarts an entry, pauses it or cuts it off, in turn.
func (fleet *fleet) disruptEntry(turn int) {
	entry := fleet.entries[turn%len(fleet.entries)]
	switch turn % 3 {
	case 0:
		fleet.start(entry)
	case 1:
		fleet.pause(entry, 2*time.Second)
	default:
		fleet.cutOff(entry, 4*time.Second)
	}
}

// fleetSeeds is the number of seeds of most tests with a fleet.
const fleetSeeds = 4

// forEachFleetSeed runs the test with some seeds at the same time.
func forEachFleetSeed(t *testing.T, seeds uint64, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

// inTouch returns whether the entry has been undisturbed for contact.
func (fleet *fleet) inTouch(entry *fleetEntry) bool {
	return fleet.now-entry.disruptedAt >= contact
}

// submit sends a request to the entry.
func (fleet *fleet) submit(entry *fleetEntry, parts []uint64, crashing bool, user any) {
	request := fleet.newRequest(entry)
	for _, part := range parts {
		request.Prompt.Parts = append(request.Prompt.Parts, event.PromptPart{ID: part, Tokens: 100})
		request.Prompt.Tokens += 100
	}
	fleet.submitRequest(entry, request, crashing, user)
}

// newRequest returns a request to the entry, with a fingerprint and a stream of its own.
func (fleet *fleet) newRequest(entry *fleetEntry) event.Request {
	fleet.sequence++
	return event.Request{
		ID: message.NewRequestID(entry.generation<<16|uint64(entry.number), fleet.sequence), Class: fleet.class, Tier: 1,
		Fingerprint: 1<<40 + fleet.sequence, Timeout: 5 * time.Second, Stream: fleet.sequence,
	}
}

func (fleet *fleet) submitRequest(entry *fleetEntry, request event.Request, crashing bool, user any) {
	fleet.runs.Put(request.ID, &fleetRun{
		request: request, entry: entry, crashing: crashing, user: user, arrived: fleet.now,
		delivery: time.Duration(300+fleet.random.IntN(1200)) * time.Millisecond,
	})
	fleet.deliver(entry, entry.generation, event.Submitted{Request: request})
}

// deliver steps the entry with an input, once it is not paused.
func (fleet *fleet) deliver(entry *fleetEntry, generation uint64, inputs ...event.Input) {
	if entry.generation != generation {
		return
	}
	if fleet.now < entry.pausedUntil {
		fleet.after(entry.pausedUntil-fleet.now, func() { fleet.deliver(entry, generation, inputs...) })
		return
	}
	outputs := entry.dispatcher.Step(fleet.now-entry.startedAt, inputs)
	for _, output := range outputs {
		fleet.perform(entry, output)
	}
	if len(inputs) == 0 || len(outputs) > 0 {
		wake := max(entry.dispatcher.NextDue()+entry.startedAt-fleet.now, fleetDelay)
		fleet.after(wake, func() { fleet.wake(entry, generation) })
	}
}

// wake steps the entry if it is due.
func (fleet *fleet) wake(entry *fleetEntry, generation uint64) {
	if entry.generation == generation && entry.dispatcher.NextDue() <= fleet.now-entry.startedAt {
		fleet.deliver(entry, generation)
	}
}

// perform executes an output as the entry's shell would.
func (fleet *fleet) perform(entry *fleetEntry, output event.Output) {
	switch output := output.(type) {
	case event.Attempt:
		run, _ := fleet.runs.Get(output.ID)
		fleet.send(run, output)
	case event.StopRun:
		run, _ := fleet.runs.Get(output.ID)
		fleet.end(run, run.attempt.Number, event.Stopped)
	case event.Finish:
		run, _ := fleet.runs.Get(output.ID)
		fleet.runs.Delete(output.ID)
		fleet.finished(run, output)
	case event.StateChanged:
		fleet.stateChanged(entry, output)
	case event.ReadUpstreamChanges:
		fleet.readChanges(entry, output)
	case event.Dial:
		fleet.dial(entry, output)
	case event.CloseLink:
		if link, ok := entry.links[output.Peer]; ok && link.number == output.Link {
			fleet.closeLink(entry, link)
		}
	case event.Send:
		link, ok := entry.links[output.Peer]
		if !ok || link.number != output.Link {
			return
		}
		remote := fleet.entries[link.peer]
		if !entry.cut && !remote.cut {
			fleet.after(fleetDelay, func() {
				fleet.deliver(remote, link.remote.generation, event.Received{Peer: link.remote.key, Link: link.remote.number, Message: output.Message})
			})
		}
	}
}

// dial opens a link. Between entries that are cut off from each other the attempt is
// repeated after dialRepeat, as TCP does, and fails after dialTimeout, or else at once.
func (fleet *fleet) dial(entry *fleetEntry, dial event.Dial) {
	generation := entry.generation
	started := fleet.now
	var attempt func()
	attempt = func() {
		switch passed := fleet.now - started; {
		case entry.generation != generation:
		case !entry.cut && !fleet.dialled(dial).cut:
			fleet.openLink(entry, dial)
		case fleet.refusesDials:
			fleet.deliver(entry, generation, event.LinkClosed{Peer: dial.Peer, Link: dial.Link})
		case passed < dialRepeat:
			fleet.after(dialRepeat-passed, attempt)
		default:
			fleet.after(dialTimeout-passed, func() { fleet.deliver(entry, generation, event.LinkClosed{Peer: dial.Peer, Link: dial.Link}) })
		}
	}
	fleet.after(fleetDelay, attempt)
}

// dialled is the entry at the address.
func (fleet *fleet) dialled(dial event.Dial) *fleetEntry {
	var number int
	_, _ = fmt.Sscanf(strings.TrimPrefix(dial.Address, "entry-"), "%d", &number)
	return fleet.entries[number]
}

func (fleet *fleet) openLink(entry *fleetEntry, dial event.Dial) {
	remote := fleet.dialled(dial)
	fleet.sequence++
	near := &fleetLink{key: dial.Peer, number: dial.Link, peer: remote.number, generation: entry.generation}
	far := &fleetLink{key: mesh.AcceptedKey(address(entry.number)), number: fleet.sequence, peer: entry.number, generation: remote.generation, remote: near}
	near.remote = far
	entry.links[near.key] = near
	remote.links[far.key] = far
	fleet.deliver(entry, near.generation, event.LinkOpened{Peer: near.key, Link: near.number})
	fleet.deliver(remote, far.generation, event.LinkOpened{Peer: far.key, Link: far.number})
}

// closeLink closes both ends of a link.
func (fleet *fleet) closeLink(entry *fleetEntry, link *fleetLink) {
	fleet.closeEnd(entry, link)
	fleet.closeEnd(fleet.entries[link.peer], link.remote)
}

func (fleet *fleet) closeEnd(entry *fleetEntry, end *fleetLink) {
	if entry.links[end.key] == end {
		delete(entry.links, end.key)
	}
	fleet.after(fleetDelay, func() { fleet.deliver(entry, end.generation, event.LinkClosed{Peer: end.key, Link: end.number}) })
}

// send brings an attempt to its engine.
func (fleet *fleet) send(run *fleetRun, attempt event.Attempt) {
	run.attempt = attempt
	for _, engine := range fleet.engines {
		if engine.name == attempt.Upstream {
			run.engine = engine
		}
	}
	if fleet.now < run.engine.downUntil || fleet.now < run.engine.cutUntil {
		fleet.end(run, attempt.Number, fleet.failure(run))
		return
	}
	if result := fleet.prevented(run); result != 0 {
		fleet.end(run, attempt.Number, result)
		return
	}
	run.running = true
	run.began = false
	fleet.arrivedAt(run)
	if run.engine.turnsAway > 0 {
		fleet.turnedAway(run)
		fleet.report(run, event.BackoffRequested{Upstream: run.engine.name, For: run.engine.turnsAway})
		fleet.end(run, attempt.Number, event.Declined)
		return
	}
	first := time.Duration(50+fleet.random.IntN(200)) * time.Millisecond
	fleet.whileRunning(run, first, func() { fleet.begin(run) })
}

// idleConnections is how many idle connections an entry has to an engine that is cut off.
const idleConnections = 4

// failure returns how an attempt fails at an engine that is down or cut off.
func (fleet *fleet) failure(run *fleetRun) event.AttemptResult {
	if fleet.now < run.engine.downUntil {
		return event.ConnectFailed
	}
	used := run.engine.idleConnections[run.entry.number]
	run.engine.idleConnections[run.entry.number] = used + 1
	if used < idleConnections {
		return event.Interrupted
	}
	return event.ConnectFailed
}

// whileRunning calls the function later if the attempt is still running then.
func (fleet *fleet) whileRunning(run *fleetRun, delay time.Duration, call func()) {
	number := run.attempt.Number
	fleet.after(delay, func() {
		if run.running && run.attempt.Number == number {
			call()
		}
	})
}

// begin begins the response.
func (fleet *fleet) begin(run *fleetRun) {
	if run.crashing && !run.engine.robust {
		fleet.whileRunning(run, crashDelay, func() {
			fleet.crashedAt(run)
			fleet.crash(run.engine)
		})
		return
	}
	run.began = true
	fleet.started(run)
	if engine := run.engine; engine.limited || engine.limitPerSecond > 0 {
		fleet.report(run, event.LimitReported{Upstream: engine.name, Limited: engine.limited, PerSecond: engine.limitPerSecond})
	}
	fleet.report(run, event.AttemptFirstByte{ID: run.request.ID, Number: run.attempt.Number})
	const interval = 250 * time.Millisecond
	for passed := interval; passed < run.delivery; passed += interval {
		fleet.whileRunning(run, passed, func() {
			fleet.report(run, event.AttemptProgressed{ID: run.request.ID, Number: run.attempt.Number, Events: 5})
		})
	}
	fleet.whileRunning(run, run.delivery, func() { fleet.end(run, run.attempt.Number, event.Completed) })
}

// report delivers an input about the run to its entry.
func (fleet *fleet) report(run *fleetRun, input event.Input) {
	generation := run.entry.generation
	fleet.after(fleetDelay, func() { fleet.deliver(run.entry, generation, input) })
}

// end ends the attempt.
func (fleet *fleet) end(run *fleetRun, number int, result event.AttemptResult) {
	run.running = false
	fleet.report(run, event.AttemptEnded{ID: run.request.ID, Number: number, Result: result, Delivered: run.began})
}

// crash ends all responses of the engine, and starts it again later.
func (fleet *fleet) crash(engine *fleetEngine) {
	engine.downUntil = fleet.now + fleet.engineRestart
	fleet.interruptAll(engine)
}

// interruptAll breaks off all responses of the engine.
func (fleet *fleet) interruptAll(engine *fleetEngine) {
	for _, id := range fleet.runs.Keys() {
		if run, _ := fleet.runs.Get(id); run.running && run.engine == engine {
			fleet.end(run, run.attempt.Number, event.Interrupted)
		}
	}
}

// at calls the function at a time since the start.
func (fleet *fleet) at(at time.Duration, call func()) { fleet.after(at-fleet.now, call) }

// every calls the function again and again until the end.
func (fleet *fleet) every(end time.Duration, gap func() time.Duration, call func()) {
	if fleet.now >= end {
		return
	}
	fleet.after(gap(), func() {
		call()
		fleet.every(end, gap, call)
	})
}

// after calls the function after the delay.
func (fleet *fleet) after(delay time.Duration, call func()) {
	fleet.timers.sequence++
	heap.Push(&fleet.timers, timer{at: fleet.now + delay, sequence: fleet.timers.sequence, call: call})
}

// runUntil runs the fleet to the given time.
func (fleet *fleet) runUntil(t *testing.T, end time.Duration) {
	t.Helper()
	for fleet.timers.Len() > 0 && fleet.timers.list[0].at <= end {
		next, _ := heap.Pop(&fleet.timers).(timer)
		fleet.now = next.at
		next.call()
	}
	fleet.now = end
}

type timer struct {
	at       time.Duration
	sequence int
	call     func()
}

// timers is a heap of timers by time, then by creation.
type timers struct {
	list     []timer
	sequence int
}

func (timers *timers) Len() int      { return len(timers.list) }
func (timers *timers) Swap(i, j int) { timers.list[i], timers.list[j] = timers.list[j], timers.list[i] }
func (timers *timers) Push(added any) {
	timer, _ := added.(timer)
	timers.list = append(timers.list, timer)
}

func (timers *timers) Less(i, j int) bool {
	if timers.list[i].at != timers.list[j].at {
		return timers.list[i].at < timers.list[j].at
	}
	return timers.list[i].sequence < timers.list[j].sequence
}

func (timers *timers) Pop() any {
	last := timers.list[len(timers.list)-1]
	timers.list = timers.list[:len(timers.list)-1]
	return last
}
