package simulation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// leavingWithin is the brief's "few seconds" until a leaving upstream gets no
// new work, counted from the word of it or, if that comes later, from the end
// of the entry's pause.
const leavingWithin = 3 * time.Second

// ways in which an upstream leaves.
var ways = map[string]func(world *world, leaving *node){
	"by signal": func(world *world, leaving *node) { world.tell(leaving, event.DrainStarted{}) },
	"by the list": func(world *world, leaving *node) {
		members := append([]event.Member{}, world.members...)
		for i := range members {
			members[i].Leaving = members[i].Name == leaving.name
		}
		world.members = members
	},
	"out of the list": func(world *world, leaving *node) {
		var members []event.Member
		for _, member := range world.members {
			if member.Name != leaving.name {
				members = append(members, member)
			}
		}
		world.members = members
	},
	"by its sidecar's death":        func(world *world, leaving *node) { world.kill(leaving, false) },
	"by its sidecar's silent death": func(world *world, leaving *node) { world.kill(leaving, true) },
}

// TestLeavingUpstreamGetsNoNewWork loads three upstreams, lets one leave, with
// and without a paused entry, and looks at when it was last handed a request.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				world := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 3, published(1, 3))
				world.advance(3 * time.Second)
				left := world.now
				leave(world, world.sidecars[0])
				pause := time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Second
				world.pause(world.entries[0], pause)
				for i := range 60 {
					world.submit(world.entries[i%2], classes()[i%3], fmt.Sprintf("body-%d", i), "", true)
					world.advance(200 * time.Millisecond)
				}
				if last := world.sidecars[0].lastRun; last > left+pause+leavingWithin {
					t.Fatalf("left at %v, entry paused for %v, handed a request at %v", left, pause, last)
				}
				world.advance(time.Minute)
				for _, fault := range world.faults() {
					t.Error(fault)
				}
			})
		})
	}
}

// TestDrainCutsOffNothing drains sidecars and entries under load, while
// connections are cut. Every request that the system took is answered whole, or
// refused as not-run; none is unknown or cut off.
func TestDrainCutsOffNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		drain := drainCase{
			seed:    rapid.Uint64().Draw(t, "seed"),
			drainAt: rapid.IntRange(0, 30).Draw(t, "drain at"),
			cutAt:   rapid.IntRange(0, 40).Draw(t, "cut at"),
			sidecar: rapid.Bool().Draw(t, "sidecar"),
			entry:   rapid.Bool().Draw(t, "entry"),
		}
		for _, fault := range drain.faults() {
			t.Error(fault)
		}
	})
}

// TestDrainCasesFound replays what the search has found before.
func TestDrainCasesFound(t *testing.T) {
	t.Parallel()
	for _, drain := range []drainCase{
		{seed: 0x6, drainAt: 3, cutAt: 2, sidecar: true, entry: true},
		{seed: 0x0, drainAt: 2, cutAt: 2, sidecar: true},
	} {
		for _, fault := range drain.faults() {
			t.Errorf("%+v: %s", drain, fault)
		}
	}
}

// TestDeadSidecarIsDialledSeldom: the delays between dials grow, and reading the
// list again does not start them anew.
func TestDeadSidecarIsDialledSeldom(t *testing.T) {
	t.Parallel()
	const mostDials = 25
	world := newWorld(1, 1, 2, published(1, 2))
	world.advance(3 * time.Second)
	world.kill(world.sidecars[0], false)
	before := world.dials
	world.advance(time.Minute)
	if dials := world.dials - before; dials > mostDials || dials == 0 {
		t.Errorf("dialled %d times in a minute, at most %d", dials, mostDials)
	}
}

// TestDrainedEntryIsNotWaitedFor: an entry that has drained says so, and a
// sidecar that drains after it leaves at once and not after the time to attach.
func TestDrainedEntryIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	world := newWorld(1, 1, 1, published(1, 1))
	world.advance(3 * time.Second)
	world.submit(world.entries[0], classes()[0], "body-0", "", true)
	world.advance(5 * time.Second)
	world.tell(world.entries[0], event.DrainStarted{})
	world.advance(time.Second)
	world.tell(world.sidecars[0], event.DrainStarted{})
	world.advance(2 * heartbeat)
	if !world.sidecars[0].drained {
		t.Error("the sidecar waits for an entry that has gone for good")
	}
}

// drainCase drains a sidecar or an entry while requests come in, and cuts a
// connection; the times count requests.
type drainCase struct {
	seed           uint64
	drainAt, cutAt int
	sidecar, entry bool
}

func (drain drainCase) faults() []string {
	world := newWorld(drain.seed, 2, 3, published(1, 3))
	world.advance(3 * time.Second)
	for i := range 40 {
		if i == drain.drainAt && drain.sidecar {
			world.tell(world.sidecars[0], event.DrainStarted{})
		}
		if i == drain.drainAt && drain.entry {
			world.tell(world.entries[0], event.DrainStarted{})
		}
		if wire, ok := world.wires[pair("entry-1", "up-1")]; i == drain.cutAt && ok {
			world.cut(wire)
		}
		if world.entries[i%2].alive {
			world.submit(world.entries[i%2], classes()[i%3], fmt.Sprintf("body-%d", i), "", i%2 == 0)
		}
		world.advance(100 * time.Millisecond)
	}
	world.advance(time.Minute)
	faults := world.faults()
	for _, id := range world.ledger.order {
		finish := world.ledger.sent[id].finish
		if finish == nil || finish.Outcome == message.Unknown || finish.Outcome == message.Incomplete {
			faults = append(faults, fmt.Sprintf("%s ended with %+v", world.ledger.sent[id].body, finish))
		}
	}
	if drain.sidecar != world.sidecars[0].drained {
		faults = append(faults, "the sidecar never drained")
	}
	if drain.entry != world.entries[0].drained {
		faults = append(faults, "the entry never drained")
	}
	return faults
}
