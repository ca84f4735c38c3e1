package processes

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// balancer chooses the entries for new connections as the platform's load balancer does.
type balancer struct {
	entries []*entry
	mutex   sync.Mutex
}

const (
	probeInterval = time.Second
	// missesToLeave is the number of failed probes in a row that take an entry out.
	missesToLeave = 2
)

// run probes all entries until the context ends.
func (balancer *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for _, probed := range balancer.entries {
			go func() { balancer.record(probed, probed.isReady()) }()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (balancer *balancer) record(probed *entry, ready bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if ready {
		probed.listed, probed.misses = true, 0
		return
	}
	probed.misses++
	if probed.misses >= missesToLeave {
		probed.listed = false
	}
}

// choose returns a listed entry, or any one while fewer than half are listed.
func (balancer *balancer) choose(random *rand.Rand) *entry {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	var listed []*entry
	for _, candidate := range balancer.entries {
		if candidate.listed {
			listed = append(listed, candidate)
		}
	}
	if 2*len(listed) < len(balancer.entries) {
		listed = balancer.entries
	}
	return listed[random.IntN(len(listed))]
}
