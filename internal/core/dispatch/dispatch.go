// Package dispatch is the core of an entry that reaches upstreams without
// sidecars: it decides where each request goes, when it is sent once more, and
// when it is given up.
package dispatch

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/config/distribution"
	"endivepost/internal/core/event"
	"endivepost/internal/core/membership"
	"endivepost/internal/core/mesh"
	"endivepost/internal/core/suspects"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/dedicated"
	"endivepost/internal/policy/drainrate"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/outlier"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/wire/message"
)

// Dispatcher holds the tables of one entry and the systems that run over them
// in each step. One attempt belongs to one entry, so that a request runs at most
// once without any state beside the upstream: a request that must not be
// repeated is sent again only if the upstream says that it did not run, or if
// nothing was sent.
type Dispatcher struct {
	settings   Settings
	config     *distribution.Distributor
	roster     *membership.Membership
	mesh       *mesh.Mesh
	upstreams  *table.Table[string, upstreamRow]
	requests   *table.Table[message.RequestID, requestRow]
	requestDue *timerqueue.Queue[message.RequestID]
	// seen are the suspicions that this entry saw itself and passes on, heard those
	// that others told it of.
	seen  *suspects.Table
	heard *suspects.Table
	// cleared are the fingerprints that the next beat clears of suspicion.
	cleared []uint64
	retries map[string]*retrywindow.Window
	splits  map[string]*dedicated.Sizer
	rates   *outlier.Detector
	// views is what this step believes of each pool.
	views map[string]poolView
	ready bool
	// listRead says that the list of upstreams was read once, or told by a peer.
	listRead bool
	// listPullDue is when a peer may be asked for its list of upstreams.
	listPullDue time.Duration
	// placementsPullDue is when a peer may be asked for the placements it knows of.
	placementsPullDue time.Duration
	// pullFrom is the question for placements to the entry that connected last, until
	// it is sent.
	pullFrom *event.Send
	// informed says that what engines keep was told or asked; askKeptDue is when
	// they are asked.
	informed   bool
	askKeptDue time.Duration
	draining   bool
	drained    bool
	// moved says that upstreams changed, freed that one may have room again, since
	// the requests that wait were last looked at.
	moved bool
	freed bool
	// admitDue is when waiting requests may be looked at again.
	admitDue time.Duration
	// total is the work of all entries at each upstream, nil if it must be summed anew.
	total map[string]message.UpstreamLoad
	// waitingWork is the tokens of the prompts that wait for room.
	waitingWork float64
	drain       *drainrate.Rate
	answerTimes map[string]time.Duration
	lastStep    time.Duration
	beatDue     time.Duration
	listenDue   time.Duration
	outputs     []event.Output
}

// Settings of a Dispatcher. All durations are measured on the entry's own clock.
type Settings struct {
	// Domain is the failure domain of the entry.
	Domain  string
	Mesh    mesh.Settings
	Retries retrywindow.Settings
	Random  *rand.Rand
	// Queue orders the requests that wait for room at an engine.
	Queue order.Policy[message.RequestID]
	// HeartbeatInterval is the time between two beats to other entries.
	HeartbeatInterval time.Duration
	// UpstreamWait is how long a request waits for an upstream to come up.
	UpstreamWait time.Duration
}

const (
	suspectBound = 4096
	// refuseFrom is the number of upstreams that a request may crash.
	refuseFrom        = 3
	suspicionsPerBeat = 32
	// crowd is the number of entries beyond which the few that an entry hears say
	// too little of the load to be worth their bytes; crowdedBeats stretches the
	// time between beats then. News still goes out at once.
	crowd        = 24
	crowdedBeats = 5
	longestIdle  = time.Second
	forgiveAfter = time.Second
	// firstListPull leaves the configuration service time to give its list first;
	// listPullEvery is the time between asking one peer and another.
	firstListPull      = 300 * time.Millisecond
	listPullEvery      = time.Second
	listenEvery        = 100 * time.Millisecond
	shortestReturn     = 200 * time.Millisecond
	returnWhenDraining = 50 * time.Millisecond
)

// New returns a dispatcher without configuration and upstreams.
func New(settings Settings) *Dispatcher {
	return &Dispatcher{
		settings:    settings,
		config:      distribution.New(),
		roster:      membership.New(),
		mesh:        mesh.New(settings.Mesh),
		upstreams:   table.New[string, upstreamRow](),
		requests:    table.New[message.RequestID, requestRow](),
		requestDue:  timerqueue.New[message.RequestID](),
		seen:        suspects.New(suspectBound),
		heard:       suspects.New(suspectBound),
		retries:     make(map[string]*retrywindow.Window),
		splits:      make(map[string]*dedicated.Sizer),
		drain:       drainrate.New(drainSpan),
		rates:       outlier.New(),
		views:       make(map[string]poolView),
		listPullDue: firstListPull,
		answerTimes: make(map[string]time.Duration),
	}
}

// Step takes the inputs in order, runs the systems over the rows that are due
// or changed, and returns what the shell is to do. Now is the process's uptime.
func (dispatcher *Dispatcher) Step(now time.Duration, inputs []event.Input) []event.Output {
	dispatcher.outputs = nil
	clear(dispatcher.views)
	dispatcher.noticePause(now)
	for _, input := range inputs {
		dispatcher.take(now, input)
	}
	dispatcher.placeWaiting(now)
	dispatcher.expireWaiting(now)
	dispatcher.admit(now)
	dispatcher.moveFromSilent(now)
	dispatcher.emit(dispatcher.mesh.Dial(now)...)
	dispatcher.pullPlacements(now)
	dispatcher.askKept(now)
	dispatcher.beat(now)
	dispatcher.becomeReady()
	dispatcher.reportDrained()
	dispatcher.lastStep = now
	return dispatcher.outputs
}

// NextDue returns the time at which the next step is due without any input.
func (dispatcher *Dispatcher) NextDue() time.Duration {
	next := min(dispatcher.beatDue, dispatcher.lastStep+longestIdle)
	if due, ok := dispatcher.requestDue.Next(); ok {
		next = min(next, due)
	}
	if due, ok := dispatcher.mesh.NextDue(); ok {
		next = min(next, due)
	}
	if dispatcher.freed && dispatcher.waitingWork > 0 {
		next = min(next, dispatcher.admitDue)
	}
	if dispatcher.requests.Len() > 0 {
		next = min(next, dispatcher.listenDue)
	}
	return next
}

// ConfigVersion returns the version of the class document in force.
func (dispatcher *Dispatcher) ConfigVersion() uint64 {
	return dispatcher.config.Version()
}

// InProgress returns the number of requests without a final answer.
func (dispatcher *Dispatcher) InProgress() int {
	return dispatcher.requests.Len()
}

// FleetSize returns how many upstreams may be sent work, and how many entries
// share it.
func (dispatcher *Dispatcher) FleetSize(now time.Duration) (upstreams, entries int) {
	for _, row := range dispatcher.roster.Rows() {
		if dispatcher.roster.Usable(now, row.Name) {
			upstreams++
		}
	}
	return upstreams, dispatcher.mesh.EntryCount(now)
}

// KnownUpstreams returns how many upstreams anything is kept of.
func (dispatcher *Dispatcher) KnownUpstreams() int {
	return dispatcher.upstreams.Len()
}

// Peers returns the addresses of the entries that are connected.
func (dispatcher *Dispatcher) Peers() []string {
	return dispatcher.mesh.Addresses()[1:]
}

func (dispatcher *Dispatcher) take(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.Submitted:
		dispatcher.submit(now, input.Request)
	case event.AttemptFirstByte:
		dispatcher.answered(now, input)
	case event.AttemptProgressed:
		dispatcher.progressed(now, input)
	case event.AttemptEnded:
		dispatcher.ended(now, input)
	case event.CallerDisconnected:
		dispatcher.recall(now, input.ID)
	case event.DocumentRead:
		dispatcher.putInForce(now, dispatcher.config.Offer(input.Raw))
	case event.DrainStarted:
		dispatcher.draining = true
	default:
		dispatcher.takeSurroundings(now, input)
	}
}

// takeSurroundings takes what is told of upstreams and other entries.
func (dispatcher *Dispatcher) takeSurroundings(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.UpstreamUpdated:
		dispatcher.listUpstream(now, event.PublishedRow, input.Upstream)
	case event.UpstreamRemoved:
		dispatcher.noteUpstream(now, input.Name, event.RowRemoved, dispatcher.roster.Remove(now, input.Name, input.Revision))
	case event.UpstreamListRead:
		dispatcher.listRead = true
		dispatcher.forgetRestarted(input.Upstreams...)
		for _, name := range dispatcher.roster.Replace(now, input.Upstreams, input.Revision) {
			dispatcher.noteUpstream(now, name, event.FullList, true)
		}
	case event.CacheReported:
		dispatcher.takeKept(now, input)
	case event.StoreUnreachable:
		dispatcher.roster.StoreLost()
	case event.StoreReachable:
		dispatcher.roster.StoreRegained(now)
	case event.PeerDiscovered:
		dispatcher.mesh.AddPeer(now, input.Address)
	case event.LinkOpened:
		dispatcher.emit(dispatcher.mesh.HandleOpened(now, input)...)
		dispatcher.beatDue = min(dispatcher.beatDue, now)
		dispatcher.wantPlacements(input)
	case event.LinkClosed:
		dispatcher.mesh.HandleClosed(now, input)
	case event.Received:
		dispatcher.receive(now, input)
	}
}

// listUpstream takes a row of the published list.
func (dispatcher *Dispatcher) listUpstream(now time.Duration, source event.Source, upstream event.Upstream) {
	dispatcher.forgetRestarted(upstream)
	dispatcher.noteUpstream(now, upstream.Name, source, dispatcher.roster.Update(now, upstream))
}

// noteUpstream reports a change of an upstream's row for the log, and looks at
// the requests that wait for one.
func (dispatcher *Dispatcher) noteUpstream(now time.Duration, name string, source event.Source, changed bool) {
	if !changed {
		return
	}
	dispatcher.moved = true
	dispatcher.freed = true
	clear(dispatcher.views)
	upstream, _ := dispatcher.roster.Find(name)
	belief := event.Usable
	if !dispatcher.roster.Usable(now, name) {
		belief = event.Leaving
		dispatcher.rates.Forget(name)
		dispatcher.forgetKept(name)
	}
	dispatcher.emit(event.StateChanged{State: belief, Source: source, Name: name, Version: upstream.Revision})
	dispatcher.beatDue = min(dispatcher.beatDue, now)
}

// putInForce passes on what the spread says. A new document goes out with the
// next beats at once.
func (dispatcher *Dispatcher) putInForce(now time.Duration, outputs []event.Output) {
	dispatcher.emit(outputs...)
	for _, output := range outputs {
		if _, accepted := output.(event.DocumentAccepted); accepted {
			dispatcher.beatDue = min(dispatcher.beatDue, now)
		}
	}
}

// becomeReady lets the entry take callers once it has a class document and has
// heard of upstreams.
func (dispatcher *Dispatcher) becomeReady() {
	if dispatcher.ready || dispatcher.config.Version() == 0 || !dispatcher.listRead {
		return
	}
	dispatcher.ready = true
	dispatcher.emit(event.Ready{})
}

func (dispatcher *Dispatcher) reportDrained() {
	if !dispatcher.draining || dispatcher.drained || dispatcher.requests.Len() > 0 {
		return
	}
	dispatcher.drained = true
	dispatcher.emit(event.Drained{})
}

// noticePause forgives silences after a pause of this process: what others sent
// may lie unread.
func (dispatcher *Dispatcher) noticePause(now time.Duration) {
	if now-dispatcher.lastStep < longestIdle+forgiveAfter {
		return
	}
	dispatcher.mesh.ResetTimeouts(now)
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		dispatcher.upstreams.Put(name, row.WithHeard(now))
	}
}

func (dispatcher *Dispatcher) emit(outputs ...event.Output) {
	dispatcher.outputs = append(dispatcher.outputs, outputs...)
}
