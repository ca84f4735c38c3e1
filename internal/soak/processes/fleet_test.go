package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"endivepost/internal/standin/loopback"
)

const (
	engineCount  = 4
	bookingCount = 2
	// drainTime is how long an upstream that leaves still serves.
	drainTime         = 2 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

// fleet is the entries, with the stubs of all that they speak to.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	journal *journal
	form    form
	entries []*entry
	// sidecars are in the order of their upstreams, or none.
	sidecars  []*entry
	balancer  *balancer
	version   int
	stopping  atomic.Bool
	mutex     sync.Mutex
	upstreams []*upstream
	made      int
	work      sync.WaitGroup
}

// lastAddress is the number of the last loopback address. Each listener has its own, so
// that no other run and no outgoing connection can take its port.
var lastAddress atomic.Int64

func listen(t *testing.T) net.Listener {
	t.Helper()
	number := lastAddress.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, number/250, number%250+1))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newFleet starts the stubs and the entries and waits until these are ready.
func newFleet(t *testing.T, newForm func(net.Listener) form, seed uint64, folder string) *fleet {
	t.Helper()
	fleet := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), journal: newJournal(), form: newForm(listen(t))}
	fleet.journal.grace = fleet.form.grace()
	t.Cleanup(fleet.stop)
	fleet.publishConfig()
	for index := range engineCount + bookingCount {
		fleet.upstreams = append(fleet.upstreams, nil)
		fleet.startUpstream(index, listen(t))
	}
	program, err := exec.LookPath("endivepost")
	if err != nil {
		t.Fatal(err)
	}
	for index := range *entryCount {
		fleet.entries = append(fleet.entries, &entry{
			name: fmt.Sprintf("entry-%d", index+1), callers: freeAddress(t), ready: freeAddress(t), peer: freeAddress(t),
			folder: folder, program: program, journal: fleet.journal,
		})
	}
	fleet.balancer = &balancer{entries: fleet.entries}
	fleet.startEntries()
	return fleet
}

func (fleet *fleet) startEntries() {
	fleet.t.Helper()
	if err := fleet.form.prepare(fleet); err != nil {
		fleet.t.Fatal(err)
	}
	for _, machine := range fleet.machines() {
		if err := machine.start(); err != nil {
			fleet.t.Fatal(err)
		}
	}
	fleet.awaitReady()
}

// machines returns all entries and sidecars.
func (fleet *fleet) machines() []*entry {
	return slices.Concat(fleet.entries, fleet.sidecars)
}

// awaitReady waits until all entries are ready.
func (fleet *fleet) awaitReady() {
	fleet.t.Helper()
	limit := time.Now().Add(readyTimeout)
	for _, entry := range fleet.machines() {
		for !entry.isReady() {
			if time.Now().After(limit) {
				fleet.t.Fatalf("%s is not ready after %s", entry.name, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// stop ends all processes and stubs.
func (fleet *fleet) stop() {
	fleet.stopping.Store(true)
	for _, entry := range fleet.machines() {
		if process := entry.process(); process != nil && process.running() {
			process.kill()
		}
	}
	for _, upstream := range fleet.upstreams {
		upstream.crash()
	}
	fleet.form.close()
}

const (
	engineService  = "engines"
	bookingService = "bookings"
)

// publishConfig publishes the next configuration.
func (fleet *fleet) publishConfig() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.version += 1 + fleet.random.IntN(3)
	fleet.form.publish(fleet.version, fleet.random)
}

// startUpstream starts a new upstream in the place on the listener and registers it.
func (fleet *fleet) startUpstream(index int, listener net.Listener) {
	service := engineService
	if index >= engineCount {
		service = bookingService
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.made++
	name := fmt.Sprintf("i-%d", fleet.made)
	if fleet.form.keepsUpstreams() {
		name = sidecarName(index)
	}
	fleet.upstreams[index] = newUpstream(name, service, fleet.form.dialect(), listener, fleet.journal)
	fleet.form.register(fleet.upstreams[index], "ready")
}

func (fleet *fleet) upstream(index int) *upstream {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.upstreams[index]
}

// pauseUpstreams pauses one, half or all of the upstreams, from the engine with the number on.
func (fleet *fleet) pauseUpstreams(share string, first int, duration time.Duration) {
	counts := map[string]int{"one": 1, "half": engineCount / 2, "all": engineCount}
	for offset := range counts[share] {
		fleet.upstream((first + offset) % engineCount).pause(duration)
	}
	if share == "all" {
		for index := range bookingCount {
			fleet.upstream(engineCount + index).pause(duration)
		}
	}
}

// crashUpstream ends an upstream without notice. The store lists it for three heartbeats more.
func (fleet *fleet) crashUpstream(index int) {
	crashed := fleet.upstream(index)
	crashed.crash()
	if fleet.form.keepsUpstreams() {
		fleet.reviveUpstream(index, crashed.address())
		return
	}
	fleet.startUpstream(index, listen(fleet.t))
	time.Sleep(3 * heartbeatInterval)
	fleet.form.register(crashed, "")
}

// reviveUpstream starts an upstream again at its address after a second.
func (fleet *fleet) reviveUpstream(index int, address string) {
	time.Sleep(time.Second)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fleet.t.Error(err)
		return
	}
	fleet.startUpstream(index, listener)
}

// replaceUpstream ends an upstream that has said that it leaves, or restarts its sidecar.
func (fleet *fleet) replaceUpstream(index int) {
	if fleet.form.keepsUpstreams() {
		fleet.restart(fleet.sidecars[index], time.Second)
		return
	}
	leaving := fleet.upstream(index)
	fleet.form.register(leaving, "draining")
	fleet.startUpstream(index, listen(fleet.t))
	time.Sleep(drainTime + between(rand.New(rand.NewPCG(uint64(index), 2)), 200*time.Millisecond, 4*time.Second))
	fleet.form.register(leaving, "")
	leaving.crash()
}

// restart stops the entry and starts it again a while after its exit.
func (fleet *fleet) restart(machine *entry, down time.Duration) {
	stopped := machine.process()
	if !stopped.running() {
		return
	}
	stopped.terminate(fleet.form.grace())
	<-stopped.exited
	time.Sleep(down)
	fleet.revive(machine)
}

// revive starts the entry if it does not run.
func (fleet *fleet) revive(machine *entry) {
	if fleet.stopping.Load() || machine.process().running() {
		return
	}
	if err := machine.start(); err != nil {
		fleet.t.Error(err)
	}
}

// disrupted returns the machine to disrupt: the entry, or the sidecar if there are sidecars
// and its number is even.
func (fleet *fleet) disrupted(index, sidecar int) *entry {
	if len(fleet.sidecars) > 0 && sidecar%2 == 0 {
		return fleet.sidecars[sidecar]
	}
	return fleet.entries[index]
}

// signalAgain sends the signal to the entry; SIGTERM only if it has had one.
func (fleet *fleet) signalAgain(index int, signal syscall.Signal) {
	process := fleet.entries[index].process()
	process.mutex.Lock()
	terminated := !process.terminated.IsZero()
	process.mutex.Unlock()
	if signal != syscall.SIGTERM || terminated {
		process.signal(signal)
	}
}

// load runs busy processes for the duration.
func (fleet *fleet) load(count int, duration time.Duration) {
	for range count {
		busy := exec.Command("spin", duration.String())
		busy.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := busy.Start(); err != nil {
			fleet.t.Error(err)
			return
		}
		defer func() { _ = busy.Wait() }()
	}
}

// inject carries out the faults at their times, and waits for their ends.
func (fleet *fleet) inject(faults []fault) {
	for _, due := range faults {
		time.Sleep(time.Until(fleet.journal.start.Add(due.at)))
		fleet.journal.note(due.text)
		fleet.work.Go(func() { due.run(fleet) })
	}
}

// watchExits starts entries again that ended without a planned stop, until the context ends.
func (fleet *fleet) watchExits(ctx context.Context) {
	const restartDelay = 500 * time.Millisecond
	for ctx.Err() == nil {
		for _, machine := range fleet.machines() {
			process := machine.process()
			process.mutex.Lock()
			lost := !process.ended.IsZero() && process.terminated.IsZero() && time.Since(process.ended) > restartDelay
			process.mutex.Unlock()
			if lost {
				fleet.revive(machine)
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// heartbeat renews the registrations until the context ends.
func (fleet *fleet) heartbeat(ctx context.Context) {
	for pause(ctx, heartbeatInterval); ctx.Err() == nil; pause(ctx, heartbeatInterval) {
		for index := range fleet.upstreams {
			fleet.form.register(fleet.upstream(index), "ready")
		}
	}
}

// folderOf returns the folder for the logs of a seed.
func folderOf(t *testing.T, seed uint64) string {
	t.Helper()
	if *logFolder == "" {
		return t.TempDir()
	}
	folder := filepath.Join(*logFolder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		t.Fatal(err)
	}
	return folder
}
