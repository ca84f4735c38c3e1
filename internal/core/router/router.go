// Package router is the core of an entry that reaches upstreams through sidecars.
//
// An entry is the router process that callers connect to, a sidecar the process
// beside one upstream. A core is a deterministic state machine without I/O, and
// the shell is the process around it with sockets and clocks.
//
// The router queues callers' requests, places them at sidecars and assembles the
// responses. Requests are bound late: the router reserves a queue slot at several
// sidecars, a sidecar with a free slot claims the request, and the router grants
// the first claim by sending the body there. If the last heartbeat of a sidecar
// is recent and reports free slots, the body is pushed with the reservation.
package router

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/config/distribution"
	"endivepost/internal/config/document"
	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/core/suspects"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/placement"
	"endivepost/internal/policy/retrybudget"
	"endivepost/internal/wire/message"
)

// Router holds the state of one entry. What it knows of the sidecars may be stale:
// a wrong choice costs one more message. The only rule that safety depends on is
// that a request ends as not-run only if its body was never sent, or if every
// sidecar that received it has refused it.
type Router struct {
	settings   Settings
	peers      *table.Table[string, peerRow]
	requests   *table.Table[message.RequestID, requestRow]
	requestDue *timerqueue.Queue[message.RequestID]
	dialDue    *timerqueue.Queue[string]
	suspects   *suspects.Table
	// crashCauses finds what requests that crash upstreams have in common.
	crashCauses    *crashcause.Finder
	crashReviewDue time.Duration
	config         *distribution.Distributor
	retries        *retrybudget.Budget
	// subsets holds the names of the chosen sidecars by class.
	subsets map[string][]string
	// unplaced are the requests that wait until a sidecar of their class connects or its
	// upstream is up.
	unplaced []message.RequestID
	ready    bool
	// configChecked is set once the configuration service has responded or failed to.
	configChecked bool
	membersRead   bool
	// membersReadAt is the time at which the published list was first read.
	membersReadAt time.Duration
	watching      bool
	draining      bool
	drained       bool
	lastStep      time.Duration
	heartbeatDue  time.Duration
	outputs       []event.Output
}

// Settings of a Router. All durations are measured on the entry's own clock.
type Settings struct {
	Name string
	// Domain is the entry's failure domain.
	Domain    string
	Placement placement.Policy
	// Queue orders the waiting requests. QueueCapacity is its capacity in requests.
	Queue order.Policy[message.RequestID]
	// Random is used for the choice of sidecars and for the jitter of dials.
	Random        *rand.Rand
	QueueCapacity int
	// SubsetSize is the number of sidecars per class that the entry connects to. Of a
	// non-idempotent class it connects to all.
	SubsetSize int
	// WatchersPerDomain is the number of entries per failure domain that watch the
	// configuration service.
	WatchersPerDomain int
	// PushLease is the maximum age of a heartbeat on which a body is pushed.
	PushLease         time.Duration
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a message after which a link is closed.
	HeartbeatTimeout time.Duration
	// ReattachTimeout is the time after the loss of a connection within which a
	// response may be resumed.
	ReattachTimeout time.Duration
	// ReadyGrace is how long a starting entry waits for the configuration versions of
	// its sidecars, from its first reading of the published list on.
	ReadyGrace time.Duration
	// RedialDelay is the mean of the first delay of the backoff between dials.
	RedialDelay time.Duration
	// ShedLate sheds waiting requests that can no longer meet their target for the first
	// token, if all of their sidecars have queued requests.
	ShedLate bool
}

const (
	// maxSuspects is the maximum number of crash suspects that are stored.
	maxSuspects = 4096
	// retryRatio is the number of retries allowed per success. Unused ones add up to
	// retryCapacity.
	retryRatio    = 0.1
	retryCapacity = 20
	// maxRefusals is the number of refusals after which a request is not placed again.
	maxRefusals = 4
	// bootstrapPeers is how many sidecars an entry without a document asks for it,
	// and how many must have reported their version for the entry to become ready
	// before ReadyGrace has passed.
	bootstrapPeers = 3
	// minRetryAfter is the shortest delay that is suggested to a caller.
	minRetryAfter = time.Second
	// maxWaitShare is the share of the time-to-first-token target that a request
	// may spend queued. The rest is left to the upstream.
	maxWaitShare = 0.7
	// cancelTimeout bounds the wait for a sidecar's response to a cancellation.
	cancelTimeout = 2 * time.Second
	// maxCountedFailures is the number of failures after which the redial delay no
	// longer doubles.
	maxCountedFailures = 5
)

// New returns a router without peers or configuration.
func New(settings Settings) *Router {
	return &Router{
		settings:    settings,
		peers:       table.New[string, peerRow](),
		requests:    table.New[message.RequestID, requestRow](),
		requestDue:  timerqueue.New[message.RequestID](),
		dialDue:     timerqueue.New[string](),
		suspects:    suspects.New(maxSuspects),
		crashCauses: crashcause.New(),
		config:      distribution.New(document.Parse),
		retries:     retrybudget.New(retryRatio, retryCapacity),
	}
}

// Step handles the inputs in order, then all timers that are due, and returns the
// outputs for the shell. Now is the process's uptime.
func (router *Router) Step(now time.Duration, inputs []event.Input) []event.Output {
	router.outputs = nil
	router.resetAfterPause(now)
	for _, input := range inputs {
		router.handle(now, input)
	}
	router.reviewCrashCauses(now)
	router.retryUnplaced(now)
	router.expireRequests(now)
	router.dial(now)
	router.sendHeartbeats(now)
	router.checkReady(now)
	router.reportDrained(now)
	router.lastStep = now
	return router.outputs
}

// NextDue returns the uptime at which the next step is due if no input arrives.
func (router *Router) NextDue() time.Duration {
	next := router.heartbeatDue
	if due, ok := router.requestDue.Next(); ok {
		next = min(next, due)
	}
	if due, ok := router.dialDue.Next(); ok {
		next = min(next, due)
	}
	if due, found := router.crashCauses.ReviewDue(); found {
		next = min(next, max(due, router.crashReviewDue))
	}
	return next
}

// ConfigVersion returns the version of the active class document, 0 before the
// first.
func (router *Router) ConfigVersion() uint64 {
	return router.config.Version()
}

// InProgress returns the number of requests without a final outcome.
func (router *Router) InProgress() int {
	return router.requests.Len()
}

func (router *Router) handle(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.Submitted:
		router.submit(now, input.Request)
	case event.CallerDisconnected:
		router.cancel(now, input.ID)
	case event.Received:
		router.receive(now, input)
	case event.LinkOpened:
		router.handleLinkOpened(now, input)
	case event.LinkClosed:
		router.handleLinkClosed(now, input)
	case event.MembersRead:
		router.setMembers(now, input.Members)
	case event.DocumentRead:
		router.configChecked = true
		router.applyDocument(now, router.config.Offer(input.Raw))
	case event.DocumentUnavailable:
		router.configChecked = true
	case event.DrainStarted:
		router.draining = true
	}
}

func (router *Router) receive(now time.Duration, received event.Received) {
	peer, ok := router.peers.Get(received.Peer)
	if !ok || peer.link != received.Link || peer.state != peerUp {
		return
	}
	router.peers.Put(received.Peer, peer.WithHeard(now))
	switch body := received.Message.(type) {
	case message.Heartbeat:
		router.handleHeartbeat(now, received, body)
	case message.Claim:
		router.handleClaim(now, received.Peer, body)
	case message.Refused:
		router.handleRefused(now, received.Peer, body)
	case message.Chunk:
		router.handleChunk(now, received.Peer, body)
	case message.End:
		router.handleEnd(now, received.Peer, body)
	case message.ConfigPull:
		router.emit(router.config.HandlePull(received.Peer, received.Link, body)...)
	case message.Config:
		router.applyDocument(now, router.config.HandleConfig(body))
	}
}

// applyDocument emits the distributor's outputs. If a document was accepted, the
// next heartbeats are due at once, so that peers learn the new version.
func (router *Router) applyDocument(now time.Duration, outputs []event.Output) {
	router.emit(outputs...)
	for _, output := range outputs {
		if _, accepted := output.(event.DocumentAccepted); accepted {
			router.heartbeatDue = min(router.heartbeatDue, now)
			router.chooseSubset(now)
		}
	}
}

// checkReady makes the entry ready once it has the newest configuration that it
// can reach: the service has responded or failed to, no known sidecar has
// reported a higher version, and bootstrapPeers sidecars have reported one or
// ReadyGrace has passed. Without this check a starting entry would serve an old
// configuration if the service returns a stale document.
func (router *Router) checkReady(now time.Duration) {
	if router.ready || !router.configChecked || !router.membersRead || router.config.Version() == 0 {
		return
	}
	reported := 0
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		if peer.configVersion > router.config.Version() {
			return
		}
		if peer.configVersion > 0 {
			reported++
		}
	}
	if reported < bootstrapPeers && now-router.membersReadAt < router.settings.ReadyGrace {
		return
	}
	router.ready = true
	router.emit(event.Ready{})
}

func (router *Router) reportDrained(now time.Duration) {
	if !router.draining || router.drained || router.requests.Len() > 0 {
		return
	}
	router.drained = true
	router.announceLeaving(now)
	router.emit(event.Drained{})
}

// announceLeaving notifies the sidecars that this entry will not reattach. A
// draining sidecar would otherwise wait for it.
func (router *Router) announceLeaving(now time.Duration) {
	for _, name := range router.peers.Keys() {
		router.send(name, message.Heartbeat{Uptime: now, ConfigVersion: router.config.Version(), Leaving: true})
	}
}

func (router *Router) emit(outputs ...event.Output) {
	router.outputs = append(router.outputs, outputs...)
}

// send emits a message on the peer's current link. Without an open link the
// message is dropped.
func (router *Router) send(name string, body message.Message) {
	peer, ok := router.peers.Get(name)
	if !ok || peer.state != peerUp {
		return
	}
	router.emit(event.Send{Peer: name, Link: peer.link, Message: body})
}
