package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versions }

// versions: four runners of version v1 serve streams. While the store is down, two of them crash
// one after the other and each is back after two seconds under its own ID, with software of version v2. A stream
// that began at v1 must not go on at v2.
func versions(stage *Stage) bool {
	stage.Store.Put("op/config", Config(7), 0)
	var runners []*Runner
	for i, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		runner := &Runner{
			ID: id, Service: "llm", Zone: fmt.Sprintf("zone-%c", 'a'+i), Slots: 64, Record: stage.Record, Store: stage.Store,
			EventGap: 100 * time.Millisecond, Events: 50,
		}
		runner.Start("v1")
		runners = append(runners, runner)
	}
	machines := stage.Machines("front-a", "front-b")
	time.Sleep(4 * time.Second)

	var mutex sync.Mutex
	var results []Result
	var clients sync.WaitGroup
	start := time.Now()
	const length = 16 * time.Second
	for i := range 40 {
		clients.Go(func() {
			order := []*Entry{machines[i%2], machines[(i+1)%2]}
			for time.Since(start) < length {
				request := Request{
					Path: "/chat/x", Usage: "400,250", Prefix: fmt.Sprintf("5c1e07a2:200,%08x:200", i+1), Body: []byte("{}"),
					Deadline: 10 * time.Second, Tries: 3, Record: stage.Record,
				}
				result := request.Send(order)
				mutex.Lock()
				results = append(results, result)
				mutex.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	end := func() {}
	if stage.Trouble {
		stage.Record.Add("the store is down")
		end = stage.Store.Down()
	}
	time.Sleep(time.Second)
	first := busiest(stage, runners, nil)
	first.Crash()
	time.Sleep(2 * time.Second)
	first.Start("v2")
	time.Sleep(2 * time.Second)
	second := busiest(stage, runners, first)
	second.Crash()
	time.Sleep(2 * time.Second)
	second.Start("v2")
	time.Sleep(time.Second)
	if stage.Trouble {
		stage.Record.Add("the store is back")
	}
	end()
	clients.Wait()

	mixed, served := 0, 0
	for _, result := range results {
		text := strings.Join(result.Events, "\n")
		if result.Complete {
			served++
		}
		if strings.Contains(text, `"v1"`) && strings.Contains(text, `"v2"`) {
			mixed++
			stage.Record.Add("a stream holds events of both versions:\n%s", text)
		}
	}
	return stage.Verdict(mixed > 2, "%d of %d streams hold events of two software versions (allowed are 2); %d streams are complete", mixed, len(results), served)
}

// busiest returns the runner that got most requests lately, other than the one given.
func busiest(stage *Stage, runners []*Runner, other *Runner) *Runner {
	got := map[string]int{}
	for _, run := range stage.Record.Runs() {
		if time.Since(run.At) < 4*time.Second {
			got[run.Runner]++
		}
	}
	var found *Runner
	for _, runner := range runners {
		if runner != other && (found == nil || got[runner.ID] > got[found.ID]) {
			found = runner
		}
	}
	return found
}
