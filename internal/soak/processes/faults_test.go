package processes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// fault is something that the test does at a time after its start.
type fault struct {
	at   time.Duration
	text string
	run  func(fleet *fleet)
}

// profile is which kinds of fault a seed has, beside the planned stops of each.
type profile struct {
	name     string
	pauses   bool
	freezes  bool
	crashes  bool
	restless bool
}

// profiles are the seeds' profiles in turn.
var profiles = []profile{
	{name: "pauses", pauses: true, restless: true},
	{name: "stops only"},
	{name: "everything", pauses: true, freezes: true, crashes: true, restless: true},
	{name: "freezes", freezes: true},
	{name: "crashes", crashes: true, restless: true},
}

// profileOf returns the profile of the seed.
func profileOf(seed uint64) profile { return profiles[(seed-1)%uint64(len(profiles))] }

const (
	warmUp = 2 * time.Second
	// stopRound is the mean time in which all entries are stopped once.
	stopRound = 10 * time.Second
)

// newFaults draws the faults of a run of the length in the order of their times.
func newFaults(random *rand.Rand, of profile, length time.Duration, entries int) []fault {
	faults := stops(random, length, entries)
	every := func(mean time.Duration, draw func() fault) {
		for at := warmUp + between(random, 0, mean); at < length; at += between(random, mean/2, 3*mean/2) {
			drawn := draw()
			drawn.at = at
			faults = append(faults, drawn)
		}
	}
	every(4*time.Second, func() fault {
		return fault{text: "new configuration", run: func(fleet *fleet) { fleet.publishConfig() }}
	})
	if of.pauses {
		every(2*time.Second, func() fault { return drawPause(random) })
	}
	if of.freezes {
		every(3500*time.Millisecond, func() fault { return drawFreeze(random, entries) })
	}
	if of.crashes {
		every(6*time.Second, func() fault { return drawReplacement(random) })
		every(14*time.Second, func() fault { return drawKill(random, entries) })
	}
	if of.restless {
		every(8*time.Second, func() fault { return drawLoad(random) })
	}
	slices.SortStableFunc(faults, func(left, right fault) int { return int(left.at - right.at) })
	return faults
}

// stops draws planned stops of all entries in turn, some with a second SIGTERM, and SIGHUPs.
func stops(random *rand.Rand, length time.Duration, entries int) []fault {
	var faults []fault
	order := random.Perm(entries)
	stopEvery := stopRound / time.Duration(entries)
	at := warmUp + between(random, 0, stopEvery)
	for turn := 0; at < length; turn++ {
		index := order[turn%entries]
		down := between(random, 0, time.Second)
		text := fmt.Sprintf("SIGTERM to entry %d, restarted %.1f s after its exit", index+1, down.Seconds())
		faults = append(faults, fault{at: at, text: text, run: func(fleet *fleet) { fleet.restart(fleet.entries[index], down) }})
		if random.IntN(3) == 0 {
			faults = append(faults, signalAt(at+between(random, 100*time.Millisecond, 7*time.Second), syscall.SIGTERM, "second SIGTERM", index))
		}
		if random.IntN(2) == 0 {
			faults = append(faults, signalAt(at+between(random, -time.Second, 3*time.Second), syscall.SIGHUP, "SIGHUP", index))
		}
		at += between(random, stopEvery/4, 7*stopEvery/4)
	}
	return faults
}

// signalAt returns the fault that sends the signal. A second SIGTERM goes only to a process
// that has had one.
func signalAt(at time.Duration, signal syscall.Signal, name string, index int) fault {
	return fault{at: max(at, 0), text: fmt.Sprintf("%s to entry %d", name, index+1), run: func(fleet *fleet) {
		fleet.signalAgain(index, signal)
	}}
}

func drawPause(random *rand.Rand) fault {
	duration := between(random, 500*time.Millisecond, 4*time.Second)
	share := []string{"one", "half", "all"}[random.IntN(3)]
	first := random.IntN(engineCount)
	return fault{text: fmt.Sprintf("%s of the upstreams pause for %.1f s, from number %d on", share, duration.Seconds(), first+1), run: func(fleet *fleet) {
		fleet.pauseUpstreams(share, first, duration)
	}}
}

func drawFreeze(random *rand.Rand, entries int) fault {
	duration := between(random, 300*time.Millisecond, 3*time.Second)
	index, chosen := random.IntN(entries), random.IntN(engineCount+bookingCount)
	return fault{text: fmt.Sprintf("SIGSTOP of entry %d, or sidecar %d, for %.1f s", index+1, chosen+1, duration.Seconds()), run: func(fleet *fleet) {
		fleet.disrupted(index, chosen).process().freeze(duration)
	}}
}

func drawReplacement(random *rand.Rand) fault {
	index := random.IntN(engineCount + bookingCount)
	if random.IntN(2) == 0 {
		return fault{text: fmt.Sprintf("upstream %d crashes and is replaced", index+1), run: func(fleet *fleet) { fleet.crashUpstream(index) }}
	}
	return fault{text: fmt.Sprintf("upstream %d leaves and is replaced", index+1), run: func(fleet *fleet) { fleet.replaceUpstream(index) }}
}

func drawKill(random *rand.Rand, entries int) fault {
	index, chosen := random.IntN(entries), random.IntN(engineCount+bookingCount)
	return fault{text: fmt.Sprintf("SIGKILL to entry %d, or sidecar %d", index+1, chosen+1), run: func(fleet *fleet) {
		fleet.disrupted(index, chosen).process().kill()
	}}
}

func drawLoad(random *rand.Rand) fault {
	count, duration := 1+random.IntN(2), between(random, time.Second, 4*time.Second)
	return fault{text: fmt.Sprintf("%d busy processes for %.1f s", count, duration.Seconds()), run: func(fleet *fleet) {
		fleet.load(count, duration)
	}}
}
