// Package gate is the core of the sidecar: the only way to one upstream, and so
// the one place where all entries' work for it meets.
package gate

import (
	"time"

	"endivepost/internal/config/spread"
	"endivepost/internal/core/event"
	"endivepost/internal/core/keyring"
	"endivepost/internal/core/suspects"
	"endivepost/internal/data/agenda"
	"endivepost/internal/data/table"
	"endivepost/internal/policy/limit"
	"endivepost/internal/policy/order"
	"endivepost/internal/wire/message"
)

// Gate holds the tables of one upstream and the systems that run over them in
// each step. What must be single lives here beside the thing that it guards,
// which is why no shared store is needed: a request is handed over only if this
// incarnation has its row, and each row is handed over once.
type Gate struct {
	settings     Settings
	links        *table.Table[string, linkRow]
	reservations *table.Table[message.RequestID, reservationRow]
	runs         *table.Table[message.RequestID, runRow]
	aliases      map[message.RequestID]message.RequestID
	refusals     *table.Table[message.RequestID, message.Reason]
	waitDue      *agenda.Agenda[message.RequestID]
	runDue       *agenda.Agenda[message.RequestID]
	refusalDue   *agenda.Agenda[message.RequestID]
	keys         *keyring.Ring
	suspects     *suspects.Table
	config       *spread.Spread
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
	Name           string
	Order          order.Policy[message.RequestID]
	Limit          limit.Policy
	Keys           keyring.Settings
	QueueBound     int
	ClaimLease     time.Duration
	PushLease      time.Duration
	HeartbeatEvery time.Duration
	SilenceLimit   time.Duration
	AttachFor      time.Duration
	KeepBytes      int
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
func New(settings Settings) *Gate {
	settings.Keys.Name = settings.Name
	return &Gate{
		settings:     settings,
		links:        table.New[string, linkRow](),
		reservations: table.New[message.RequestID, reservationRow](),
		runs:         table.New[message.RequestID, runRow](),
		aliases:      make(map[message.RequestID]message.RequestID),
		refusals:     table.New[message.RequestID, message.Reason](),
		waitDue:      agenda.New[message.RequestID](),
		runDue:       agenda.New[message.RequestID](),
		refusalDue:   agenda.New[message.RequestID](),
		keys:         keyring.New(settings.Keys),
		suspects:     suspects.New(suspectBound),
		config:       spread.New(),
		upstreamUp:   true,
		suspectCrash: -crashEpisode,
	}
}

// Step takes the inputs in order, runs the systems over the rows that are due
// or changed, and returns what the shell is to do. Now is the process's uptime.
func (gate *Gate) Step(now time.Duration, inputs []event.Input) []event.Output {
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
func (gate *Gate) NextDue() time.Duration {
	next := gate.heartbeatDue
	for _, rows := range []*agenda.Agenda[message.RequestID]{gate.waitDue, gate.runDue, gate.refusalDue} {
		if due, ok := rows.Next(); ok {
			next = min(next, due)
		}
	}
	return next
}

// Load returns the upstream's load as this gate sees it.
func (gate *Gate) Load() message.Load {
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
func (gate *Gate) ConfigVersion() uint64 {
	return gate.config.Version()
}

func (gate *Gate) take(now time.Duration, input event.Input) {
	switch input := input.(type) {
	case event.LinkOpened:
		gate.openLink(now, input)
	case event.LinkClosed:
		gate.closeLink(now, input)
	case event.Received:
		gate.receive(now, input)
	case event.UpstreamAnswered:
		gate.appendAnswer(now, input)
	case event.UpstreamEnded:
		gate.endRun(now, input)
	case event.UpstreamChecked:
		gate.setUpstream(now, input.Up)
	case event.DocumentRead:
		gate.putInForce(now, gate.config.Offer(input.Raw))
	case event.DrainBegun:
		gate.beginDrain(now)
	}
}

func (gate *Gate) receive(now time.Duration, received event.Received) {
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
		gate.emit(gate.config.Answer(received.Peer, received.Link, body)...)
	case message.Config:
		gate.putInForce(now, gate.config.Take(body))
	}
}

func (gate *Gate) putInForce(now time.Duration, outputs []event.Output) {
	for _, output := range outputs {
		if accepted, ok := output.(event.DocumentAccepted); ok {
			gate.keys.SetDocument(now, accepted.Document)
		}
	}
	gate.emit(outputs...)
}

func (gate *Gate) emit(outputs ...event.Output) {
	gate.outputs = append(gate.outputs, outputs...)
}

// send writes to the peer's present link; without one the message is dropped,
// and the peer asks again when it attaches.
func (gate *Gate) send(peer string, body message.Message) {
	if !gate.isOpen(peer) {
		return
	}
	link, _ := gate.links.Get(peer)
	gate.emit(event.Send{Peer: peer, Link: link.number, Message: body})
}

func (gate *Gate) isOpen(peer string) bool {
	link, ok := gate.links.Get(peer)
	return ok && link.open
}
