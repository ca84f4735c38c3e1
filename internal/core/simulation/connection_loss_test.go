package simulation

import (
	"testing"
	"time"

	"endivepost/internal/wire/message"
)

// recoveryLimit bounds the duration of a stream whose connection stops delivering,
// including the time of the response itself.
const recoveryLimit = 10 * time.Second

// TestBlackholedConnectionIsReplaced: a connection stops delivering in mid-stream
// without being closed, with the sidecar alive or dead. The entry must detect it by
// the heartbeat timeout and complete the stream within recoveryLimit.
func TestBlackholedConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	for name, breakConnection := range map[string]func(simulation *simulation, busy *process){
		"both ends alive": func(simulation *simulation, busy *process) {
			simulation.connections[linkKey("entry-1", busy.name)].blackholed = true
		},
		"sidecar dead": func(simulation *simulation, busy *process) { simulation.kill(busy, true) },
	} {
		for seed := range uint64(20) {
			simulation := newSimulation(seed, 1, 2, published(1, 2))
			simulation.advance(3 * time.Second)
			sent := simulation.submit(simulation.entries[0], classes()[0], "body-0", "", true)
			simulation.advance(100 * time.Millisecond)
			for _, sidecar := range simulation.sidecars {
				if len(sidecar.runs) > 0 {
					breakConnection(simulation, sidecar)
				}
			}
			simulation.advance(recoveryLimit)
			if sent.finish == nil || sent.finish.Outcome != message.Complete {
				t.Errorf("%s, seed %d: stream ended with %+v, want outcome complete", name, seed, sent.finish)
			}
			for _, violation := range simulation.violations() {
				t.Errorf("%s, seed %d: %s", name, seed, violation)
			}
		}
	}
}

// TestCrashDuringNonIdempotentRequest: if the upstream crashes, a non-idempotent
// request in flight must end as unknown at once and must not run again.
func TestCrashDuringNonIdempotentRequest(t *testing.T) {
	t.Parallel()
	simulation := newSimulation(1, 1, 2, published(1, 2))
	simulation.advance(3 * time.Second)
	sent := simulation.submit(simulation.entries[0], classes()[2], "body-0", "", false)
	simulation.advance(100 * time.Millisecond)
	for _, sidecar := range simulation.sidecars {
		simulation.crashUpstream(sidecar)
	}
	simulation.advance(time.Second)
	if sent.finish == nil || sent.finish.Outcome != message.Unknown || simulation.recorder.runCounts["body body-0"] != 1 {
		t.Errorf("ended with %+v after %d runs, want outcome unknown after 1 run", sent.finish, simulation.recorder.runCounts["body body-0"])
	}
}
