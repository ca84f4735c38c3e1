package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["blame"] = blame }

// blame: all chats share the system prompt of their app. One of four runners crashes four
// times, each time shortly after it was back and got work, and is sound from then on. Chats must be served then.
func blame(stage *Stage) bool {
	stage.Store.Put("op/config", Config(7), 0)
	var runners []*Runner
	for i, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		runner := &Runner{
			ID: id, Service: "llm", Zone: fmt.Sprintf("zone-%c", 'a'+i), Slots: 64, Record: stage.Record, Store: stage.Store,
			EventGap: 50 * time.Millisecond, Events: 30, CrashAfter: 300 * time.Millisecond, Down: 2 * time.Second,
		}
		runner.Start("v1")
		runners = append(runners, runner)
	}
	machines := stage.Machines("front-a", "front-b")
	time.Sleep(4 * time.Second)

	type outcome struct {
		at     time.Time
		kind   string
		served bool
	}
	var mutex sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	stop := make(chan struct{})
	send := func(kind string, gap time.Duration, request func(number int) Request) {
		clients.Go(func() {
			for number := 1; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(gap))):
				}
				clients.Go(func() {
					at := time.Now()
					order := []*Entry{machines[number%2], machines[(number+1)%2]}
					result := request(number).Send(order)
					mutex.Lock()
					outcomes = append(outcomes, outcome{at: at, kind: kind, served: len(result.Events) > 0})
					mutex.Unlock()
				})
			}
		})
	}
	send("chat", 50*time.Millisecond, func(number int) Request {
		return Request{
			Path: "/chat/x", Usage: "1460,150", Prefix: fmt.Sprintf("5c1e07a2:350,%08x:1110", number), Body: fmt.Appendf(nil, `{"chat":%d}`, number),
			Deadline: 10 * time.Second, Tries: 2, Record: stage.Record,
		}
	})
	send("brief", 200*time.Millisecond, func(number int) Request {
		return Request{
			Path: "/chat/brief/x", Usage: "17020,150", Prefix: fmt.Sprintf("91bd3f%02x:13300,e%07x:3720", number%50, number), Body: fmt.Appendf(nil, `{"brief":%d}`, number),
			Deadline: 8 * time.Second, Tries: 2, Record: stage.Record,
		}
	})
	time.Sleep(6 * time.Second)
	if stage.Trouble {
		runners[0].CrashFrom(4)
		for start := time.Now(); time.Since(start) < 55*time.Second; time.Sleep(100 * time.Millisecond) {
			if left, up := runners[0].LeftToCrash(); left == 0 && up {
				break
			}
		}
		if left, _ := runners[0].LeftToCrash(); left > 0 {
			stage.Record.Add("the runner gets no more requests; it is sound from now on")
			runners[0].CrashFrom(0)
		}
		stage.Record.Add("the runner is sound again")
	}
	time.Sleep(4 * time.Second)
	calm := time.Now()
	time.Sleep(12 * time.Second)
	end := time.Now()
	close(stop)
	clients.Wait()

	broken, worst, text := false, -1, ""
	for from := calm; from.Add(5 * time.Second).Before(end); from = from.Add(time.Second) {
		chats, nothing, briefs := 0, 0, 0
		for _, outcome := range outcomes {
			if outcome.at.Before(from) || outcome.at.After(from.Add(5*time.Second)) {
				continue
			}
			switch {
			case outcome.kind == "brief" && outcome.served:
				briefs++
			case outcome.kind == "chat":
				chats++
				if !outcome.served {
					nothing++
				}
			}
		}
		broken = broken || nothing >= 10 && nothing*12 > chats && briefs > 0
		if nothing > worst {
			worst = nothing
			text = fmt.Sprintf("in the worst five calm seconds %d of %d chats got nothing, while %d less urgent briefs began", nothing, chats, briefs)
		}
	}
	return stage.Verdict(broken, "%s", text)
}
