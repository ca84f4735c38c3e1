package simulation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// leavingLimit bounds the time until a leaving upstream gets no new work. It counts
// from the announcement or, if that is later, from the end of the entry's pause.
const leavingLimit = 3 * time.Second

// leaveModes are the ways in which an upstream leaves.
var leaveModes = map[string]func(simulation *simulation, leaving *process){
	"drain signal": func(simulation *simulation, leaving *process) { simulation.deliver(leaving, event.DrainStarted{}) },
	"marked as leaving in the list": func(simulation *simulation, leaving *process) {
		members := append([]event.Member{}, simulation.members...)
		for i := range members {
			members[i].Leaving = members[i].Name == leaving.name
		}
		simulation.members = members
	},
	"removed from the list": func(simulation *simulation, leaving *process) {
		var members []event.Member
		for _, member := range simulation.members {
			if member.Name != leaving.name {
				members = append(members, member)
			}
		}
		simulation.members = members
	},
	"announced in a response": func(simulation *simulation, leaving *process) {
		simulation.deliver(leaving, event.LeavingAnnounced{})
	},
	"asked for a backoff": func(simulation *simulation, leaving *process) {
		simulation.deliver(leaving, event.BackoffRequested{For: time.Hour})
	},
	"sidecar killed": func(simulation *simulation, leaving *process) { simulation.kill(leaving, false) },
	"sidecar killed without closing connections": func(simulation *simulation, leaving *process) { simulation.kill(leaving, true) },
}

// TestLeavingUpstreamGetsNoNewWork guards against requests to an upstream that is
// leaving or gone. One of three upstreams under load leaves, with and without a
// paused entry. The upstream must get its last request within leavingLimit.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range leaveModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 3, published(1, 3))
				simulation.advance(3 * time.Second)
				left := simulation.now
				leave(simulation, simulation.sidecars[0])
				pause := time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Second
				simulation.pause(simulation.entries[0], pause)
				for i := range 60 {
					simulation.submit(simulation.entries[i%2], classes()[i%3], fmt.Sprintf("body-%d", i), "", true)
					simulation.advance(200 * time.Millisecond)
				}
				if last := simulation.sidecars[0].lastRunAt; last > left+pause+leavingLimit {
					t.Fatalf("upstream left at %v, entry paused for %v: last request at %v, want none after %v", left, pause, last, left+pause+leavingLimit)
				}
				simulation.advance(time.Minute)
				for _, violation := range simulation.violations() {
					t.Error(violation)
				}
			})
		})
	}
}

// TestDrainLosesNoResponse drains sidecars and entries under load, while connections
// are closed. A process that exits before its responses have arrived would leave
// their requests unknown or incomplete. Every request must end as complete or as
// not-run.
func TestDrainLosesNoResponse(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		drain := drainCase{
			seed:         rapid.Uint64().Draw(t, "seed"),
			drainAt:      rapid.IntRange(0, 30).Draw(t, "drain at"),
			disconnectAt: rapid.IntRange(0, 40).Draw(t, "disconnect at"),
			sidecar:      rapid.Bool().Draw(t, "sidecar"),
			entry:        rapid.Bool().Draw(t, "entry"),
		}
		for _, violation := range drain.violations() {
			t.Error(violation)
		}
	})
}

// TestDrainRegressions runs the cases in which TestDrainLosesNoResponse has failed
// before.
func TestDrainRegressions(t *testing.T) {
	t.Parallel()
	for _, drain := range []drainCase{
		{seed: 0x6, drainAt: 3, disconnectAt: 2, sidecar: true, entry: true},
		{seed: 0x0, drainAt: 2, disconnectAt: 2, sidecar: true},
	} {
		for _, violation := range drain.violations() {
			t.Errorf("%+v: %s", drain, violation)
		}
	}
}

// TestRedialBackoff guards against frequent dials to a dead sidecar. The delay
// between dials must grow, and reading the list of VMs again must not reset it.
func TestRedialBackoff(t *testing.T) {
	t.Parallel()
	const maxDials = 25
	simulation := newSimulation(1, 1, 2, published(1, 2))
	simulation.advance(3 * time.Second)
	simulation.kill(simulation.sidecars[0], false)
	before := simulation.dials
	simulation.advance(time.Minute)
	if dials := simulation.dials - before; dials > maxDials || dials == 0 {
		t.Errorf("got %d dials of a dead sidecar in a minute, want 1 to %d", dials, maxDials)
	}
}

// TestDrainDoesNotWaitForDrainedEntry: a sidecar that drains waits for entries whose
// connection was lost, since they may reattach. An entry that has drained announces
// that it leaves, so the sidecar must not wait ReattachTimeout for it.
func TestDrainDoesNotWaitForDrainedEntry(t *testing.T) {
	t.Parallel()
	simulation := newSimulation(1, 1, 1, published(1, 1))
	simulation.advance(3 * time.Second)
	simulation.submit(simulation.entries[0], classes()[0], "body-0", "", true)
	simulation.advance(5 * time.Second)
	simulation.deliver(simulation.entries[0], event.DrainStarted{})
	simulation.advance(time.Second)
	simulation.deliver(simulation.sidecars[0], event.DrainStarted{})
	simulation.advance(2 * heartbeatInterval)
	if !simulation.sidecars[0].drained {
		t.Error("sidecar not drained two heartbeat intervals after its drain began, want drained")
	}
}

// drainCase drains a sidecar or an entry under load and closes a connection. The
// fields drainAt and disconnectAt count the requests submitted before that.
type drainCase struct {
	seed                  uint64
	drainAt, disconnectAt int
	sidecar, entry        bool
}

func (drain drainCase) violations() []string {
	simulation := newSimulation(drain.seed, 2, 3, published(1, 3))
	simulation.advance(3 * time.Second)
	for i := range 40 {
		if i == drain.drainAt && drain.sidecar {
			simulation.deliver(simulation.sidecars[0], event.DrainStarted{})
		}
		if i == drain.drainAt && drain.entry {
			simulation.deliver(simulation.entries[0], event.DrainStarted{})
		}
		if connection, ok := simulation.connections[linkKey("entry-1", "up-1")]; i == drain.disconnectAt && ok {
			simulation.disconnect(connection)
		}
		if simulation.entries[i%2].alive {
			simulation.submit(simulation.entries[i%2], classes()[i%3], fmt.Sprintf("body-%d", i), "", i%2 == 0)
		}
		simulation.advance(100 * time.Millisecond)
	}
	simulation.advance(time.Minute)
	violations := simulation.violations()
	for _, id := range simulation.recorder.order {
		finish := simulation.recorder.sent[id].finish
		if finish == nil || finish.Outcome == message.Unknown || finish.Outcome == message.Incomplete {
			violations = append(violations, fmt.Sprintf("%s ended with %+v, want outcome complete or not-run", simulation.recorder.sent[id].body, finish))
		}
	}
	if drain.sidecar != simulation.sidecars[0].drained {
		violations = append(violations, fmt.Sprintf("sidecar drained: %t, want %t", !drain.sidecar, drain.sidecar))
	}
	if drain.entry != simulation.entries[0].drained {
		violations = append(violations, fmt.Sprintf("entry drained: %t, want %t", !drain.entry, drain.entry))
	}
	return violations
}
