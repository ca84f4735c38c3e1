// Package gate is the core of the sidecar: the only way to one upstream, and so
// the one place where all entries' work for it meets.
package admission

import (
	"time"

	"endivepost/internal/config/distribution"
	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/core/suspects"
	"endivepost/internal/data/table"
	"endivepost/internal/data/timerqueue"
	"endivepost/internal/policy/limit"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// Controller holds the tables of one upstream and the systems that run over them in
// each step. What must be single lives here beside the thing that it guards,
// which is why no shared store is needed: a request is handed over only if this
// incarnation has its row, and each row is handed over once.
type Controller struct {
	settings     Settings
	links        *table.Table[string, linkRow]
	reservations *table.Table[message.RequestID, reservationRow]
	runs         *table.Table[message.RequestID, runRow]
	aliases      map[message.RequestID]message.RequestID
	refusals     *table.Table[message.RequestID, message.Reason]
	waitDue      *timerqueue.Queue[message.RequestID]
	runDue       *timerqueue.Queue[message.RequestID]
	refusalDue   *timerqueue.Queue[message.RequestID]
	keys         *idempotency.Table
	suspects     *suspects.Table
	config       *distribution.Distributor
	claimed      int
	running      int
	upstreamUp   bool
	draining     bool
	drained      bool
	lastStep     time.Duration
	heartbeatDue time.Duration
	suspectCrash time.Duration
	serviceTime  time.Duration
	outputs      []event.Output
}

// Settings of a Gate. All durations are measured on the sidecar's own clock.
type Settings struct {
	Name              string
	Order             order.Policy[message.RequestID]
	Limit             limit.Policy
	Keys              idempotency.Settings
	QueueCapacity     int
	ClaimLease        time.Duration
	PushLease         time.Duration
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	ReattachTimeout   time.Duration
	ReplayBytes       int
}

const (
	refusalMemory   = 30 * time.Second
	refusalBound    = 8192
	suspectBound    = 1024
	suspectsPerBeat = 32
	crashEpisode    = time.Second
	serviceSmooth   = 8
)

// New returns a gate whose upstream counts as up until a check says otherwise.
func New(settings Settings) *Controller {
	settings.Keys.Name = settings.Name
	return &Controller{
		settings:     settings,
		links:        table.New[string, linkRow](),
		reservations: table.New[message.RequestID, reservationRow](),
		runs:         table.New[message.RequestID, runRow](),
		aliases:      make(map[message.RequestID]message.RequestID),
		refusals:     table.New[message.RequestID, message.Reason](),
		waitDue:      timerqueue.New[message.RequestID](),
		runDue:       timerqueue.New[message.RequestID](),
		refusalDue:   timerqueue.New[message.RequestID](),
		keys:         idempotency.New(settings.Keys),
		suspects:     suspects.New(suspectBound),
		config:       distribution.New(),
		upstreamUp:   true,
		suspectCrash: -crashEpisode,
	}
}

// Step takes the inputs in order, runs the systems over the rows that are due
// or changed, and returns what the shell is to do. Now is the process's uptime.
func (gate *Controller) Step(now time.Duration, inputs []event.Input) []event.Output {
	gate.outputs = nil
	gate.noticePause(now)
	for _, input := range inputs {
		gate.take(now, input)
	}
	gate.expireReservations(now)
	gate.expireRuns(now)
	gate.expireRefusals(now)
	gate.dispatch(now)
	gate.beat(now)
	gate.reportDrained(now)
	gate.lastStep = now
	return gate.outputs
}

// NextDue returns the time at which the next step is due without any input.
func (gate *Controller) NextDue() time.Duration {
	next := gate.heartbeatDue
	for _, rows := range []*timerqueue.Queue[message.RequestID]{gate.waitDue, gate.runDue, gate.refusalDue} {
		if due, ok := rows.Next(); ok {
			next = min(next, due)
		}
	}
	return next
}

// Load returns the upstream's load as this gate sees it.
func (gate *Controller) Load() message.Load {
	load := message.Load{
		Limit:   gate.settings.Limit.Limit(),
		Running: gate.running + gate.claimed,
		Queued:  gate.reservations.Len() - gate.claimed,
	}
	if !gate.upstreamUp {
		load.Limit = 0
	}
	if load.Limit > 0 {
		load.Wait = gate.serviceTime * time.Duration(load.Queued) / time.Duration(load.Limit)
	}
	return load
}

// ConfigVersion returns the version of the class document in force.
func (gate *Controller) ConfigVersion() uint64 {
	return gate.config.Version()
}

func (gate *Controller) take(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.LinkOpened:
		gate.openLink(now, input)
	case event.LinkClosed:
		gate.closeLink(now, input)
	case event.Received:
		gate.receive(now, input)
	case event.ResponseChunk:
		gate.appendAnswer(now, input)
	case event.RunEnded:
		gate.endRun(now, input)
	case event.UpstreamChecked:
		gate.setUpstream(now, input.Up)
	case event.DocumentRead:
		gate.putInForce(now, gate.config.Offer(input.Raw))
	case event.DrainStarted:
		gate.beginDrain(now)
	}
}

func (gate *Controller) receive(now time.Duration, received event.Received) {
	link, ok := gate.links.Get(received.Peer)
	if !ok || link.number != received.Link {
		return
	}
	gate.links.Put(received.Peer, link.WithHeard(now))
	switch body := received.Message.(type) {
	case message.Heartbeat:
		gate.takeHeartbeat(now, received, body)
	case message.Reserve:
		gate.reserve(now, received.Peer, body)
	case message.Grant:
		gate.grant(now, received.Peer, body)
	case message.Withdraw:
		gate.withdraw(now, received.Peer, body.ID)
	case message.Attach:
		gate.attach(now, received.Peer, body)
	case message.ConfigPull:
		gate.emit(gate.config.HandlePull(received.Peer, received.Link, body)...)
	case message.Config:
		gate.putInForce(now, gate.config.HandleConfig(body))
	}
}

func (gate *Controller) putInForce(now time.Duration, outputs []event.Output) {
	for _, output := range outputs {
		if accepted, ok := output.(event.DocumentAccepted); ok {
			gate.keys.SetDocument(now, accepted.Document)
		}
	}
	gate.emit(outputs...)
}

func (gate *Controller) emit(outputs ...event.Output) {
	gate.outputs = append(gate.outputs, outputs...)
}

// send writes to the peer's present link; without one the message is dropped,
// and the peer asks again when it attaches.
func (gate *Controller) send(peer string, body message.Message) {
	if !gate.isOpen(peer) {
		return
	}
	link, _ := gate.links.Get(peer)
	gate.emit(event.Send{Peer: peer, Link: link.number, Message: body})
}

func (gate *Controller) isOpen(peer string) bool {
	link, ok := gate.links.Get(peer)
	return ok && link.open
}
