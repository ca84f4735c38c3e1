// Package admission is the core of a sidecar, the process beside one upstream.
//
// An entry is the router process that callers connect to. A core is a
// deterministic state machine without I/O, and the shell is the process around it
// with sockets and clocks.
//
// All requests for the upstream go through its sidecar, so the core can order the
// requests of all entries and bound the number in flight. A reservation is an entry's
// request in the sidecar's queue. When a slot is free the controller claims the
// next request; the entry responds to the first claim with a grant, which carries the
// body. A reservation that carries the body is a push: it starts without a claim.
package admission

import (
	"time"

	"endivepost/internal/config/distribution"
	"endivepost/internal/config/document"
	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/core/suspects"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/limit"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// Controller holds the state of one sidecar. A request is sent to the upstream only
// if this process has received its reservation since its start, and only once for
// each reservation. The sidecar is the only process that sends requests to its
// upstream, so no shared store is needed for this.
type Controller struct {
	settings     Settings
	links        *table.Table[string, linkRow]
	reservations *table.Table[message.RequestID, reservationRow]
	runs         *table.Table[message.RequestID, runRow]
	// aliases maps the request ID of a repetition to that of the run that holds its key.
	aliases map[message.RequestID]message.RequestID
	// refusals holds the reasons of the refusals of the last refusalTTL.
	refusals       *table.Table[message.RequestID, message.Reason]
	reservationDue *timerqueue.Queue[message.RequestID]
	runDue         *timerqueue.Queue[message.RequestID]
	refusalDue     *timerqueue.Queue[message.RequestID]
	keys           *idempotency.Table
	suspects       *suspects.Table
	// crashCauses collects reports of crashes from this upstream and from the entries, and
	// passes them on to all entries.
	crashCauses *crashcause.Finder
	config      *distribution.Distributor
	// claimed and running count the occupied slots.
	claimed    int
	running    int
	upstreamUp bool
	// upstreamLeaving is set once the upstream has announced in a response that it leaves.
	upstreamLeaving bool
	backoff         backoff
	draining        bool
	drained         bool
	lastStep        time.Duration
	heartbeatDue    time.Duration
	// lastSuspectCrash is the time of the last crash of a suspect's run.
	lastSuspectCrash time.Duration
	// meanServiceTime is the moving average of the time from the start of a run to its
	// complete response, 0 before the first.
	meanServiceTime time.Duration
	outputs         []event.Output
}

// Settings of a Controller. All durations are measured on the sidecar's own clock.
type Settings struct {
	Name string
	// Order orders the queued requests. QueueCapacity is its capacity in requests.
	Order order.Policy[message.RequestID]
	Limit limit.Policy
	// Keys are the settings of the idempotency table. New sets their Name to Name.
	Keys          idempotency.Settings
	QueueCapacity int
	// ClaimLease is how long a claimed slot is held for its grant, and how long the
	// shell may take to send a started request.
	ClaimLease time.Duration
	// PushLease is the maximum age of the clock reading in a push.
	PushLease         time.Duration
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a message after which a link is closed.
	HeartbeatTimeout time.Duration
	// ReattachTimeout is how long runs and their responses are kept for entries that
	// reconnect.
	ReattachTimeout time.Duration
	// ReplayBytes bounds the replay buffer of a run, ReplayTotalBytes those of all runs together, 0
	// for no bound.
	ReplayBytes      int
	ReplayTotalBytes int
}

const (
	// refusalTTL is how long a refusal is stored so that it can be repeated. The row of
	// a closed link is stored as long.
	refusalTTL = 30 * time.Second
	// maxStoredRefusals is the maximum number of stored refusals. Further ones are sent but
	// not stored.
	maxStoredRefusals = 8192
	// maxSuspects is the maximum number of crash suspects that are stored.
	maxSuspects               = 1024
	maxSuspicionsPerHeartbeat = 32
	// crashWindow is the time after the crash of a suspect's run in which no other
	// request gets a crash suspicion.
	crashWindow = time.Second
	// serviceTimeSmoothing is the inverse of a new value's weight in the moving average
	// of the service time.
	serviceTimeSmoothing = 8
)

// New returns a controller whose upstream counts as up until a health check fails.
func New(settings Settings) *Controller {
	settings.Keys.Name = settings.Name
	return &Controller{
		settings:         settings,
		links:            table.New[string, linkRow](),
		reservations:     table.New[message.RequestID, reservationRow](),
		runs:             table.New[message.RequestID, runRow](),
		aliases:          make(map[message.RequestID]message.RequestID),
		refusals:         table.New[message.RequestID, message.Reason](),
		reservationDue:   timerqueue.New[message.RequestID](),
		runDue:           timerqueue.New[message.RequestID](),
		refusalDue:       timerqueue.New[message.RequestID](),
		keys:             idempotency.New(settings.Keys),
		suspects:         suspects.New(maxSuspects),
		crashCauses:      crashcause.New(),
		config:           distribution.New(document.Parse),
		upstreamUp:       true,
		lastSuspectCrash: -crashWindow,
	}
}

// Step handles the inputs in order, then all timers that are due, and returns the
// outputs for the shell. Now is the process's uptime.
func (controller *Controller) Step(now time.Duration, inputs []event.Input) []event.Output {
	controller.outputs = nil
	controller.resetAfterPause(now)
	controller.expireBackoff(now)
	for _, input := range inputs {
		controller.handle(now, input)
	}
	controller.expireReservations(now)
	controller.expireRuns(now)
	controller.expireRefusals(now)
	controller.dispatch(now)
	if controller.crashCauses.Urgent() {
		controller.heartbeatDue = min(controller.heartbeatDue, now)
	}
	controller.sendHeartbeats(now)
	controller.reportDrained(now)
	controller.lastStep = now
	return controller.outputs
}

// NextDue returns the uptime at which the next step is due if no input arrives.
func (controller *Controller) NextDue() time.Duration {
	next := controller.heartbeatDue
	for _, timers := range []*timerqueue.Queue[message.RequestID]{controller.reservationDue, controller.runDue, controller.refusalDue} {
		if due, ok := timers.Next(); ok {
			next = min(next, due)
		}
	}
	if due := controller.nextBackoffDue(); due > controller.lastStep {
		next = min(next, due)
	}
	return next
}

// Load returns the upstream's load for heartbeats. Claimed slots count as running. The
// limit is 0 while the upstream is down, leaves or wants nothing.
func (controller *Controller) Load() message.Load {
	return controller.load(controller.lastStep)
}

func (controller *Controller) load(now time.Duration) message.Load {
	load := message.Load{
		Limit:   controller.settings.Limit.Limit(),
		Running: controller.running + controller.claimed,
		Queued:  controller.reservations.Len() - controller.claimed,
	}
	if !controller.admits() {
		load.Limit = 0
		load.Wait = controller.backoffLeft(now)
	}
	if load.Limit > 0 {
		load.Wait = controller.meanServiceTime * time.Duration(load.Queued) / time.Duration(load.Limit)
	}
	return load
}

// ConfigVersion returns the version of the active class document, 0 before the
// first.
func (controller *Controller) ConfigVersion() uint64 {
	return controller.config.Version()
}

func (controller *Controller) handle(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.LinkOpened:
		controller.handleLinkOpened(now, input)
	case event.LinkClosed:
		controller.handleLinkClosed(now, input)
	case event.Received:
		controller.receive(now, input)
	case event.ResponseChunk:
		controller.appendChunk(now, input)
	case event.RunEnded:
		controller.handleRunEnded(now, input)
	case event.LeavingAnnounced:
		controller.handleLeavingAnnounced(now)
	case event.BackoffRequested:
		controller.handleBackoff(now, input)
	case event.UpstreamChecked:
		controller.setUpstreamUp(now, input.Up)
	case event.DocumentRead:
		controller.applyDocument(now, controller.config.Offer(input.Raw))
	case event.DrainStarted:
		controller.startDrain(now)
	}
}

func (controller *Controller) receive(now time.Duration, received event.Received) {
	link, ok := controller.links.Get(received.Peer)
	if !ok || link.number != received.Link {
		return
	}
	controller.links.Put(received.Peer, link.WithHeard(now))
	switch body := received.Message.(type) {
	case message.Heartbeat:
		controller.handleHeartbeat(now, received, body)
	case message.Reserve:
		controller.handleReserve(now, received.Peer, body)
	case message.Grant:
		controller.handleGrant(now, received.Peer, body)
	case message.Withdraw:
		controller.handleWithdraw(now, received.Peer, body.ID)
	case message.Attach:
		controller.handleAttach(now, received.Peer, body)
	case message.ConfigPull:
		controller.emit(controller.config.HandlePull(received.Peer, received.Link, body)...)
	case message.Config:
		controller.applyDocument(now, controller.config.HandleConfig(body))
	}
}

func (controller *Controller) applyDocument(now time.Duration, outputs []event.Output) {
	for _, output := range outputs {
		if accepted, ok := output.(event.DocumentAccepted); ok {
			controller.keys.SetDocument(now, accepted.Document)
		}
	}
	controller.emit(outputs...)
}

func (controller *Controller) emit(outputs ...event.Output) {
	controller.outputs = append(controller.outputs, outputs...)
}

// send emits a message on the peer's current link. Without an open link the
// message is dropped; the peer requests it again when it reattaches.
func (controller *Controller) send(peer string, body message.Message) {
	if !controller.isOpen(peer) {
		return
	}
	link, _ := controller.links.Get(peer)
	controller.emit(event.Send{Peer: peer, Link: link.number, Message: body})
}

func (controller *Controller) isOpen(peer string) bool {
	link, ok := controller.links.Get(peer)
	return ok && link.open
}
