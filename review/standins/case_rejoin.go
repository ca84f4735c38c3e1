package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["rejoin"] = rejoin }

// rejoin: runners of two software versions serve side by side. All machines are killed at once
// and are back after a second. Streams that clients take up again, at machines that are in touch,
// must go on.
func rejoin(stage *Stage) bool {
	stage.Store.Put("op/config", Config(7), 0)
	for i, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		runner := &Runner{
			ID: id, Service: "llm", Zone: fmt.Sprintf("zone-%c", 'a'+i), Slots: 64, Record: stage.Record, Store: stage.Store,
			EventGap: 200 * time.Millisecond, Events: 25,
		}
		runner.Start([]string{"v1", "v2"}[i%2])
	}
	machines := stage.Machines("front-a", "front-b", "front-c")
	time.Sleep(4 * time.Second)

	var mutex sync.Mutex
	var results []Result
	var users sync.WaitGroup
	start := time.Now()
	var touch time.Time
	for i := range 60 {
		users.Go(func() {
			time.Sleep(time.Duration(i) * 80 * time.Millisecond)
			order := []*Entry{machines[i%3], machines[(i+1)%3], machines[(i+2)%3]}
			for count := 1; time.Since(start) < 22*time.Second; count++ {
				request := Request{
					Path: "/chat/x", Usage: "400,125", Prefix: fmt.Sprintf("5c1e07a2:200,%08x:200", i*1000+count), Body: fmt.Appendf(nil, `{"n":%d}`, i*1000+count),
					Deadline: 10 * time.Second, Tries: 4, Record: stage.Record, Pause: 1500 * time.Millisecond,
				}
				result := request.Send(order)
				mutex.Lock()
				results = append(results, result)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	touch = time.Now()
	if stage.Trouble {
		for _, machine := range machines {
			machine.Signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, machine := range machines {
			machine.Start()
		}
		touch = time.Now().Add(3200 * time.Millisecond)
		stage.Record.Add("the machines start; they are in touch from 3 s on")
	}
	users.Wait()

	begun, complete, takenUp, wentOn := 0, 0, 0, 0
	for _, result := range results {
		if len(result.Events) > 0 {
			begun++
		}
		if result.Complete {
			complete++
		}
		again, on := false, false
		for _, try := range result.Tries {
			if try.Again && try.At.After(touch) {
				again = true
				on = on || try.On
			}
		}
		if again {
			takenUp++
		}
		if on {
			wentOn++
		}
	}
	shareOn, shareBegun := float64(wentOn)/float64(max(takenUp, 1)), float64(begun)/float64(max(len(results), 1))
	broken := takenUp >= 12 && shareOn < shareBegun/2
	return stage.Verdict(broken, "%d of %d new streams began (%.2f), %d are complete; of %d streams that were taken up again at machines in touch, %d went on (%.2f; at least %.2f is due from 12 on)",
		begun, len(results), shareBegun, complete, takenUp, wentOn, shareOn, shareBegun/2)
}
