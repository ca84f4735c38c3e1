package simulation

import (
	"fmt"
	"testing"
	"time"

	"endivepost/internal/core/event"
)

// BenchmarkSpread publishes a change that one entry alone reads, in fleets in
// which each entry knows a few sidecars only, and reports the virtual time until
// the last process has it in force, with heartbeats every 500 ms. Processes that
// boot together beat together, so the change comes at all phases of the beat.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{4, 8, 12, 16} {
		b.Run(fmt.Sprintf("%d-entries-%d-sidecars-subset-4", size, 2*size), func(b *testing.B) {
			longest := time.Duration(0)
			for i := range b.N {
				longest = max(longest, spreadTime(uint64(i), size))
			}
			b.ReportMetric(float64(longest.Milliseconds()), "virtual-ms")
		})
	}
}

func spreadTime(seed uint64, entries int) time.Duration {
	world := newWorld(seed, entries, 2*entries, published(1, 2*entries))
	world.subset = 4
	for _, entry := range world.entries {
		world.restart(entry)
		entry.offline = entry != world.entries[0]
	}
	world.advance(10*time.Second + time.Duration(seed%10)*heartbeat/10)
	begin := world.now
	world.document = published(2, 2*entries)
	world.tell(world.entries[0], event.DocumentRead{Raw: world.document})
	for world.now-begin < time.Minute && !world.allHave(2) {
		world.advance(10 * time.Millisecond)
	}
	return world.now - begin
}

// allHave says whether every process has the version in force. A sidecar that no
// entry has chosen is not counted: it gets no work either.
func (world *world) allHave(version uint64) bool {
	chosen := make(map[string]bool)
	for _, wire := range world.openWires() {
		chosen[wire.sidecar.name] = true
	}
	for _, entry := range world.entries {
		if entry.version < version {
			return false
		}
	}
	for _, sidecar := range world.sidecars {
		if chosen[sidecar.name] && sidecar.version < version {
			return false
		}
	}
	return true
}
