package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = crash }

// crash: many users ask the same question, others ask their own. One runner crashes once and
// is back after two seconds. The streams that it broke off must go on elsewhere.
func crash(stage *Stage) bool {
	stage.Store.Put("op/config", Config(7), 0)
	runners := map[string]*Runner{}
	for i, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		runner := &Runner{
			ID: id, Service: "llm", Zone: fmt.Sprintf("zone-%c", 'a'+i), Slots: 64, Record: stage.Record, Store: stage.Store,
			EventGap: 100 * time.Millisecond, Events: 30,
		}
		runner.Start("v1")
		runners[id] = runner
	}
	machines := stage.Machines("front-a", "front-b")
	time.Sleep(4 * time.Second)

	var mutex sync.Mutex
	var results []Result
	var users sync.WaitGroup
	start := time.Now()
	const length = 30 * time.Second
	for i := range 45 {
		same := i%2 == 0
		users.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			order := []*Entry{machines[i%2], machines[(i+1)%2]}
			for count := 1; time.Since(start) < length; count++ {
				request := Request{
					Path: "/chat/x", Usage: "1700,150", Prefix: fmt.Sprintf("5c1e07a2:1500,%08x:200", i*1000+count),
					Body: []byte(`{"question":"When do you open tomorrow?"}`), Deadline: 10 * time.Second, Tries: 2, Record: stage.Record,
				}
				if !same {
					request.Body = fmt.Appendf(nil, `{"question":"My booking is number %d of %d"}`, count, i)
					request.Prefix = fmt.Sprintf("91bd3f06:1500,%08x:200", i*1000+count)
				}
				result := request.Send(order)
				mutex.Lock()
				results = append(results, result)
				mutex.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(9 * time.Second)
	if stage.Trouble {
		busiest := ""
		running := map[string]int{}
		for _, run := range stage.Record.Runs() {
			if time.Since(run.At) < 2500*time.Millisecond && strings.HasPrefix(run.Prefix, "5c1e07a2:") {
				running[run.Runner]++
				if running[run.Runner] > running[busiest] {
					busiest = run.Runner
				}
			}
		}
		runners[busiest].Crash()
		time.Sleep(2 * time.Second)
		runners[busiest].Start("v1")
	}
	users.Wait()

	// Streams count, not tries: one goes on if any of its client's tries brought more of it.
	begun, complete, takenUp, wentOn := 0, 0, 0, 0
	for _, result := range results {
		if len(result.Events) > 0 {
			begun++
		}
		if result.Complete {
			complete++
		}
		if result.TakenUp > 0 {
			takenUp++
		}
		if result.WentOn > 0 {
			wentOn++
		}
	}
	shareOn, shareBegun := float64(wentOn)/float64(max(takenUp, 1)), float64(begun)/float64(max(len(results), 1))
	broken := takenUp >= 12 && shareOn < shareBegun/2
	return stage.Verdict(broken, "%d of %d new streams began (%.2f), %d are complete; of %d streams that were taken up again, %d went on (%.2f; at least %.2f is due from 12 on)",
		begun, len(results), shareBegun, complete, takenUp, wentOn, shareOn, shareBegun/2)
}
