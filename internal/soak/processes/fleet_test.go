package processes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	engineCount  = 4
	bookingCount = 2
	// grace is the time from SIGTERM until SIGKILL.
	grace = 8 * time.Second
	// drainTime is how long an upstream that leaves still serves.
	drainTime         = 2 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

// fleet is the entries, with the stubs of all that they speak to.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	journal   *journal
	store     *store
	entries   []*entry
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
	listener := listen(t)
	defer listener.Close()
	return listener.Addr().String()
}

// newFleet starts the stubs and the entries and waits until these are ready.
func newFleet(t *testing.T, seed uint64, folder string) *fleet {
	t.Helper()
	fleet := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), journal: newJournal(), store: newStore(listen(t))}
	t.Cleanup(fleet.stop)
	fleet.publishConfig()
	for index := range engineCount + bookingCount {
		fleet.upstreams = append(fleet.upstreams, nil)
		fleet.startUpstream(index)
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
	var peers []string
	for _, entry := range fleet.entries {
		peers = append(peers, entry.peer)
	}
	for _, entry := range fleet.entries {
		if err := errors.Join(entry.configure(peers, fleet.store.address, grace), entry.start()); err != nil {
			fleet.t.Fatal(err)
		}
	}
	fleet.awaitReady()
}

// awaitReady waits until all entries are ready.
func (fleet *fleet) awaitReady() {
	fleet.t.Helper()
	limit := time.Now().Add(readyTimeout)
	for _, entry := range fleet.entries {
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
	for _, entry := range fleet.entries {
		if process := entry.process(); process != nil && process.running() {
			process.kill()
		}
	}
	for _, upstream := range fleet.upstreams {
		upstream.crash()
	}
	_ = fleet.store.server.Close()
}

// storeRoute and the other types are the parts of a configuration that the store has.
type storeRoute struct {
	Name         string `json:"name"`
	Hostname     string `json:"hostname"`
	Prefix       string `json:"prefix"`
	Kind         string `json:"kind"`
	TimeoutMs    int64  `json:"timeout_ms"`
	TargetMs     int64  `json:"target_latency_ms"`
	Priority     int    `json:"priority"`
	Service      string `json:"service"`
	MaxAttempts  int    `json:"max_attempts"`
	StreamResume bool   `json:"stream_resume"`
	Sticky       bool   `json:"sticky"`
	GapAimMs     int64  `json:"gap_aim_ms,omitempty"`
}

type storeEngine struct {
	Slots         int `json:"slots"`
	KVCacheTokens int `json:"kv_cache_tokens"`
	Stride        int `json:"stride"`
}

type storeService struct {
	Name           string       `json:"name"`
	HealthPath     string       `json:"health_path"`
	MaxConnections int          `json:"max_connections"`
	Engine         *storeEngine `json:"engine,omitempty"`
}

type storeLimits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

type storeTenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

type storeConfig struct {
	Version  int            `json:"version"`
	Routes   []storeRoute   `json:"routes"`
	Services []storeService `json:"services"`
	Limits   storeLimits    `json:"limits"`
	Tenants  []storeTenant  `json:"tenants"`
}

type storeServer struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

const (
	engineService  = "engines"
	bookingService = "bookings"
)

// publishConfig stores the next configuration. Each has another route and target beside the
// routes that callers use.
func (fleet *fleet) publishConfig() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.version += 1 + fleet.random.IntN(3)
	added := func(name route, kind, service string, priority int) storeRoute {
		return storeRoute{
			Name: string(name), Hostname: hostName, Prefix: "/" + string(name) + "/", Kind: kind, TimeoutMs: routeTimeout.Milliseconds(),
			TargetMs: int64(300 + fleet.random.IntN(300)), Priority: priority, Service: service, MaxAttempts: 3, StreamResume: name == resumable,
			Sticky: service == engineService,
		}
	}
	fleet.store.put("op/config", storeConfig{
		Version: fleet.version,
		Routes: []storeRoute{
			added(resumable, "streaming", engineService, 0), added(single, "streaming", engineService, 1),
			added(unsafe, "unsafe", bookingService, 2), added(safe, "safe", bookingService, 2),
			added(route(fmt.Sprintf("added-%d", fleet.version)), "safe", bookingService, 2),
		},
		Services: []storeService{
			{Name: engineService, HealthPath: "/health", MaxConnections: 370, Engine: &storeEngine{Slots: 64, KVCacheTokens: 570_000, Stride: 1}},
			{Name: bookingService, HealthPath: "/health", MaxConnections: 370},
		},
		Limits:  storeLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000},
		Tenants: []storeTenant{{Name: accountName, APIKeys: []string{accountKey}}},
	})
}

// startUpstream starts a new upstream in the place and registers it.
func (fleet *fleet) startUpstream(index int) {
	service := engineService
	if index >= engineCount {
		service = bookingService
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.made++
	fleet.upstreams[index] = newUpstream(fmt.Sprintf("i-%d", fleet.made), service, listen(fleet.t), fleet.journal)
	fleet.register(fleet.upstreams[index], "ready")
}

func (fleet *fleet) register(upstream *upstream, state string) {
	fleet.store.put("servers/"+upstream.name, storeServer{
		Service: upstream.service, Address: upstream.address(), Zone: "a", Version: "v1", Slots: 64, State: state, Sequence: 1,
		Born: fleet.journal.start.UnixMilli(),
	})
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
	fleet.startUpstream(index)
	time.Sleep(3 * heartbeatInterval)
	fleet.store.remove("servers/" + crashed.name)
}

// replaceUpstream ends an upstream that has said that it leaves.
func (fleet *fleet) replaceUpstream(index int) {
	leaving := fleet.upstream(index)
	fleet.register(leaving, "draining")
	fleet.startUpstream(index)
	time.Sleep(drainTime + between(rand.New(rand.NewPCG(uint64(index), 2)), 200*time.Millisecond, 4*time.Second))
	fleet.store.remove("servers/" + leaving.name)
	leaving.crash()
}

// restart stops the entry and starts it again a while after its exit.
func (fleet *fleet) restart(index int, down time.Duration) {
	stopped := fleet.entries[index].process()
	if !stopped.running() {
		return
	}
	stopped.terminate(grace)
	<-stopped.exited
	time.Sleep(down)
	fleet.revive(index)
}

// revive starts the entry if it does not run.
func (fleet *fleet) revive(index int) {
	if fleet.stopping.Load() || fleet.entries[index].process().running() {
		return
	}
	if err := fleet.entries[index].start(); err != nil {
		fleet.t.Error(err)
	}
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
		for index, entry := range fleet.entries {
			process := entry.process()
			process.mutex.Lock()
			lost := !process.ended.IsZero() && process.terminated.IsZero() && time.Since(process.ended) > restartDelay
			process.mutex.Unlock()
			if lost {
				fleet.revive(index)
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// heartbeat renews the registrations until the context ends.
func (fleet *fleet) heartbeat(ctx context.Context) {
	for pause(ctx, heartbeatInterval); ctx.Err() == nil; pause(ctx, heartbeatInterval) {
		for index := range fleet.upstreams {
			fleet.register(fleet.upstream(index), "ready")
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
