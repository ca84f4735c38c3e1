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

// linkSet is a number of connections over loopback, both ends in this process.
type linkSet struct {
	server   *httptest.Server
	dialled  []*link.Link
	received atomic.Int64
	mutex    sync.Mutex
	accepted []*link.Link
}

func newLinkSet(links int) *linkSet {
	built := &linkSet{}
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

func (linkSet *linkSet) accept(writer http.ResponseWriter, request *http.Request) {
	accepted, err := link.Accept(writer, request, secret, link.Identity{Name: "sidecar", Boot: 1})
	if err != nil {
		return
	}
	linkSet.mutex.Lock()
	linkSet.accepted = append(linkSet.accepted, accepted)
	linkSet.mutex.Unlock()
	_ = accepted.Run(func(message.Message) { linkSet.received.Add(1) })
}

func (linkSet *linkSet) close() {
	for _, dialled := range linkSet.dialled {
		dialled.Close()
	}
	linkSet.server.Close()
}

// linkMemory returns the bytes of heap and stacks of the connections. Stacks count
// since each connection has goroutines.
func linkMemory(links int) float64 {
	before := memoryInUse()
	built := newLinkSet(links)
	after := memoryInUse()
	built.close()
	return after - before
}

const heartbeatLinks = 32

// heartbeatTime returns the processor time in microseconds of sending and receiving
// count heartbeats over heartbeatLinks connections.
func heartbeatTime(count int) float64 {
	built := newLinkSet(heartbeatLinks)
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

// processorTime returns the user and system time of the process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// subsetBalance is the distribution of connections over sidecars for one subset size.
type subsetBalance struct {
	name        string
	description string
	mean        float64
	least       int
	most        int
}

// subsetBalances measures the subsets of one model's sidecars in one region of the
// largest planned fleet.
func subsetBalances() []subsetBalance {
	const entries, sidecars = 136, 254
	return []subsetBalance{
		measureBalance("subset of 16", entries, sidecars, 16),
		measureBalance("subset of 24", entries, sidecars, 24),
		measureBalance("subset of 64", entries, sidecars, 64),
	}
}

func measureBalance(name string, entries, sidecars, size int) subsetBalance {
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
		description: fmt.Sprintf("connections per sidecar, %d entries and %d sidecars", entries, sidecars),
	}
	for _, sidecar := range names {
		balance.least = min(balance.least, counts[sidecar])
		balance.most = max(balance.most, counts[sidecar])
	}
	return balance
}
