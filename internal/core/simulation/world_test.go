package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"endivepost/internal/core/admission"
	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/core/router"
	"endivepost/internal/policy/fixed"
	"endivepost/internal/policy/latebinding"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/placement"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

// world runs cores in virtual time. Messages of one connection keep their
// order, as in TCP; connections are cut, go silent, and are dialled anew.
type world struct {
	now      time.Duration
	random   *rand.Rand
	queue    occurrences
	serial   uint64
	entries  []*node
	sidecars []*node
	wires    map[string]*wire
	cutOff   map[string]bool
	members  []event.Member
	document []byte
	service  bool
	ledger   *ledger
	policy   func() placement.Policy
	subset   int
	dials    int
	failures []string
	trace    []string
}

// core is what router and gate have in common.
type core interface {
	Step(now time.Duration, inputs []event.Input) []event.Output
	NextDue() time.Duration
}

// node is one process. A paused node gathers its inputs until it wakes.
type node struct {
	name    string
	entry   bool
	core    core
	boot    uint64
	bornAt  time.Duration
	alive   bool
	paused  time.Duration
	inbox   []event.Input
	wakeSet bool
	wakeAt  time.Duration
	version uint64
	ready   bool
	drained bool
	runs    map[message.RequestID]*upstreamRun
	down    time.Duration
	offline bool
	lastRun time.Duration
}

// wire is the latest connection between an entry and a sidecar.
type wire struct {
	entry, sidecar *node
	peer           string
	link, accepted uint64
	open, silent   bool
	toEntry        time.Duration
	toSidecar      time.Duration
}

type occurrence struct {
	at     time.Duration
	serial uint64
	run    func()
}

type occurrences []occurrence

func (queue occurrences) Len() int { return len(queue) }
func (queue occurrences) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].serial < queue[j].serial
}
func (queue occurrences) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *occurrences) Push(x any)   { *queue = append(*queue, x.(occurrence)) }
func (queue *occurrences) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

const (
	heartbeat = 500 * time.Millisecond
	silence   = 1800 * time.Millisecond
	slots     = 2
)

func newWorld(seed uint64, entries, sidecars int, document []byte) *world {
	world := &world{
		random: rand.New(rand.NewPCG(seed, 1)), wires: make(map[string]*wire), cutOff: make(map[string]bool),
		document: document, service: true, ledger: newLedger(),
		policy: func() placement.Policy { return latebinding.New(2) }, subset: 16,
	}
	for i := range sidecars {
		name := fmt.Sprintf("up-%d", i+1)
		world.members = append(world.members, event.Member{Name: name, Address: name, Role: "sidecar"})
		world.sidecars = append(world.sidecars, &node{name: name})
		world.bootSidecar(world.sidecars[i])
	}
	for i := range entries {
		world.entries = append(world.entries, &node{name: fmt.Sprintf("entry-%d", i+1), entry: true})
		world.bootEntry(world.entries[i])
	}
	return world
}

func (world *world) bootEntry(node *node) {
	world.reset(node)
	node.core = router.New(router.Settings{
		Name: node.name, Placement: world.policy(), Queue: tiered.New[message.RequestID](testFloor),
		Random: rand.New(rand.NewPCG(node.boot, 2)), QueueCapacity: 16, SubsetSize: world.subset, WatchersPerDomain: 2,
		PushLease: time.Second, HeartbeatInterval: heartbeat, HeartbeatTimeout: silence, ReattachTimeout: 3 * time.Second,
		ReadyGrace: time.Second, RedialDelay: 200 * time.Millisecond,
	})
	world.readPlatform(node)
}

// readPlatform reads the list and the document again and again.
func (world *world) readPlatform(node *node) {
	boot := node.boot
	var read func()
	read = func() {
		if !node.alive || node.boot != boot {
			return
		}
		if world.service {
			world.tell(node, event.MembersRead{Members: world.members})
		}
		if world.service && !node.offline {
			world.tell(node, event.DocumentRead{Raw: world.document})
		} else {
			world.tell(node, event.DocumentUnavailable{})
		}
		world.after(time.Second, read)
	}
	world.after(world.jitter(50), read)
}

var testFloor = tiered.Floor{Wait: 2 * time.Second, Every: 4}

func (world *world) bootSidecar(node *node) {
	world.reset(node)
	node.runs = make(map[message.RequestID]*upstreamRun)
	node.core = admission.New(admission.Settings{
		Name: node.name, Order: newOrder(), Limit: fixed.Limit(slots),
		Keys:          idempotency.Settings{BootTime: wallStart.Add(world.now), ClockSkew: time.Second, Capacity: 64},
		QueueCapacity: 8, ClaimLease: 300 * time.Millisecond, PushLease: 1500 * time.Millisecond,
		HeartbeatInterval: heartbeat, HeartbeatTimeout: silence, ReattachTimeout: 5 * time.Second, ReplayBytes: 1 << 20,
	})
}

func newOrder() order.Policy[message.RequestID] {
	return tiered.New[message.RequestID](testFloor)
}

var wallStart = time.Unix(1_800_000_000, 0)

func (world *world) reset(node *node) {
	node.alive = true
	node.boot = world.random.Uint64() | 1
	node.bornAt = world.now
	node.paused = 0
	node.inbox = nil
	node.version = 0
	node.ready = false
	node.drained = false
	node.wakeSet = false
	world.wakeLater(node, 0)
}

func (world *world) jitter(most int) time.Duration {
	return time.Duration(world.random.IntN(most*1000)) * time.Microsecond
}

func (world *world) after(delay time.Duration, run func()) {
	world.serial++
	heap.Push(&world.queue, occurrence{at: world.now + delay, serial: world.serial, run: run})
}

// advance runs what happens in the next duration.
func (world *world) advance(duration time.Duration) {
	until := world.now + duration
	for len(world.queue) > 0 && world.queue[0].at <= until {
		next, _ := heap.Pop(&world.queue).(occurrence)
		world.now = max(world.now, next.at)
		next.run()
	}
	world.now = until
}

// tell gives a node an input at once, or when it wakes.
func (world *world) tell(node *node, input event.Input) {
	if !node.alive {
		return
	}
	node.inbox = append(node.inbox, input)
	if world.now >= node.paused {
		world.step(node)
	}
}

func (world *world) step(node *node) {
	inputs := node.inbox
	node.inbox = nil
	for _, output := range node.core.Step(world.now-node.bornAt, inputs) {
		world.perform(node, output)
	}
	world.wakeLater(node, node.core.NextDue()+node.bornAt-world.now)
}

func (world *world) wakeLater(node *node, delay time.Duration) {
	due := world.now + max(delay, 0)
	if node.wakeSet && node.wakeAt <= due {
		return
	}
	node.wakeSet = true
	node.wakeAt = due
	boot := node.boot
	world.after(max(delay, 0), func() { world.wake(node, boot, due) })
}

func (world *world) wake(node *node, boot uint64, due time.Duration) {
	if !node.alive || node.boot != boot || !node.wakeSet || node.wakeAt != due {
		return
	}
	node.wakeSet = false
	if world.now < node.paused {
		world.wakeLater(node, node.paused-world.now)
		return
	}
	if node.core != nil {
		world.step(node)
	}
}

func (world *world) pause(node *node, duration time.Duration) {
	node.paused = world.now + duration
}

// kill ends a process; its peers see their connections close, or nothing.
func (world *world) kill(node *node, silently bool) {
	node.alive = false
	node.runs = nil
	for _, wire := range world.openWires() {
		if wire.entry != node && wire.sidecar != node {
			continue
		}
		if silently {
			wire.silent = true
			continue
		}
		world.cut(wire)
	}
}

func (world *world) restart(node *node) {
	world.kill(node, false)
	if node.entry {
		world.bootEntry(node)
		return
	}
	world.bootSidecar(node)
}

// note keeps what happened, for a replay with PROOF_TRACE=1.
func (world *world) note(format string, arguments ...any) {
	if tracing {
		world.trace = append(world.trace, fmt.Sprintf("%v ", world.now)+fmt.Sprintf(format, arguments...))
	}
}

var tracing = os.Getenv("PROOF_TRACE") != ""

func (world *world) perform(node *node, output event.Output) {
	world.noteOutput(node, output)
	switch output := output.(type) {
	case event.Send:
		world.send(node, output)
	case event.Dial:
		world.dial(node, output)
	case event.CloseLink:
		world.hangUp(node, output)
	case event.Deliver:
		world.ledger.deliver(output)
	case event.Finish:
		world.ledger.finish(world.now, output)
	case event.StartRun:
		world.start(node, output)
	case event.StopRun:
		world.stop(node, output.ID)
	case event.DocumentAccepted:
		if output.Document.Version <= node.version {
			world.fail("%s went from version %d to %d", node.name, node.version, output.Document.Version)
		}
		node.version = output.Document.Version
	case event.Ready:
		node.ready = true
	case event.Drained:
		node.drained = true
		world.after(10*time.Millisecond, func() { world.kill(node, false) })
	}
}

func (world *world) noteOutput(node *node, output event.Output) {
	if sent, ok := output.(event.Send); ok {
		if _, beat := sent.Message.(message.Heartbeat); beat {
			return
		}
	}
	world.note("%s: %T %+v", node.name, output, output)
}

func (world *world) fail(format string, arguments ...any) {
	world.failures = append(world.failures, fmt.Sprintf(format, arguments...))
}
