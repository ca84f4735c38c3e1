package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["all"] = playAll }

// playAll plays streams at three machines, all of which are then killed and start again. The clients take
// their streams up again, up to three times; what they take up at machines in touch counts.
func playAll(world *World) int {
	const (
		streams, events, pause = 30, 90, 100 * time.Millisecond
		settled, untilKill     = 34 * time.Second, 1 * time.Second
		gap, deadline          = 2 * time.Second, 10 * time.Second
		contact                = 3 * time.Second
	)
	store := NewStore()
	storeAddress := world.Address(8223)
	store.Serve(storeAddress)
	store.Put("op/config", streamConfig())
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
	var back time.Time
	killed := make(chan struct{})
	for number := range streams {
		group.Go(func() {
			started := time.Now()
			first := world.playStream(machines[number%3], "", gap, deadline)
			if first.Whole || len(first.Events) == 0 {
				return
			}
			<-killed
			header := fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", len(first.Events), first.ID)
			counted := false
			for try := 1; time.Since(started) < deadline-time.Second && try < 6; try++ {
				time.Sleep(1200 * time.Millisecond)
				inTouch := time.Since(back) > contact+200*time.Millisecond
				if inTouch && !counted {
					counted = true
					takenUp.add()
				}
				more := world.playStream(machines[(number+try)%3], header, gap, deadline-time.Since(started))
				if len(more.Events) > 0 {
					if counted {
						goneOn.add()
					}
					return
				}
			}
		})
	}
	time.Sleep(untilKill)
	for _, machine := range machines {
		machine.Kill()
	}
	time.Sleep(time.Second)
	for _, machine := range machines {
		machine.Start()
	}
	back = time.Now()
	close(killed)
	time.Sleep(contact)
	for number := range streams {
		group.Go(func() {
			fresh.add()
			if answer := world.playStream(machines[number%3], "", gap, deadline); len(answer.Events) > 0 {
				begun.add()
			}
		})
	}
	group.Wait()
	return world.judgeTakenUp(takenUp.get(), goneOn.get(), fresh.get(), begun.get())
}
