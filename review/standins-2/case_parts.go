package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

// playParts plays two machines with ordinary callers, and callers that nobody controls beside
// them on a public route. Each request of these is of legal size; its line X-Prompt-Prefix lists
// very many short parts. The rule is broken if, of the requests of ordinary callers that are still
// unanswered at the timeout of their route, more than half have no answer half a second later, or if
// a process ends.
func playParts(world *World) int {
	const (
		ordinaryEvery, otherEvery = 100 * time.Millisecond, 100 * time.Millisecond
		calm, attack, after       = 5 * time.Second, 40 * time.Second, 10 * time.Second
		routeTimeout, late        = 5 * time.Second, 500 * time.Millisecond
	)
	store := NewStore()
	storeAddress := world.Address(8223)
	store.Serve(storeAddress)
	config := streamConfig()
	routes, _ := config["routes"].([]any)
	open := map[string]any{"name": "r-2", "prefix": publicPrefix, "public": true}
	keyed, _ := routes[0].(map[string]any)
	keyed["timeout_ms"] = routeTimeout.Milliseconds()
	for name, value := range keyed {
		if _, own := open[name]; !own {
			open[name] = value
		}
	}
	config["routes"] = append(routes, open)
	store.Put("op/config", config)
	for number := range 9 {
		runner := &Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+number), Service: "gen", Address: world.Address(8080), Zone: "zone-a", Version: "v1", Slots: 64,
			store: store, record: world.record, handle: quietStream,
		}
		runner.Start()
	}
	first := world.Machine("front-1", "zone-a", storeAddress)
	second := world.Machine("front-2", "zone-a", storeAddress, first.Control)
	first.Seeds = []string{first.Control, second.Control}
	machines := []*Entry{first, second}
	for _, machine := range machines {
		machine.Start()
	}
	for _, machine := range machines {
		machine.AwaitReady(10 * time.Second)
	}
	time.Sleep(10 * time.Second)

	var mutex sync.Mutex
	ordinary, others := make([]tally, len(machines)), make([]tally, len(machines))
	lastAnswer, longest := make([]time.Time, len(machines)), make([]time.Duration, len(machines))
	atTimeout, afterwards := make([]int, len(machines)), make([]int, len(machines))
	started := time.Now()
	for number := range machines {
		lastAnswer[number] = started
	}
	note := func(number int, kind []tally, answer Answer, counts bool) {
		mutex.Lock()
		defer mutex.Unlock()
		kind[number].add(answer)
		head := answer.HeadAfter
		if head == 0 {
			head = answer.Took
			if answer.Status == 0 && head > routeTimeout+late {
				head = math.MaxInt64
			}
		}
		if counts && head > routeTimeout {
			atTimeout[number]++
		}
		if counts && head > routeTimeout+late {
			afterwards[number]++
		}
		if counts && answer.Whole && answer.Status == http.StatusOK {
			longest[number] = max(longest[number], time.Since(lastAnswer[number]))
			lastAnswer[number] = time.Now()
		}
	}
	var group sync.WaitGroup
	group.Go(func() {
		for time.Since(started) < calm+attack+after {
			time.Sleep(ordinaryEvery)
			for number, machine := range machines {
				group.Go(func() { note(number, ordinary, sendPrompt(machine.Front, "/gen/a", 0), true) })
			}
		}
	})
	group.Go(func() {
		time.Sleep(calm)
		for time.Since(started) < calm+attack {
			time.Sleep(otherEvery)
			parts := 0
			if world.trouble {
				parts = manyParts
			}
			for number, machine := range machines {
				group.Go(func() { note(number, others, sendPrompt(machine.Front, publicPrefix+"a", parts), false) })
			}
		}
	})
	for time.Since(started) < calm+attack+after {
		time.Sleep(5 * time.Second)
		mutex.Lock()
		for number, machine := range machines {
			world.record.Add("%s, ready %t: ordinary callers: %s; others: %s", machine.Name, machine.IsReady(), ordinary[number], others[number])
		}
		mutex.Unlock()
	}
	group.Wait()
	result := held
	for number, machine := range machines {
		silent := max(longest[number], started.Add(calm+attack+after).Sub(lastAnswer[number]))
		world.record.Add("%s: ordinary callers: %s; others: %s; longest time without any answer to an ordinary caller %.1f s, running %t",
			machine.Name, ordinary[number], others[number], silent.Seconds(), machine.Running())
		world.record.Add("%s: %d requests of ordinary callers were unanswered at the timeout of the route, %d of them half a second later",
			machine.Name, atTimeout[number], afterwards[number])
		if 2*afterwards[number] > atTimeout[number] || !machine.Running() {
			result = broken
		}
	}
	return result
}

// tally counts answers by their kind.
type tally struct{ sent, answered, refused, unanswered int }

func (tally *tally) add(answer Answer) {
	tally.sent++
	switch {
	case answer.Whole && answer.Status == http.StatusOK:
		tally.answered++
	case answer.Whole:
		tally.refused++
	default:
		tally.unanswered++
	}
}

// String implements fmt.Stringer.
func (tally tally) String() string {
	return fmt.Sprintf("%d ended, %d answered, %d refused, %d without an answer", tally.sent, tally.answered, tally.refused, tally.unanswered)
}

// manyParts is how many parts of a prompt a header section within the limit of 16,384 bytes
// has room for.
const manyParts = 1900

// sendPrompt sends a request with the number of parts of one token each, all of them new, or
// with three parts of usual size for 0.
func sendPrompt(address, path string, count int) Answer {
	line := fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rand.Uint32())
	if count > 0 {
		parts := make([]string, count)
		for i := range parts {
			parts[i] = fmt.Sprintf("%05x:1", rand.Uint32N(1<<20))
		}
		line = strings.Join(parts, ",")
	}
	header := "X-Model: m\r\nX-Token-Usage: 2000,20\r\nX-Prompt-Prefix: " + line + "\r\n"
	return send(address, http.MethodPost, path, newID(), header, "prompt", 8*time.Second, nil)
}

// quietStream answers with a short stream and does not record it.
func quietStream(runner *Runner, conn net.Conn, request *http.Request, _ []byte) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", runner.answerHeader(request))
	for number := 1; err == nil && number <= 4; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, runner.ID)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(20 * time.Millisecond)
	}
	if err == nil {
		_, err = fmt.Fprint(conn, "0\r\n\r\n")
	}
	return err == nil
}
