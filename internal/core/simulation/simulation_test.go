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

// simulation runs cores in virtual time, with a simulated network, upstreams and
// configuration service. Messages of one connection arrive in order, as over TCP. Tests
// close connections or let them drop messages without being closed.
type simulation struct {
	now          time.Duration
	random       *rand.Rand
	queue        eventQueue
	sequence     uint64
	entries      []*process
	sidecars     []*process
	connections  map[string]*connection
	partitioned  map[string]bool
	members      []event.Member
	document     []byte
	serviceUp    bool
	recorder     *recorder
	newPlacement func() placement.Policy
	subsetSize   int
	dials        int
	failures     []string
	trace        []string
}

// core is the interface that Router and Controller have in common.
type core interface {
	Step(now time.Duration, inputs []event.Input) []event.Output
	NextDue() time.Duration
}

// process is an entry or a sidecar with its upstream. A paused process collects its
// inputs until the pause ends. An offline entry gets the list of VMs, but no class
// document, from the configuration service. While its machine is down, dials of it time
// out. The field version is the version of the
// active class document, lastRunAt the time at which the upstream last got a request.
type process struct {
	name              string
	isEntry           bool
	core              core
	boot              uint64
	bootedAt          time.Duration
	alive             bool
	machineDown       bool
	pausedUntil       time.Duration
	inbox             []event.Input
	wakeSet           bool
	wakeAt            time.Duration
	version           uint64
	ready             bool
	drained           bool
	runs              map[message.RequestID]*upstreamRun
	upstreamDownUntil time.Duration
	offline           bool
	lastRunAt         time.Duration
}

// connection is the latest connection between an entry and a sidecar. The field
// peer is the entry's name and incarnation as the sidecar sees it. A blackholed
// connection drops all messages and neither end sees it close. The fields
// lastAtEntry and lastAtSidecar are the arrival times of the last messages there.
type connection struct {
	entry, sidecar         *process
	peer                   string
	entryLink, sidecarLink uint64
	open, blackholed       bool
	lastAtEntry            time.Duration
	lastAtSidecar          time.Duration
}

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []scheduledEvent

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].sequence < queue[j].sequence
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(scheduledEvent)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1800 * time.Millisecond
	slots             = 2
)

func newSimulation(seed uint64, entries, sidecars int, document []byte) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), connections: make(map[string]*connection), partitioned: make(map[string]bool),
		document: document, serviceUp: true, recorder: newRecorder(),
		newPlacement: func() placement.Policy { return latebinding.New(2) }, subsetSize: 16,
	}
	for i := range sidecars {
		name := fmt.Sprintf("up-%d", i+1)
		simulation.members = append(simulation.members, event.Member{Name: name, Address: name, Role: "sidecar"})
		simulation.sidecars = append(simulation.sidecars, &process{name: name})
		simulation.bootSidecar(simulation.sidecars[i])
	}
	for i := range entries {
		simulation.entries = append(simulation.entries, &process{name: fmt.Sprintf("entry-%d", i+1), isEntry: true})
		simulation.bootEntry(simulation.entries[i])
	}
	return simulation
}

func (simulation *simulation) bootEntry(process *process) {
	simulation.reset(process)
	process.core = router.New(router.Settings{
		Name: process.name, Placement: simulation.newPlacement(), Queue: tiered.New[message.RequestID](testFloor),
		Random: rand.New(rand.NewPCG(process.boot, 2)), QueueCapacity: 16, SubsetSize: simulation.subsetSize, WatchersPerDomain: 2,
		PushLease: time.Second, HeartbeatInterval: heartbeatInterval, HeartbeatTimeout: heartbeatTimeout, ReattachTimeout: 3 * time.Second,
		ReadyGrace: time.Second, RedialDelay: 200 * time.Millisecond,
	})
	simulation.pollConfigurationService(process)
}

// pollConfigurationService delivers the list of VMs and the class document
// once a second.
func (simulation *simulation) pollConfigurationService(process *process) {
	boot := process.boot
	var read func()
	read = func() {
		if !process.alive || process.boot != boot {
			return
		}
		if simulation.serviceUp {
			simulation.deliver(process, event.MembersRead{Members: simulation.members})
		}
		if simulation.serviceUp && !process.offline {
			simulation.deliver(process, event.DocumentRead{Raw: simulation.document})
		} else {
			simulation.deliver(process, event.DocumentUnavailable{})
		}
		simulation.after(time.Second, read)
	}
	simulation.after(simulation.jitter(50), read)
}

var testFloor = tiered.Floor{Wait: 2 * time.Second, Every: 4}

func (simulation *simulation) bootSidecar(process *process) {
	simulation.reset(process)
	process.runs = make(map[message.RequestID]*upstreamRun)
	process.core = admission.New(admission.Settings{
		Name: process.name, Order: newOrder(), Limit: fixed.Limit(slots),
		Keys:          idempotency.Settings{BootTime: wallStart.Add(simulation.now), ClockSkew: time.Second, Capacity: 64},
		QueueCapacity: 8, ClaimLease: 300 * time.Millisecond, PushLease: 1500 * time.Millisecond,
		HeartbeatInterval: heartbeatInterval, HeartbeatTimeout: heartbeatTimeout, ReattachTimeout: 5 * time.Second, ReplayBytes: 1 << 20,
	})
}

func newOrder() order.Policy[message.RequestID] {
	return tiered.New[message.RequestID](testFloor)
}

var wallStart = time.Unix(1_800_000_000, 0)

func (simulation *simulation) reset(process *process) {
	process.alive = true
	process.machineDown = false
	// The incarnation is never 0, which a router takes as no earlier connection.
	process.boot = simulation.random.Uint64() | 1
	process.bootedAt = simulation.now
	process.pausedUntil = 0
	process.inbox = nil
	process.version = 0
	process.ready = false
	process.drained = false
	process.wakeSet = false
	simulation.wakeLater(process, 0)
}

func (simulation *simulation) jitter(maxMillis int) time.Duration {
	return time.Duration(simulation.random.IntN(maxMillis*1000)) * time.Microsecond
}

func (simulation *simulation) after(delay time.Duration, run func()) {
	simulation.sequence++
	heap.Push(&simulation.queue, scheduledEvent{at: simulation.now + delay, sequence: simulation.sequence, run: run})
}

// advance runs the events of the next duration.
func (simulation *simulation) advance(duration time.Duration) {
	until := simulation.now + duration
	for len(simulation.queue) > 0 && simulation.queue[0].at <= until {
		next, _ := heap.Pop(&simulation.queue).(scheduledEvent)
		simulation.now = max(simulation.now, next.at)
		next.run()
	}
	simulation.now = until
}

// deliver passes an input to a process at once or, if it is paused, after the pause.
func (simulation *simulation) deliver(process *process, input event.Input) {
	if !process.alive {
		return
	}
	process.inbox = append(process.inbox, input)
	if simulation.now >= process.pausedUntil {
		simulation.step(process)
	}
}

func (simulation *simulation) step(process *process) {
	inputs := process.inbox
	process.inbox = nil
	for _, output := range process.core.Step(simulation.now-process.bootedAt, inputs) {
		simulation.perform(process, output)
	}
	simulation.wakeLater(process, process.core.NextDue()+process.bootedAt-simulation.now)
}

func (simulation *simulation) wakeLater(process *process, delay time.Duration) {
	due := simulation.now + max(delay, 0)
	if process.wakeSet && process.wakeAt <= due {
		return
	}
	process.wakeSet = true
	process.wakeAt = due
	boot := process.boot
	simulation.after(max(delay, 0), func() { simulation.wake(process, boot, due) })
}

func (simulation *simulation) wake(process *process, boot uint64, due time.Duration) {
	if !process.alive || process.boot != boot || !process.wakeSet || process.wakeAt != due {
		return
	}
	process.wakeSet = false
	if simulation.now < process.pausedUntil {
		simulation.wakeLater(process, process.pausedUntil-simulation.now)
		return
	}
	if process.core != nil {
		simulation.step(process)
	}
}

func (simulation *simulation) pause(process *process, duration time.Duration) {
	process.pausedUntil = simulation.now + duration
}

// kill ends a process. Its connections are closed or, with blackhole set, drop all
// messages without being closed.
func (simulation *simulation) kill(process *process, blackhole bool) {
	process.alive = false
	process.machineDown = blackhole
	process.runs = nil
	for _, connection := range simulation.openConnections() {
		if connection.entry != process && connection.sidecar != process {
			continue
		}
		if blackhole {
			connection.blackholed = true
			continue
		}
		simulation.disconnect(connection)
	}
}

func (simulation *simulation) restart(process *process) {
	simulation.kill(process, false)
	if process.isEntry {
		simulation.bootEntry(process)
		return
	}
	simulation.bootSidecar(process)
}

// logf adds a line to the trace if PROOF_TRACE is set in the environment.
func (simulation *simulation) logf(format string, arguments ...any) {
	if tracing {
		simulation.trace = append(simulation.trace, fmt.Sprintf("%v ", simulation.now)+fmt.Sprintf(format, arguments...))
	}
}

var tracing = os.Getenv("PROOF_TRACE") != ""

func (simulation *simulation) perform(process *process, output event.Output) {
	simulation.logOutput(process, output)
	switch output := output.(type) {
	case event.Send:
		simulation.send(process, output)
	case event.Dial:
		simulation.dial(process, output)
	case event.CloseLink:
		simulation.closeLink(process, output)
	case event.Deliver:
		simulation.recorder.recordDelivery(output)
	case event.Finish:
		simulation.recorder.recordFinish(simulation.now, output)
	case event.StartRun:
		simulation.start(process, output)
	case event.StopRun:
		simulation.stop(process, output.ID)
	case event.DocumentAccepted:
		if output.Document.Version <= process.version {
			simulation.fail("%s: active version went from %d to %d, want a higher one", process.name, process.version, output.Document.Version)
		}
		process.version = output.Document.Version
	case event.Ready:
		process.ready = true
	case event.Drained:
		process.drained = true
		simulation.after(10*time.Millisecond, func() { simulation.kill(process, false) })
	}
}

func (simulation *simulation) logOutput(process *process, output event.Output) {
	if sent, ok := output.(event.Send); ok {
		if _, isHeartbeat := sent.Message.(message.Heartbeat); isHeartbeat {
			return
		}
	}
	simulation.logf("%s: %T %+v", process.name, output, output)
}

func (simulation *simulation) fail(format string, arguments ...any) {
	simulation.failures = append(simulation.failures, fmt.Sprintf(format, arguments...))
}
