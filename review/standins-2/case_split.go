package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() {
	cases["split"] = func(world *World) int { return playKill(world, 3, os.Getenv("SPLIT") != "0") }
	cases["pair"] = func(world *World) int { return playKill(world, 2, false) }
}

// playKill plays streams at one of several machines, which is then killed. The clients take the
// streams up at the other machines at once. All runners are sound and of one version all the
// while. The route may be split between two services.
func playKill(world *World, count int, isSplit bool) int {
	const (
		streams, events, pause = 16, 60, 100 * time.Millisecond
		settled, untilKill     = 34 * time.Second, 2 * time.Second
		gap, deadline          = 2 * time.Second, 10 * time.Second
	)
	store := NewStore()
	storeAddress := world.Address(8223)
	store.Serve(storeAddress)
	config := streamConfig()
	routes, _ := config["routes"].([]any)
	route, _ := routes[0].(map[string]any)
	if isSplit {
		delete(route, "service")
		route["traffic_split"] = []any{map[string]any{"service": "gen", "weight": 90}, map[string]any{"service": "gen-b", "weight": 10}}
	}
	services, _ := config["services"].([]any)
	second := map[string]any{"name": "gen-b"}
	firstService, _ := services[0].(map[string]any)
	for name, value := range firstService {
		if name != "name" {
			second[name] = value
		}
	}
	config["services"] = append(services, second)
	store.Put("op/config", config)
	for number := range 6 {
		service := "gen"
		if number >= 4 {
			service = "gen-b"
		}
		runner := &Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+number), Service: service, Address: world.Address(8080), Zone: "zone-a", Version: "v1", Slots: 64,
			store: store, record: world.record, handle: streamHandler(events, pause),
		}
		runner.Start()
	}
	machines := world.startMachines(count, storeAddress)
	time.Sleep(settled)

	var group sync.WaitGroup
	var takenUp, goneOn, fresh, begun counter
	for number := range streams {
		group.Go(func() {
			first := world.playStream(machines[0], "", gap, deadline)
			if first.Whole || len(first.Events) == 0 {
				return
			}
			takenUp.add()
			header := fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", len(first.Events), first.ID)
			if more := world.playStream(machines[1+number%(count-1)], header, gap, deadline-first.Took); len(more.Events) > 0 {
				goneOn.add()
			}
		})
	}
	time.Sleep(untilKill)
	if world.trouble {
		world.record.Add("%s is killed", machines[0].Name)
		machines[0].Kill()
	}
	for number := range streams {
		group.Go(func() {
			fresh.add()
			if answer := world.playStream(machines[1+number%(count-1)], "", gap, deadline); len(answer.Events) > 0 {
				begun.add()
			}
		})
	}
	time.Sleep(time.Second)
	if world.trouble {
		machines[0].Start()
		world.record.Add("%s starts again", machines[0].Name)
	}
	group.Wait()
	return world.judgeTakenUp(takenUp.get(), goneOn.get(), fresh.get(), begun.get())
}

// startMachines starts entries that know each other and waits until they are ready.
func (world *World) startMachines(count int, store string) (machines []*Entry) {
	var seeds []string
	for number := range count {
		machine := world.Machine(fmt.Sprintf("front-%d", number+1), "zone-a", store)
		machines, seeds = append(machines, machine), append(seeds, machine.Control)
	}
	for _, machine := range machines {
		machine.Seeds = seeds
		machine.Start()
	}
	for _, machine := range machines {
		machine.AwaitReady(10 * time.Second)
	}
	return machines
}

// playStream sends a request for a stream, with the header lines that take one up, and abandons
// it after the gap without an event.
func (world *World) playStream(machine *Entry, header string, gap, limit time.Duration) Answer {
	id := newID()
	world.record.Add("client sends %s to %s, %q", id, machine.Name, header)
	answer := sendUntilGap(machine.Front, id, streamHeader+header, gap, limit)
	world.record.Add("client got %s: status %d, retry after %q, whole %t, %d events, error %v, body %q", id, answer.Status,
		answer.Header.Get("Retry-After"), answer.Whole, len(answer.Events), answer.Err, answer.Body)
	return answer
}

// judgeTakenUp returns whether the rule on streams that are taken up was broken.
func (world *World) judgeTakenUp(takenUp, goneOn, fresh, begun int) int {
	const least = 12
	world.record.Add("%d streams taken up, %d of them gone on; %d new streams, %d of them begun", takenUp, goneOn, fresh, begun)
	if takenUp >= least && 2*goneOn*fresh < takenUp*begun {
		return broken
	}
	return held
}
