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
	machines := world.startMachines(3, storeAddress)
	time.Sleep(settled)

	var group sync.WaitGroup
	var takenUp, goneOn, fresh, begun counter
	for number := range streams {
		group.Go(func() {
			leave := deadline
			if !world.trouble {
				leave = untilFreeze + gap
			}
			first := world.playStream(machines[0], "", gap, leave)
			if first.Whole || len(first.Events) == 0 {
				return
			}
			takenUp.add()
			header := fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", len(first.Events), first.ID)
			if more := world.playStream(machines[1+number%2], header, gap, deadline-first.Took); len(more.Events) > 0 {
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
			fresh.add()
			if answer := world.playStream(machines[1+number%2], "", gap, deadline); len(answer.Events) > 0 {
				begun.add()
			}
		})
	}
	time.Sleep(frozen)
	_ = machines[0].command.Process.Signal(syscall.SIGCONT)
	world.record.Add("%s goes on", machines[0].Name)
	group.Wait()
	return world.judgeTakenUp(takenUp.get(), goneOn.get(), fresh.get(), begun.get())
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
