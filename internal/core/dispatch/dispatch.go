// Package dispatch is the core of an entry that sends requests directly to the
// upstreams, without sidecars: it selects the upstream of each attempt, holds
// requests in a queue while engines have no capacity, retries them, and ends
// those that cannot be served in time. An entry is a router process that callers
// connect to, an upstream a model engine or a plain service. A core is a
// deterministic state machine without I/O; the shell around it owns the sockets and
// the clock.
package dispatch

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/config/distribution"
	"endivepost/internal/config/document"
	"endivepost/internal/core/classpools"
	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/evacuation"
	"endivepost/internal/core/event"
	"endivepost/internal/core/freshread"
	"endivepost/internal/core/membership"
	"endivepost/internal/core/mesh"
	"endivepost/internal/core/recentrows"
	"endivepost/internal/core/streamorigin"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/dedicated"
	"endivepost/internal/policy/drainrate"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/outlier"
	"endivepost/internal/policy/retrywindow"
	"endivepost/internal/policy/sensitivity"
	"endivepost/internal/wire/message"
)

// Dispatcher holds the state of one entry as tables and updates them in each step.
// Only the entry that accepted a request sends attempts for it, so at-most-once
// execution needs no state next to the upstream: a non-idempotent request is sent
// again only if the upstream reports that it did not run it, or if nothing was
// sent.
type Dispatcher struct {
	settings   Settings
	config     *distribution.Distributor
	membership *membership.Membership
	// evacuations are the evacuated domains; uncheckedDomains are those of which it has not
	// been checked that an upstream is listed there.
	evacuations      *evacuation.Evacuations
	uncheckedDomains []evacuation.Change
	// holdUntil is until when nothing is sent after a pause, 0 without one.
	holdUntil  time.Duration
	mesh       *mesh.Mesh
	upstreams  *table.Table[string, upstreamRow]
	requests   *table.Table[message.RequestID, requestRow]
	requestDue *timerqueue.Queue[message.RequestID]
	// crashCauses finds what requests that crash upstreams have in common.
	crashCauses    *crashcause.Finder
	crashReviewDue time.Duration
	// origins are the builds of the upstreams that began streams. listConfirmedAt is when the
	// upstream list was last known to be up to date.
	origins         *streamorigin.Origins
	listConfirmed   bool
	listConfirmedAt time.Duration
	// backups are the streams that a few other entries are to be told.
	backups message.StreamOrigins
	// restarts are the upstreams that restarted lately under their names.
	restarts recentrows.Rows
	// classPools are the pools that served each class lately.
	classPools *classpools.History
	// listReads are the reads of the list that were asked for since a stream was taken up.
	listReads freshread.Reads
	// originsDue is when the streams that have begun are told, 0 if none are to be.
	originsDue time.Duration
	// originsPullDue is true if the peers are to be asked which builds they know, originsAskedAt
	// is when they were asked last, and originsAnswers what they answered last, by link.
	originsPullDue bool
	originsAskedAt time.Duration
	originsAnswers map[string]originsAnswer
	// connectedAt is when this entry last had a connection to another.
	connectedAt time.Duration
	// waitsForOrigin is true if a request waits until a peer tells which build began its
	// stream.
	waitsForOrigin bool
	retryWindows   map[string]*retrywindow.Window
	sizers         map[string]*dedicated.Sizer
	classifiers    map[string]*sensitivity.Classifier
	outliers       *outlier.Detector
	// speeds are the estimated speeds of the engines by pool.
	speeds map[string]*poolSpeeds
	// pools caches the snapshot of each pool for the current step.
	pools map[string]poolSnapshot
	ready bool
	// listKnown is true once the upstream list was read or received from a peer.
	listKnown bool
	// listPullDue is when the next peer may be asked for its upstream list.
	listPullDue time.Duration
	// placementsPullDue is when the next peer may be asked for its placements.
	placementsPullDue time.Duration
	// pendingPlacementsPull is the unsent pull from the peer that connected last.
	pendingPlacementsPull *event.Send
	// cachesKnown is true once a peer sent complete placements or the engines were
	// queried for their cached prefixes; cacheQueryDue is when they are queried.
	cachesKnown   bool
	cacheQueryDue time.Duration
	draining      bool
	drained       bool
	// exitAt is when the draining process exits, 0 if it waits for all work, releasedAt when
	// the load balancer sends requests elsewhere.
	exitAt     time.Duration
	releasedAt time.Duration
	// answered is true once the requests without a response were answered before the exit.
	answered bool
	// upstreamsChanged and capacityFreed record that, since waiting requests were
	// last examined, upstreams changed or one may have capacity again.
	upstreamsChanged bool
	capacityFreed    bool
	// admitDue is the earliest time of the next pass over the queue.
	admitDue time.Duration
	// limitDue is when an upstream whose rate limit left no request may get one, 0 if none.
	limitDue time.Duration
	// backoffDue is when the next upstream may be sent something again after a backoff, 0 if
	// none asked for one.
	backoffDue time.Duration
	// totalLoads is the load of all entries by upstream, nil if it is out of date.
	totalLoads map[string]message.UpstreamLoad
	cold       coldUpstreams
	// queuedTokens counts the prompt tokens of the queued requests by tier.
	queuedTokens map[int]int
	// drainRate is the rate at which prompt tokens leave the queue. The fields draining
	// and drained are about the shutdown of the entry instead. The map responseTimes has
	// the average response time by class.
	drainRate     *drainrate.Rate
	responseTimes map[string]time.Duration
	lastStep      time.Duration
	// stepDue is when the step after the last one was due. Watched is the time in which this
	// process ran and so would have noticed what upstreams send.
	stepDue      time.Duration
	watched      time.Duration
	heartbeatDue time.Duration
	// heartbeatSentAt is when the last heartbeat was sent.
	heartbeatSentAt time.Duration
	// toldBefore has the loads that the peers were told last. toldEntries are the entries,
	// entriesDue is when they are told again; the same for builds.
	toldBefore       message.EntryHeartbeat
	toldEntries      []string
	entriesDue       time.Duration
	toldBuilds       []message.PoolBuilds
	buildsDue        time.Duration
	livenessCheckDue time.Duration
	outputs          []event.Output
}

// Settings of a Dispatcher. All durations are measured on the entry's own clock.
type Settings struct {
	// Domain is the failure domain of the entry. Upstreams in it are preferred.
	Domain string
	Mesh   mesh.Settings
	// Retries limits the retries in each pool.
	Retries retrywindow.Settings
	// Random draws pools, one of several equal upstreams, and Retry-After's jitter.
	Random *rand.Rand
	// Queue orders the requests that wait for capacity at an engine.
	Queue order.Policy[message.RequestID]
	// HeartbeatInterval is the time between two heartbeats to other entries.
	HeartbeatInterval time.Duration
	// UpstreamWait is how long a request waits for a usable upstream.
	UpstreamWait time.Duration
	// ListExpiry is how long an upstream that is gone stays in the published list.
	ListExpiry time.Duration
	// ResumeHold is how long nothing is sent after a long pause of this process, so that what
	// has arrived meanwhile, which may contain an evacuation, is handled first; 0 for no time.
	ResumeHold time.Duration
	// Cold bounds what is sent to cold upstreams.
	Cold ColdBounds
}

const (
	// crashReviewInterval is the least time between two reviews of what crashes upstreams:
	// it limits the processor time of the entry while many responses are interrupted.
	crashReviewInterval = 50 * time.Millisecond
	// largeFleet is the number of known entries above which heartbeats carry no
	// load: an entry is connected to so few of the others that their loads are not
	// worth the traffic. The heartbeat interval is then multiplied by
	// largeFleetIntervalFactor; changes still trigger a heartbeat at once.
	largeFleet               = 24
	largeFleetIntervalFactor = 5
	// maxStepInterval is the longest time from a step until the next one is due. If that one
	// is later than lateStep, the time by which it is late does not count as watched, since
	// this process did not run; if it is pauseThreshold or more, the process was paused.
	maxStepInterval = time.Second
	lateStep        = livenessCheckInterval
	pauseThreshold  = time.Second
	// No peer's upstream list is pulled before the uptime firstListPullDelay, since the
	// published one may come first, nor sooner than listPullInterval after another pull.
	firstListPullDelay = 300 * time.Millisecond
	listPullInterval   = time.Second
	// livenessCheckInterval is the time between checks for silent upstreams.
	livenessCheckInterval = 100 * time.Millisecond
	// minRetryAfter is the least Retry-After of an entry that does not drain. Up to
	// as much again is added at random, so that callers do not retry all at once.
	minRetryAfter = 200 * time.Millisecond
	// drainingRetryAfter is short: another entry can take the request at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// New returns a dispatcher that has no class document and no upstreams yet.
func New(settings Settings) *Dispatcher {
	return &Dispatcher{
		settings:    settings,
		config:      distribution.New(document.ParseTranslated),
		membership:  membership.New(settings.ListExpiry),
		evacuations: evacuation.New(),
		mesh:        mesh.New(settings.Mesh),
		upstreams:   table.New[string, upstreamRow](),
		requests:    table.New[message.RequestID, requestRow](),
		requestDue:  timerqueue.New[message.RequestID](),
		crashCauses: crashcause.New(),
		origins:     streamorigin.New(),
		classPools:  classpools.New(streamorigin.Retention),

		originsAnswers: make(map[string]originsAnswer),
		retryWindows:   make(map[string]*retrywindow.Window),
		sizers:         make(map[string]*dedicated.Sizer),
		classifiers:    make(map[string]*sensitivity.Classifier),
		drainRate:      drainrate.New(drainRateWindow),
		outliers:       outlier.New(),
		speeds:         make(map[string]*poolSpeeds),
		pools:          make(map[string]poolSnapshot),
		listPullDue:    firstListPullDelay,
		queuedTokens:   make(map[int]int),
		responseTimes:  make(map[string]time.Duration),
		cold:           newColdUpstreams(),
	}
}

// Step handles the inputs in order, then processes the requests and peers that
// are due or changed, and returns the outputs for the shell to perform. Now is the
// uptime of the process.
func (dispatcher *Dispatcher) Step(now time.Duration, inputs []event.Input) []event.Output {
	dispatcher.outputs = nil
	clear(dispatcher.pools)
	clear(dispatcher.cold.places)
	dispatcher.observePause(now)
	dispatcher.origins.TellAll(dispatcher.mesh.KnownCount() <= largeFleet)
	dispatcher.reviewCold(now)
	for _, input := range inputs {
		dispatcher.handleInput(now, input)
	}
	dispatcher.reviewCrashCauses(now)
	dispatcher.checkBackoffs(now)
	dispatcher.checkEvacuations(now)
	dispatcher.placeWaiting(now)
	dispatcher.expireWaiting(now)
	dispatcher.checkLimits(now)
	dispatcher.admit(now)
	dispatcher.checkSilence(now)
	dispatcher.answerBeforeExit(now)
	dispatcher.emit(dispatcher.mesh.Dial(now)...)
	dispatcher.pullPlacements(now)
	dispatcher.queryCaches(now)
	dispatcher.sendHeartbeat(now)
	dispatcher.sendOrigins(now)
	dispatcher.pullOrigins(now)
	dispatcher.readList(now)
	dispatcher.becomeReady()
	dispatcher.reportDrained()
	if dispatcher.mesh.Connected() {
		dispatcher.connectedAt = now
	}
	dispatcher.lastStep = now
	dispatcher.stepDue = dispatcher.NextDue()
	return dispatcher.outputs
}

// ConfigVersion returns the version of the active class document, 0 without one.
func (dispatcher *Dispatcher) ConfigVersion() uint64 {
	return dispatcher.config.Version()
}

// InProgress returns the number of requests without a final outcome.
func (dispatcher *Dispatcher) InProgress() int {
	return dispatcher.requests.Len()
}

// FleetSize returns the number of usable upstreams and of entries, including this one.
func (dispatcher *Dispatcher) FleetSize(now time.Duration) (upstreams, entries int) {
	for _, row := range dispatcher.membership.Rows() {
		if dispatcher.membership.Usable(now, row.Name) {
			upstreams++
		}
	}
	return upstreams, dispatcher.mesh.EntryCount(now)
}

// KnownUpstreams returns the number of upstreams that the dispatcher stores state for.
func (dispatcher *Dispatcher) KnownUpstreams() int {
	return dispatcher.upstreams.Len()
}

// Peers returns the addresses of the connected entries.
func (dispatcher *Dispatcher) Peers() []string {
	return dispatcher.mesh.Addresses()[1:]
}

// becomeReady emits Ready once the entry has a class document and an upstream list.
func (dispatcher *Dispatcher) becomeReady() {
	if dispatcher.ready || dispatcher.config.Version() == 0 || !dispatcher.listKnown {
		return
	}
	dispatcher.ready = true
	dispatcher.emit(event.Ready{})
}

// observePause counts the time since the last step as watched, without that by which this
// step is late: what upstreams sent while this process did not run may not have been read
// yet. After a long pause the timeouts of peers start anew for the same reason.
func (dispatcher *Dispatcher) observePause(now time.Duration) {
	late := now - max(dispatcher.stepDue, dispatcher.lastStep)
	watched := now - dispatcher.lastStep
	if late > lateStep {
		watched -= late
	}
	dispatcher.watched += watched
	dispatcher.holdAfterPause(now, late)
	if late >= pauseThreshold {
		dispatcher.mesh.ResetTimeouts(now)
	}
}

func (dispatcher *Dispatcher) emit(outputs ...event.Output) {
	dispatcher.outputs = append(dispatcher.outputs, outputs...)
}
