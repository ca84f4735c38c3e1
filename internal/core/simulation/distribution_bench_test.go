package simulation

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/core/event"
)

// BenchmarkConfigurationDistribution publishes a document that only one entry reads,
// in fleets in which each entry is connected to a few sidecars only. It reports the
// virtual time until the document is active in the last process, with heartbeats
// every 500 ms. Processes that start together send heartbeats together, so the
// change is published at all phases of the interval.
func BenchmarkConfigurationDistribution(b *testing.B) {
	for _, size := range []int{4, 8, 12, 16} {
		b.Run(fmt.Sprintf("%d-entries-%d-sidecars-subset-4", size, 2*size), func(b *testing.B) {
			longest := time.Duration(0)
			for i := range b.N {
				longest = max(longest, distributionTime(uint64(i), size))
			}
			b.ReportMetric(float64(longest.Milliseconds()), "virtual-ms")
		})
	}
}

func distributionTime(seed uint64, entries int) time.Duration {
	simulation := newSimulation(seed, entries, 2*entries, published(1, 2*entries))
	simulation.subsetSize = 4
	for _, entry := range simulation.entries {
		simulation.restart(entry)
		entry.offline = entry != simulation.entries[0]
	}
	simulation.advance(10*time.Second + time.Duration(seed%10)*heartbeatInterval/10)
	begin := simulation.now
	simulation.document = published(2, 2*entries)
	simulation.deliver(simulation.entries[0], event.DocumentRead{Raw: simulation.document})
	for simulation.now-begin < time.Minute && !simulation.allActive(2) {
		simulation.advance(10 * time.Millisecond)
	}
	return simulation.now - begin
}

// allActive reports whether the version is active in every process. A sidecar that no
// entry is connected to is not counted, since it gets no work either.
func (simulation *simulation) allActive(version uint64) bool {
	chosen := make(map[string]bool)
	for _, connection := range simulation.openConnections() {
		chosen[connection.sidecar.name] = true
	}
	for _, entry := range simulation.entries {
		if entry.version < version {
			return false
		}
	}
	for _, sidecar := range simulation.sidecars {
		if chosen[sidecar.name] && sidecar.version < version {
			return false
		}
	}
	return true
}
