package capacity

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"endivepost/internal/policy/subset"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

const secret = "a-secret-for-loopback"

// mesh is so many real connections on loopback, both ends in this process.
type mesh struct {
	server   *httptest.Server
	dialled  []*link.Link
	received atomic.Int64
	mutex    sync.Mutex
	accepted []*link.Link
}

func newMesh(links int) *mesh {
	built := &mesh{}
	built.server = httptest.NewServer(http.HandlerFunc(built.accept))
	for i := range links {
		dialled, err := link.Dial(built.server.Listener.Addr().String(), secret, link.Identity{Name: fmt.Sprintf("entry-%d", i), Boot: 1})
		if err != nil {
			continue
		}
		built.dialled = append(built.dialled, dialled)
		go func() { _ = dialled.Run(func(message.Message) {}) }()
	}
	return built
}

func (mesh *mesh) accept(writer http.ResponseWriter, request *http.Request) {
	accepted, err := link.Accept(writer, request, secret, link.Identity{Name: "sidecar", Boot: 1})
	if err != nil {
		return
	}
	mesh.mutex.Lock()
	mesh.accepted = append(mesh.accepted, accepted)
	mesh.mutex.Unlock()
	_ = accepted.Run(func(message.Message) { mesh.received.Add(1) })
}

func (mesh *mesh) close() {
	for _, dialled := range mesh.dialled {
		dialled.Close()
	}
	mesh.server.Close()
}

// linkMemory counts heap and stacks: a connection holds goroutines too.
func linkMemory(links int) float64 {
	before := memoryInUse()
	built := newMesh(links)
	after := memoryInUse()
	built.close()
	return after - before
}

const heartbeatLinks = 32

// heartbeatTime returns the processor time of so many heartbeats over 32
// connections, from one end to the other.
func heartbeatTime(count int) float64 {
	built := newMesh(heartbeatLinks)
	defer built.close()
	heartbeat := message.Heartbeat{Uptime: time.Hour, Echo: time.Hour, ConfigVersion: 1000, Load: message.Load{Limit: 30, Running: 20}}
	before := processorTime()
	for i := range count {
		built.dialled[i%heartbeatLinks].Send(heartbeat)
		for int64(i)-built.received.Load() > heartbeatLinks {
			time.Sleep(100 * time.Microsecond)
		}
	}
	for built.received.Load() < int64(count) {
		time.Sleep(time.Millisecond)
	}
	return float64((processorTime() - before).Microseconds())
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// subsetBalance is how connections spread over the sidecars.
type subsetBalance struct {
	name  string
	what  string
	mean  float64
	least int
	most  int
}

// subsetBalances chooses subsets for one model in one region of the aim.
func subsetBalances() []subsetBalance {
	const entries, sidecars = 136, 254
	return []subsetBalance{
		balanceOf("subset of 16", entries, sidecars, 16),
		balanceOf("subset of 24", entries, sidecars, 24),
		balanceOf("subset of 64", entries, sidecars, 64),
	}
}

func balanceOf(name string, entries, sidecars, size int) subsetBalance {
	names := make([]string, sidecars)
	for i := range names {
		names[i] = sidecarName(i)
	}
	counts := make(map[string]int)
	for i := range entries {
		for _, chosen := range subset.Choose(fmt.Sprintf("entry-%d", i), names, size) {
			counts[chosen]++
		}
	}
	balance := subsetBalance{
		name: name, least: entries, mean: float64(entries*size) / float64(sidecars),
		what: fmt.Sprintf("connections of a sidecar, %d entries before %d sidecars", entries, sidecars),
	}
	for _, sidecar := range names {
		balance.least = min(balance.least, counts[sidecar])
		balance.most = max(balance.most, counts[sidecar])
	}
	return balance
}
