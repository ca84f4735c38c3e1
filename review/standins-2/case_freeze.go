package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["freeze"] = playFreeze }

// playFreeze plays streams at one of three machines that then freezes. The clients abandon their
// streams after a gap of two seconds and take them up at the other machines, once each. All
// runners are sound and of one version all the while. Without the freeze the clients abandon their
// streams at that time all the same.
func playFreeze(world *World) int {
	const (
		streams, events, pause = 16, 60, 150 * time.Millisecond
		settled, frozen        = 34 * time.Second, 4 * time.Second
		untilFreeze            = time.Second
		gap, deadline          = 2 * time.Second, 10 * time.Second
	)
	store := NewStore()
	storeAddress := world.Address(8223)
	store.Serve(storeAddress)
	config := streamConfig()
	routes, _ := config["routes"].([]any)
	route, _ := routes[0].(map[string]any)
	// With these, clients abandon a stream after a gap of two seconds.
	route["target_latency_ms"], route["gap_aim_ms"] = 300, 200
	store.Put("op/config", config)
	for number := range 4 {
		runner := &Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+number), Service: "gen", Address: world.Address(8080), Zone: "zone-a", Version: "v1", Slots: 64,
			store: store, record: world.record, handle: streamHandler(events, pause),
		}
		runner.Start()
	}
	var machines []*Entry
	var seeds []string
	for number := range 3 {
		machine := world.Machine(fmt.Sprintf("front-%d", number+1), "zone-a", storeAddress)
		machines, seeds = append(machines, machine), append(seeds, machine.Control)
	}
	for _, machine := range machines {
		machine.Seeds = seeds
		machine.Start()
	}
	for _, machine := range machines {
		machine.AwaitReady(10 * time.Second)
	}
	time.Sleep(settled)

	var group sync.WaitGroup
	var takenUp, goneOn, fresh, begun counter
	for number := range streams {
		group.Go(func() {
			started, id := time.Now(), newID()
			world.record.Add("client sends %s to %s", id, machines[0].Name)
			leave := deadline
			if !world.trouble {
				leave = untilFreeze + gap
			}
			answer := sendUntilGap(machines[0].Front, id, streamHeader, gap, leave)
			world.record.Add("client got %s: status %d, whole %t, %d events, error %v", id, answer.Status, answer.Whole, len(answer.Events), answer.Err)
			if answer.Whole || len(answer.Events) == 0 {
				return
			}
			takenUp.add()
			next, second := machines[1+number%2], newID()
			header := fmt.Sprintf("%sLast-Event-Id: %d\r\nResumes: %s\r\n", streamHeader, len(answer.Events), id)
			world.record.Add("client takes %s up as %s at %s behind event %d", id, second, next.Name, len(answer.Events))
			more := sendUntilGap(next.Front, second, header, gap, deadline-time.Since(started))
			world.record.Add("client got %s: status %d, reason %q, retry after %q, whole %t, %d events, error %v", second, more.Status, more.Body,
				more.Header.Get("Retry-After"), more.Whole, len(more.Events), more.Err)
			if len(more.Events) > 0 {
				goneOn.add()
			}
		})
	}
	time.Sleep(untilFreeze)
	if world.trouble {
		_ = machines[0].command.Process.Signal(syscall.SIGSTOP)
		world.record.Add("%s freezes", machines[0].Name)
	}
	for number := range streams {
		group.Go(func() {
			time.Sleep(time.Duration(number) * frozen / streams)
			machine, id := machines[1+number%2], newID()
			fresh.add()
			if answer := sendUntilGap(machine.Front, id, streamHeader, gap, deadline); len(answer.Events) > 0 {
				begun.add()
			}
		})
	}
	time.Sleep(frozen)
	_ = machines[0].command.Process.Signal(syscall.SIGCONT)
	world.record.Add("%s goes on", machines[0].Name)
	group.Wait()
	world.record.Add("%d streams taken up, %d of them gone on; %d new streams, %d of them begun", takenUp.get(), goneOn.get(), fresh.get(), begun.get())
	const least = 12
	if takenUp.get() >= least && 2*goneOn.get()*fresh.get() < takenUp.get()*begun.get() {
		return broken
	}
	return held
}

// sendUntilGap sends a request for a stream, and abandons it after the gap without an event.
func sendUntilGap(address, id, header string, gap, limit time.Duration) Answer {
	abandoned := make(chan struct{})
	timer := time.AfterFunc(gap, func() { close(abandoned) })
	defer timer.Stop()
	return sendUntil(abandoned, address, http.MethodPost, "/gen/a", id, header, "prompt", limit, func(string) { timer.Reset(gap) })
}

// counter is a number that goroutines add to.
type counter struct {
	mutex sync.Mutex
	count int
}

func (counter *counter) add() {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.count++
}

func (counter *counter) get() int {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.count
}
