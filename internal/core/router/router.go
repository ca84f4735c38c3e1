// Package router is the core of the entry: it holds callers' requests, places
// them at sidecars, and puts their answers together.
package router

import (
	"math/rand/v2"
	"time"

	"endivepost/internal/config/distribution"
	"endivepost/internal/core/event"
	"endivepost/internal/core/suspects"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/placement"
	"endivepost/internal/policy/retrybudget"
	"endivepost/internal/wire/message"
)

// Router holds the tables of one entry and the systems that run over them in
// each step. It has no view that must be right: a wrong one costs a message.
// Its one duty that matters for safety is to say not-run only of requests whose
// body it has not sent, or has been told was not run.
type Router struct {
	settings   Settings
	peers      *table.Table[string, peerRow]
	requests   *table.Table[message.RequestID, requestRow]
	requestDue *timerqueue.Queue[message.RequestID]
	dialDue    *timerqueue.Queue[string]
	suspects   *suspects.Table
	config     *distribution.Distributor
	retries    *retrybudget.Budget
	serving    map[string][]string
	starving   []message.RequestID
	ready      bool
	asked      bool
	listRead   bool
	listReadAt time.Duration
	watching   bool
	draining   bool
	drained    bool
	lastStep   time.Duration
	beatDue    time.Duration
	outputs    []event.Output
}

// Settings of a Router. All durations are measured on the entry's own clock.
type Settings struct {
	Name              string
	Domain            string
	Placement         placement.Policy
	Queue             order.Policy[message.RequestID]
	Random            *rand.Rand
	QueueCapacity     int
	SubsetSize        int
	WatchersPerDomain int
	PushLease         time.Duration
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	ReattachTimeout   time.Duration
	ReadyGrace        time.Duration
	RedialDelay       time.Duration
	// ShedLate gives up requests that can no longer meet their target while
	// others wait.
	ShedLate bool
}

const (
	suspectBound   = 4096
	retryShare     = 0.1
	retryCapacity  = 20
	mostRefusals   = 4
	readyPeers     = 3
	shortestReturn = time.Second
	// startShare is the part of the target for the first token that a request
	// may spend waiting; the rest is for the upstream.
	startShare    = 0.7
	recallGrace   = 2 * time.Second
	mostDoublings = 5
)

// New returns a router without peers or configuration.
func New(settings Settings) *Router {
	return &Router{
		settings:   settings,
		peers:      table.New[string, peerRow](),
		requests:   table.New[message.RequestID, requestRow](),
		requestDue: timerqueue.New[message.RequestID](),
		dialDue:    timerqueue.New[string](),
		suspects:   suspects.New(suspectBound),
		config:     distribution.New(),
		retries:    retrybudget.New(retryShare, retryCapacity),
	}
}

// Step takes the inputs in order, runs the systems over the rows that are due
// or changed, and returns what the shell is to do. Now is the process's uptime.
func (router *Router) Step(now time.Duration, inputs []event.Input) []event.Output {
	router.outputs = nil
	router.noticePause(now)
	for _, input := range inputs {
		router.take(now, input)
	}
	router.placeStarving(now)
	router.expireRequests(now)
	router.dial(now)
	router.beat(now)
	router.becomeReady(now)
	router.reportDrained(now)
	router.lastStep = now
	return router.outputs
}

// NextDue returns the time at which the next step is due without any input.
func (router *Router) NextDue() time.Duration {
	next := router.beatDue
	if due, ok := router.requestDue.Next(); ok {
		next = min(next, due)
	}
	if due, ok := router.dialDue.Next(); ok {
		next = min(next, due)
	}
	return next
}

// ConfigVersion returns the version of the class document in force.
func (router *Router) ConfigVersion() uint64 {
	return router.config.Version()
}

// InProgress returns the number of requests without a final answer.
func (router *Router) InProgress() int {
	return router.requests.Len()
}

func (router *Router) take(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.Submitted:
		router.submit(now, input.Request)
	case event.CallerDisconnected:
		router.recall(now, input.ID)
	case event.Received:
		router.receive(now, input)
	case event.LinkOpened:
		router.openLink(now, input)
	case event.LinkClosed:
		router.closeLink(now, input)
	case event.MembersRead:
		router.setMembers(now, input.Members)
	case event.DocumentRead:
		router.asked = true
		router.putInForce(now, router.config.Offer(input.Raw))
	case event.DocumentUnavailable:
		router.asked = true
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
		router.takeHeartbeat(now, received, body)
	case message.Claim:
		router.takeClaim(now, received.Peer, body)
	case message.Refused:
		router.takeRefused(now, received.Peer, body)
	case message.Chunk:
		router.takeChunk(now, received.Peer, body)
	case message.End:
		router.takeEnd(now, received.Peer, body)
	case message.ConfigPull:
		router.emit(router.config.HandlePull(received.Peer, received.Link, body)...)
	case message.Config:
		router.putInForce(now, router.config.HandleConfig(body))
	}
}

// putInForce passes on what the spread says. A new document goes out with the
// next heartbeats at once.
func (router *Router) putInForce(now time.Duration, outputs []event.Output) {
	router.emit(outputs...)
	for _, output := range outputs {
		if _, accepted := output.(event.DocumentAccepted); accepted {
			router.beatDue = min(router.beatDue, now)
			router.chooseSubset(now)
		}
	}
}

// becomeReady lets the entry serve once the highest version in reach is in
// force: the service was asked, and several sidecars told theirs or the grace
// for them has passed. A booting entry would else revert what is in force if
// the service gives an old version.
func (router *Router) becomeReady(now time.Duration) {
	if router.ready || !router.asked || !router.listRead || router.config.Version() == 0 {
		return
	}
	heard := 0
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		if peer.version > router.config.Version() {
			return
		}
		if peer.version > 0 {
			heard++
		}
	}
	if heard < readyPeers && now-router.listReadAt < router.settings.ReadyGrace {
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
	router.sayGoodbye(now)
	router.emit(event.Drained{})
}

// sayGoodbye tells the sidecars that this entry will not come back for anything,
// or one that drains would wait for it.
func (router *Router) sayGoodbye(now time.Duration) {
	for _, name := range router.peers.Keys() {
		router.send(name, message.Heartbeat{Uptime: now, ConfigVersion: router.config.Version(), Leaving: true})
	}
}

func (router *Router) emit(outputs ...event.Output) {
	router.outputs = append(router.outputs, outputs...)
}

// send writes to the peer's present link; without one the message is dropped.
func (router *Router) send(name string, body message.Message) {
	peer, ok := router.peers.Get(name)
	if !ok || peer.state != peerUp {
		return
	}
	router.emit(event.Send{Peer: name, Link: peer.link, Message: body})
}
