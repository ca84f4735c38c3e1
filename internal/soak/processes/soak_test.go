// Package processes is a soak of platform entries as real processes on loopback. Callers
// keep using their connections while entries are stopped and restarted and upstreams pause,
// crash and leave. The check is of what callers and upstreams saw.
//
// A long run by hand: go test ./internal/soak/processes -soak.seed 1 -soak.seeds 50 -soak.for 25s -timeout 60m.
package processes

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endivepost/internal/command/verbs"
)

var (
	firstSeed   = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seedCount   = flag.Uint64("soak.seeds", 1, "number of seeds")
	length      = flag.Duration("soak.for", 14*time.Second, "time for which faults are injected, for each seed")
	entryCount  = flag.Int("soak.entries", 4, "number of entries; callers and stops grow with it")
	showAllowed = flag.Bool("soak.allowed", false, "also print the failures and lost answers that no rule forbids")
	logFolder   = flag.String("soak.logs", "", "folder in which the logs of the entries are kept")
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"endivepost": func() { os.Exit(verbs.Run(os.Args, os.Stdout, os.Stderr)) },
		"spin":       spin,
	})
}

// spin keeps a processor busy for the duration in its argument.
func spin() {
	duration, _ := time.ParseDuration(os.Args[1])
	for limit := time.Now().Add(duration); time.Now().Before(limit); {
	}
}

// crowd is the number of callers of each kind for crowdEntries entries.
var crowd = []struct {
	kind  callerKind
	count int
}{{keeper, 24}, {newcomer, 12}, {latecomer, 10}, {slowSender, 8}, {slowReader, 6}, {idler, 6}}

const crowdEntries = 4

func TestSoak(t *testing.T) { soakSeeds(t, newDirectForm) }

func TestSoakWithSidecars(t *testing.T) { soakSeeds(t, newSidecarForm) }

func soakSeeds(t *testing.T, newForm func(net.Listener) form) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, newForm, seed) })
	}
}

// settleTime is how long after the last fault requests may still be in progress.
const settleTime = 40 * time.Second

func soak(t *testing.T, newForm func(net.Listener) form, seed uint64) {
	of := profileOf(seed)
	fleet := newFleet(t, newForm, seed, folderOf(t, seed))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go fleet.balancer.run(ctx)
	go fleet.heartbeat(ctx)
	go fleet.watchExits(ctx)
	calling, hangUp := context.WithCancel(ctx)
	defer hangUp()
	callers := fleet.startCallers(calling, seed)
	fleet.inject(newFaults(rand.New(rand.NewPCG(seed, 3)), of, *length, *entryCount))
	time.Sleep(time.Until(fleet.journal.start.Add(*length)))
	hangUp()
	if !finishes(callers, settleTime) || !finishes(&fleet.work, settleTime) {
		t.Errorf("seed %d: callers or faults are still at work %s after the end", seed, settleTime)
		return
	}
	fleet.awaitReady()
	fleet.checkDescriptors()
	fleet.stopAll()
	report(t, seed, of, fleet)
}

// startCallers starts all callers.
func (fleet *fleet) startCallers(ctx context.Context, seed uint64) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	number := uint64(0)
	for _, row := range crowd {
		for range row.count * *entryCount / crowdEntries {
			number++
			caller := &caller{
				name: fmt.Sprintf("%s-%d", row.kind, number), kind: row.kind, random: rand.New(rand.NewPCG(seed, 100+number)),
				balancer: fleet.balancer, dialect: fleet.form.dialect(), journal: fleet.journal,
			}
			group.Go(func() { caller.run(ctx) })
		}
	}
	return group
}

// finishes waits for the group, for the limit at most.
func finishes(group *sync.WaitGroup, limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// stopAll stops all entries and sidecars at once.
func (fleet *fleet) stopAll() {
	fleet.stopping.Store(true)
	fleet.journal.note("SIGTERM to all processes")
	group := &sync.WaitGroup{}
	for _, machine := range fleet.machines() {
		if process := machine.process(); process.running() {
			group.Go(func() { process.terminate(fleet.form.grace()) })
		}
	}
	group.Wait()
}

const (
	// idleDescriptors is the number of open files of an entry whose callers have left, with
	// its listeners, links and a connection to each upstream.
	idleDescriptors = 64
	idleWait        = 8 * time.Second
)

// checkDescriptors waits until the entries have closed the connections of callers that left.
func (fleet *fleet) checkDescriptors() {
	for _, entry := range fleet.entries {
		process := entry.process()
		limit := time.Now().Add(idleWait)
		for process.running() && process.descriptors() > idleDescriptors && time.Now().Before(limit) {
			time.Sleep(50 * time.Millisecond)
		}
		if count := process.descriptors(); count > idleDescriptors {
			fleet.t.Errorf("DESCRIPTORS: %s has %d open files without callers, want at most %d", process.name(), count, idleDescriptors)
		}
	}
}
