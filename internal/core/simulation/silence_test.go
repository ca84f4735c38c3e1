package simulation

import (
	"testing"
	"time"

	"endivepost/internal/wire/message"
)

// answeredWithin bounds a stream whose connection goes silent for good: "seconds",
// with the answer's own time included.
const answeredWithin = 10 * time.Second

// TestSilentConnectionIsReplaced silences a connection in mid-stream, with the
// sidecar alive and dead. The stream is whole within seconds, without any heal.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	for name, silence := range map[string]func(world *world, busy *node){
		"both ends alive": func(world *world, busy *node) { world.wires[pair("entry-1", busy.name)].silent = true },
		"sidecar dead":    func(world *world, busy *node) { world.kill(busy, true) },
	} {
		for seed := range uint64(20) {
			world := newWorld(seed, 1, 2, published(1, 2))
			world.advance(3 * time.Second)
			sent := world.submit(world.entries[0], classes()[0], "body-0", "", true)
			world.advance(100 * time.Millisecond)
			for _, sidecar := range world.sidecars {
				if len(sidecar.runs) > 0 {
					silence(world, sidecar)
				}
			}
			world.advance(answeredWithin)
			if sent.finish == nil || sent.finish.Outcome != message.Complete {
				t.Errorf("%s, seed %d: ended with %+v", name, seed, sent.finish)
			}
			for _, fault := range world.faults() {
				t.Errorf("%s, seed %d: %s", name, seed, fault)
			}
		}
	}
}

// TestCrashUnderGuardedRequest: the upstream that crashes under a guarded request ends
// it as unknown at once, and nothing runs it again.
func TestCrashUnderGuardedRequest(t *testing.T) {
	t.Parallel()
	world := newWorld(1, 1, 2, published(1, 2))
	world.advance(3 * time.Second)
	sent := world.submit(world.entries[0], classes()[2], "body-0", "", false)
	world.advance(100 * time.Millisecond)
	for _, sidecar := range world.sidecars {
		world.crashUpstream(sidecar)
	}
	world.advance(time.Second)
	if sent.finish == nil || sent.finish.Outcome != message.Unknown || world.ledger.handOver["body body-0"] != 1 {
		t.Errorf("ended with %+v after %d runs", sent.finish, world.ledger.handOver["body body-0"])
	}
}
